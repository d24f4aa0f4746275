// Counts of endpoints that crashed under the same request, over all routers.
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

/// Crashes by request. A router tells the others what it saw itself, so that
/// each crash is counted once.
using crash_table = std::map<request_fingerprint, std::uint32_t>;

/// What one router knows. Unlike crash_suspicion, which follows a request
/// through its stages, it counts only crashes that a refused connection
/// confirms.
struct crash_counts
{
    struct crash
    {
        request_fingerprint fingerprint_ = 0;
        time_point at_{};

        bool operator==(crash const&) const = default;
    };
    struct broken_run
    {
        std::string address_;
        request_fingerprint fingerprint_ = 0;
        time_point at_{};

        bool operator==(broken_run const&) const = default;
    };

    /// Confirmed here, the oldest first.
    std::deque<crash> own_;
    /// What each other router confirmed, by its address.
    std::map<std::string, crash_table> foreign_;
    /// Runs that broke without an answer, until it is known why.
    std::deque<broken_run> broken_;

    bool operator==(crash_counts const&) const = default;
};

/// A run of the request ended without an answer at this address.
void record_interrupted_run(crash_counts& counts, std::string const& address,
                            request_fingerprint fingerprint, time_point now);

/// The endpoint refuses connections: what just broke there is counted. Gives
/// the requests.
std::vector<request_fingerprint>
confirm_crash(crash_counts& counts, std::string const& address, time_point now);

/// A request was answered completely: it does not crash endpoints.
void clear_crashes(crash_counts& counts, request_fingerprint fingerprint);

/// Takes what another router confirmed, in place of what it said before.
void replace_peer_crashes(crash_counts& counts, std::string const& router,
                          crash_table table);

/// What this router confirmed, for the others.
crash_table local_crashes(crash_counts& counts, time_point now);

/// Crashes of the request that all routers confirmed.
std::uint32_t crash_count(crash_counts const& counts,
                          request_fingerprint fingerprint, time_point now);

/// A request with this many crashes is not sent again after a failure.
inline constexpr std::uint32_t suspect_crash_count = 2;
/// A request with this many crashes is refused.
inline constexpr std::uint32_t refused_crash_count = 3;

} // namespace auburnlb

#endif
