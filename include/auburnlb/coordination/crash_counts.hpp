// Counts how often endpoints crashed while running the same request, summed
// over all routers.
#ifndef AUBURNLB_COORDINATION_CRASH_COUNTS_HPP
#define AUBURNLB_COORDINATION_CRASH_COUNTS_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "auburnlb/coordination/crash_suspicion.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Number of crashes of each request. A router sends the other routers only the
/// crashes that it confirmed itself, so that each crash is counted once.
using crash_table = std::map<request_fingerprint, std::uint32_t>;

/// Crashes that one router has confirmed or received from other routers. Unlike
/// crash_suspicion, which tracks a request through its stages, this counts only
/// crashes that a refused connection confirms.
struct crash_counts
{
    /// A crash that this router confirmed.
    struct crash
    {
        request_fingerprint fingerprint_ = 0;
        time_point at_{};

        bool operator==(crash const&) const = default;
    };
    /// A run that ended without a response.
    struct interrupted_run
    {
        std::string address_;
        request_fingerprint fingerprint_ = 0;
        time_point at_{};

        bool operator==(interrupted_run const&) const = default;
    };

    /// Crashes that this router confirmed, oldest first.
    std::deque<crash> local_crashes_;
    /// Crashes that each other router confirmed, by router address.
    std::map<std::string, crash_table> peer_crashes_;
    /// Runs that ended without a response and may still prove to be crashes,
    /// oldest first.
    std::deque<interrupted_run> interrupted_runs_;

    bool operator==(crash_counts const&) const = default;
};

/// Records that a run of the request at this address ended without a response.
void record_interrupted_run(crash_counts& counts, std::string const& address,
                            request_fingerprint fingerprint, time_point now);

/// Counts a crash for each request whose run at this address was interrupted
/// recently. Called when the endpoint refuses connections. Returns these
/// requests.
std::vector<request_fingerprint>
confirm_crash(crash_counts& counts, std::string const& address, time_point now);

/// Removes the crashes of a request that has completed.
void clear_crashes(crash_counts& counts, request_fingerprint fingerprint);

/// Replaces the crashes received from another router.
void replace_peer_crashes(crash_counts& counts, std::string const& router,
                          crash_table table);

/// Returns the crashes that this router confirmed, to be sent to the others.
crash_table local_crashes(crash_counts& counts, time_point now);

/// Returns the number of crashes of the request that all routers confirmed.
std::uint32_t crash_count(crash_counts const& counts,
                          request_fingerprint fingerprint, time_point now);

/// A request with this many crashes is not retried after a failure.
inline constexpr std::uint32_t suspect_crash_count = 2;
/// A request with this many crashes is refused.
inline constexpr std::uint32_t refused_crash_count = 3;

} // namespace auburnlb

#endif
