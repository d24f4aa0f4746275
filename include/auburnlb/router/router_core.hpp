// State shared by the components of a router, used by one thread.
#ifndef AUBURNLB_ROUTER_ROUTER_CORE_HPP
#define AUBURNLB_ROUTER_ROUTER_CORE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <asio/io_context.hpp>

#include "auburnlb/coordination/capacity_share.hpp"
#include "auburnlb/coordination/crash_causes.hpp"
#include "auburnlb/coordination/endpoint_directory.hpp"
#include "auburnlb/coordination/interrupted_runs.hpp"
#include "auburnlb/coordination/link_budget.hpp"
#include "auburnlb/coordination/memory_budgets.hpp"
#include "auburnlb/coordination/planned_stop.hpp"
#include "auburnlb/coordination/prefill_share.hpp"
#include "auburnlb/coordination/refused_callers.hpp"
#include "auburnlb/coordination/retry_borrowing.hpp"
#include "auburnlb/coordination/retry_record.hpp"
#include "auburnlb/coordination/retry_window.hpp"
#include "auburnlb/coordination/wait_queue.hpp"
#include "auburnlb/router/connection_pool.hpp"
#include "auburnlb/router/endpoint_prober.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/platform_protocol.hpp"
#include "auburnlb/router/router_options.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/metrics.hpp"
#include "auburnlb/state/route_table.hpp"

namespace auburnlb
{

class forwarded_request;

/// State of one service within this router.
struct service_runtime
{
    wait_queue queue_;
    /// The requests in the queue, by ticket.
    std::map<std::uint64_t, std::shared_ptr<forwarded_request>> waiting_;
    retry_window retries_;
    retry_borrowing borrowing_;
    link_budget links_;
    refused_callers refused_callers_;
    demand_meter demand_;
    /// The last estimate of the capacity, and its time; unset before.
    service_capacity capacity_;
    std::optional<time_point> capacity_estimated_at_;
    prompt_mix prompts_;
    /// When a long prompt was last found to be held, and its length.
    time_point held_at_{};
    double held_tokens_ = 0;
    /// The shortest latency target, and the version of the configuration that
    /// it was read from.
    milliseconds shortest_target_{0};
    std::optional<std::uint64_t> shortest_target_version_;
};

struct router_core
{
    router_core(asio::io_context& io, clock_source const& clock,
                platform_protocol const& protocol, router_options options)
        : io_(io)
        , clock_(clock)
        , protocol_(protocol)
        , options_(std::move(options))
        , pool_(io, clock)
        , http_client_(io, clock, memory_)
        , prober_(http_client_, protocol, clock, metrics_)
        , started_at_(clock.now())
    {
        pool_.charge_to({memory_, &memory_->requests_});
    }

    asio::io_context& io_;
    clock_source const& clock_;
    platform_protocol const& protocol_;
    router_options options_;
    /// Outlives the requests.
    std::shared_ptr<memory_budgets> memory_ =
        std::make_shared<memory_budgets>();
    /// Null until a configuration is known. Invariant: its version never
    /// decreases.
    std::shared_ptr<route_index const> routes_;
    endpoint_directory directory_;
    crash_causes crash_causes_;
    interrupted_runs interrupted_runs_;
    /// Called with each crash that this router has confirmed.
    std::function<void(std::string const& endpoint_run, endpoint_crash const&)>
        on_crash_ = [](std::string const&, endpoint_crash const&) {
        };
    connection_pool pool_;
    /// For calls other than callers' requests.
    internal_http_client http_client_;
    endpoint_prober prober_;
    time_point started_at_{};
    /// Of the processes of this router before this one.
    earlier_retries earlier_retries_;
    std::map<std::string, service_runtime> services_;
    /// Tokens a second that arrive at the other routers, by service. Contains
    /// services that have had no request at this router.
    std::map<std::string, double> other_routers_demands_;
    /// All requests that have not ended.
    std::set<std::shared_ptr<forwarded_request>> active_;
    /// Number of routers that share the limits of the fleet, including this
    /// one.
    std::uint32_t router_count_ = 1;
    /// Number of those that are not known to be unreachable.
    std::uint32_t live_router_count_ = 1;
    /// Whether another router is known to accept requests.
    bool is_other_router_accepting_ = false;
    /// Earliest time at which a stopping router will have stopped; unset if no
    /// other router is stopping.
    std::optional<time_point> first_router_stop_end_;
    std::uint64_t last_ticket_ = 0;
    bool is_stopping_ = false;
    /// The planned stop, once it has begun; settings that are read later do not
    /// change it.
    planned_stop stop_;
    metrics_registry metrics_;
};

/// Sets the demand on the service and the number of routers.
void set_demand(router_core const& core, std::string const& service_name,
                capacity_use& use, time_point now);

/// Returns the capacity of a model's service and its use by all routers.
service_capacity known_capacity(router_core const& core,
                                std::string const& service_name,
                                model_profile const& model, time_point now);

/// The same, estimated a moment ago; reservations that were made since are
/// counted by their makers.
service_capacity const& recent_capacity(router_core& core,
                                        std::string const& service_name,
                                        model_profile const& model,
                                        time_point now);

/// Returns the retries of a service, with what is known of earlier processes.
retry_window& retries_of(router_core& core, std::string const& service_name);

/// Counts crashes that this router did not confirm itself.
void count_learned_crashes(router_core& core, char const* source,
                           std::size_t crashes);

} // namespace auburnlb

#endif
