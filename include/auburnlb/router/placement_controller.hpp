// Placement of layers on engines, which only the holder of the leader lease
// carries out.
#ifndef AUBURNLB_ROUTER_PLACEMENT_CONTROLLER_HPP
#define AUBURNLB_ROUTER_PLACEMENT_CONTROLLER_HPP

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

/// Name of the leader-only task.
inline constexpr char placement_lease_name[] = "placement";

/// Competes for the leader lease in the store. While it holds the lease, it
/// plans the placement and sends orders to engines. Not thread-safe.
class placement_controller
{
public:
    placement_controller(router_core& core, internal_http_client& http_client);

    void on_tick(time_point now);

    /// The latest version of the lease that this router has seen.
    announced_lease latest_lease() const;
    bool is_leader(time_point now) const;

    /// Handles a version of the lease that another router has seen. The store
    /// is not polled while newer versions arrive this way.
    void on_announced_lease(announced_lease const& lease, time_point now);

    /// Releases the lease, for a planned stop.
    void release(time_point now);

private:
    enum class order_phase
    {
        /// Waiting for the engine's report.
        awaiting_report,
        /// The order was sent; its outcome is not known.
        order_sent,
        /// The engine has accepted the order and loads the layers.
        loading,
        /// The order failed; the engine gets no other one until the deadline.
        failed,
    };

    /// The last order sent to an engine.
    struct order
    {
        order_phase phase_ = order_phase::awaiting_report;
        layer_range layers_;
        /// The run that the order is for.
        endpoint_ptr endpoint_;
        milliseconds load_time_{0};
        /// When the phase times out.
        time_point deadline_{};
        /// Distinguishes it from other orders to the engine.
        std::uint64_t number_ = 0;
    };

    /// Progress of the engines that join a service without placed layers.
    struct initial_join
    {
        std::size_t engines_ = 0;
        std::optional<time_point> began_;
        time_point changed_{};
    };

    void run(lease_actions const& actions);
    store_version version_of(http_reply const& reply,
                             std::uint64_t revision) const;
    void read_lease_object();
    void write_lease_object(write_lease const& action);
    /// Probes the engines that this or another router avoids, to find out which
    /// of them are lost before the platform's list shows it.
    void probe_avoided_engines(time_point now);
    void plan_service(service_entry const& service, time_point now);
    std::vector<plan_engine> engines_of(service_entry const& service,
                                        time_point now);
    /// Whether the first plan has to wait for more engines to join.
    bool is_joining(service_entry const& service,
                    std::vector<plan_engine> const& engines, time_point now);
    void expire_orders(time_point now);
    void begin_order(plan_step const& step, model_profile const& model,
                     time_point now);
    /// Returns the order, or null if it is no longer the engine's last one.
    order* find_order(std::string const& id, std::uint64_t number);
    /// Returns the number of orders that the engine has accepted, or why it
    /// must not get the order.
    result<std::uint64_t> check_report(order const& order,
                                       result<http_reply> const& reply,
                                       time_point now);
    void on_report(std::string const& id, std::uint64_t number,
                   result<http_reply> const& reply);
    void send_order(order& order, std::uint64_t accepted_orders,
                    time_point now);
    void on_order_reply(std::string const& id, std::uint64_t number,
                        result<http_reply> const& reply);
    void fail_order(order& order, std::string const& reason);

    router_core& core_;
    internal_http_client& http_client_;
    lease_state lease_;
    bool was_leader_ = false;
    /// Written to the object, so that each renewal changes it.
    std::uint64_t renewals_ = 0;
    std::map<std::string, order> orders_;
    std::uint64_t last_order_ = 0;
    /// By service.
    std::map<std::string, initial_join> initial_joins_;
    /// By service.
    std::map<std::string, gap_history> gaps_;
    time_point next_plan_{};
};

} // namespace auburnlb

#endif
