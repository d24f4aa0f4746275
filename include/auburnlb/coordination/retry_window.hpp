// The limit of repeated sends to a service within a sliding time window.
#ifndef AUBURNLB_COORDINATION_RETRY_WINDOW_HPP
#define AUBURNLB_COORDINATION_RETRY_WINDOW_HPP

#include <cstdint>
#include <deque>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// What all routers together may repeat.
struct retry_limits
{
    /// Repeats for each request in the window.
    double ratio_ = 0.1;
    /// Repeats beyond that in a window.
    double slack_ = 100;
    milliseconds window_{10'000};

    bool operator==(retry_limits const&) const = default;
};

/// Requests and repeats of one service at one router.
/// Invariant: in any window, the repeats taken are at most
/// ratio * requests + slack / routers, less the safety margin.
struct retry_window
{
    struct slot
    {
        time_point begin_{};
        std::uint32_t requests_ = 0;
        std::uint32_t repeats_ = 0;

        bool operator==(slot const&) const = default;
    };
    std::deque<slot> slots_;
    /// The slack is not used in full before a whole window has passed since
    /// then: a process that ran here before may have used it.
    time_point began_{};

    bool operator==(retry_window const&) const = default;
};

void record_request(retry_window& window, retry_limits const& limits,
                    time_point now);

/// Takes one repeat if the limits allow it.
/// @param routers how many routers share the slack, at least 1
bool try_acquire_retry(retry_window& window, retry_limits const& limits,
                       std::uint32_t routers, time_point now);

/// Repeats that the limits still allow now.
double retries_left(retry_window& window, retry_limits const& limits,
                    std::uint32_t routers, time_point now);

} // namespace auburnlb

#endif
