// The duty of placing layers on engines, which one router holds at a time.
#ifndef AUBURNLB_ROUTER_PLACEMENT_DUTY_HPP
#define AUBURNLB_ROUTER_PLACEMENT_DUTY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/layer_plan.hpp"
#include "auburnlb/coordination/lease.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/peer_exchange.hpp"
#include "auburnlb/router/router_core.hpp"

namespace auburnlb
{

/// Holds the lease of the duty in the store, plans, and gives orders to engines
/// while it holds it. Not thread-safe.
class placement_duty
{
public:
    placement_duty(router_core& core, internal_http_client& http_client);

    void on_tick(time_point now);

    /// The newest version of the lease that this router has seen.
    announced_lease latest_lease() const;
    bool is_held(time_point now) const;

    /// Another router has seen a version of the lease. While newer ones come,
    /// the store need not be asked.
    void on_announced_lease(announced_lease const& lease, time_point now);

    /// Gives the lease up, for a planned stop.
    void release(time_point now);

private:
    enum class order_phase
    {
        /// The engine's report is awaited.
        awaiting_report,
        /// The order is under way, or its outcome is not known.
        order_sent,
        /// The engine has accepted and loads.
        loading,
        /// It failed; the engine is left alone for a while.
        failed,
    };

    /// The last order to one engine.
    struct order
    {
        order_phase phase_ = order_phase::awaiting_report;
        layer_range layers_;
        std::uint64_t started_ms_ = 0;
        /// When the phase is given up.
        time_point deadline_{};
    };

    /// Engines of a service that holds no layers yet.
    struct initial_join
    {
        std::size_t engines_ = 0;
        std::optional<time_point> began_;
        time_point changed_{};
    };

    void run(lease_actions const& actions);
    void read_lease_object();
    void write_lease_object(write_lease const& action);
    void plan_service(service_entry const& service, time_point now);
    std::vector<plan_engine> engines_of(service_entry const& service,
                                        time_point now);
    /// Whether engines are still joining before the first plan.
    bool is_joining(service_entry const& service,
                    std::vector<plan_engine> const& engines, time_point now);
    void expire_orders(time_point now);
    void begin_order(plan_step const& step, model_profile const& model,
                     time_point now);
    void on_report(std::string const& id, result<http_reply> const& reply,
                   milliseconds load_time);
    void on_order_reply(std::string const& id, result<http_reply> const& reply,
                        milliseconds load_time);
    void fail_order(std::string const& id, std::string const& reason);
    std::string address_of(std::string const& id) const;

    router_core& core_;
    internal_http_client& http_client_;
    lease_state lease_;
    bool was_held_ = false;
    /// Counts renewals, so that each changes the object.
    std::uint64_t renewals_ = 0;
    std::map<std::string, order> orders_;
    /// By service.
    std::map<std::string, initial_join> initial_joins_;
    time_point next_plan_{};
};

} // namespace auburnlb

#endif
