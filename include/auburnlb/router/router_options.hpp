// Options of a router, from its settings.
#ifndef AUBURNLB_ROUTER_ROUTER_OPTIONS_HPP
#define AUBURNLB_ROUTER_ROUTER_OPTIONS_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "auburnlb/coordination/retry_window.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/settings.hpp"

namespace auburnlb
{

struct router_options
{
    /// Unique in the fleet.
    std::string name_;
    std::string data_centre_;
    /// "IP:port" that callers, readiness probes, and other routers and metrics
    /// scrapers connect to, in this order.
    std::string callers_address_;
    std::string ready_address_;
    std::string control_address_;
    std::string store_address_;
    /// Time within which a lost connection to the store is detected.
    milliseconds store_loss_detection_{2'500};
    /// Interval at which endpoints write to the store.
    milliseconds endpoint_heartbeat_{1'200};
    /// Control addresses of other routers to contact first; may be stale.
    std::vector<std::string> seeds_;
    retry_limits retries_;
    /// Whether routers divide the capacity of a service among them.
    bool shares_capacity_ = false;
    /// Whether long prompts wait for engines with little prefill backlog.
    bool bounds_prefill_ = false;
    /// Whether the wait queue is ordered and limited for overloads.
    bool controls_overload_ = false;
    /// Time within which a request body must bring min_stall_bytes.
    milliseconds body_stall_{2'000};
    /// Connections of callers; 0 if the limit of descriptors decides.
    std::size_t max_connections_ = 0;
    /// Time between the stop signal and the forced kill.
    milliseconds stop_limit_{8'000};

    bool operator==(router_options const&) const = default;
};

result<router_options> read_router_options(settings const& values);

} // namespace auburnlb

#endif
