// Finds the parts of prompts that crash the endpoints which begin to answer
// them, from crashes seen by all routers. A request as a whole is counted by
// crash_counts; here requests may have nothing in common but a part.
#ifndef AUBURNLB_COORDINATION_CRASH_CAUSES_HPP
#define AUBURNLB_COORDINATION_CRASH_CAUSES_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Parts of a prompt that other requests may share, each with its service.
using request_traits = std::set<std::string>;

/// Returns the parts as they are known to all routers. Identifiers that are too
/// long to be exchanged are left out.
request_traits make_traits(std::string const& service,
                           std::vector<std::string> const& ids);

/// Returns the parts separated by commas.
std::string to_string(request_traits const& parts);

/// Identifies one run of an endpoint, from its start to its end.
std::string endpoint_run_id(std::string const& endpoint_id,
                            std::uint64_t started_ms);

/// A crash and the prompts that the endpoint had just begun to answer.
struct endpoint_crash
{
    time_point at_{};
    std::set<request_traits> requests_;

    bool operator==(endpoint_crash const&) const = default;
};

/// Crashes by the endpoint's run, so that a crash that several routers see
/// counts once, and the last success of each part that is named in them.
struct crash_causes_update
{
    std::map<std::string, endpoint_crash> crashes_;
    std::map<std::string, time_point> successes_;

    bool operator==(crash_causes_update const&) const = default;
};

/// What all routers together know.
struct crash_causes
{
    std::map<std::string, endpoint_crash> crashes_;
    /// Time of the latest success of each part: a response to a prompt with it
    /// that continued for some time or is complete.
    std::map<std::string, time_point> successes_;
    /// Prompts that contain all parts of one of these are refused. Invariant:
    /// follows from the members above.
    std::vector<request_traits> refused_;
    /// Parts that are not refused, but close to it. Invariant: as above.
    std::set<std::string> suspects_;
    /// Changes whenever other routers have something new to learn.
    std::uint64_t revision_ = 0;

    bool operator==(crash_causes const&) const = default;
};

/// Runs that were cut when they had just begun. Whether their endpoint has
/// crashed is found out before or after that.
struct interrupted_runs
{
    struct run
    {
        std::string endpoint_run_;
        request_traits parts_;
        time_point at_{};

        bool operator==(run const&) const = default;
    };

    std::vector<run> runs_;
    /// When each endpoint's run was found to be lost.
    std::map<std::string, time_point> lost_at_;

    bool operator==(interrupted_runs const&) const = default;
};

/// A part that was in progress at this many crashes is refused.
inline constexpr std::size_t refused_after_crashes = 3;
/// A request with a part that was in progress at this many crashes is not
/// retried after a failure.
inline constexpr std::size_t suspected_after_crashes = 2;

/// Records that a run was cut just after its response had begun. Returns
/// whether the endpoint is known to have crashed, so that the crash was
/// counted.
bool record_interrupted_run(crash_causes& state, interrupted_runs& interrupted,
                            std::string const& endpoint_run,
                            request_traits const& parts, time_point now);

/// Counts the crash of an endpoint against the prompts that it interrupted.
/// Returns whether there were any.
bool confirm_crash(crash_causes& state, interrupted_runs& interrupted,
                   std::string const& endpoint_run, time_point now);

/// Progress of the response to one attempt.
struct response_progress
{
    time_point began_at_{};
    std::uint32_t events_ = 0;

    bool operator==(response_progress const&) const = default;
};

/// Returns whether the prompt may be why the endpoint has crashed now.
bool may_have_crashed(response_progress const& progress, time_point now);

/// Returns whether an unfinished response shows that its prompt is sound.
bool is_success(response_progress const& progress, time_point now);

/// Records a success of a prompt with these parts.
void record_success(crash_causes& state, request_traits const& parts,
                    time_point now);

/// Returns whether a prompt with these parts must not reach an endpoint.
bool is_refused(crash_causes const& state, request_traits const& parts);

/// Returns whether a prompt with these parts should not be tried again.
bool is_suspected(crash_causes const& state, request_traits const& parts);

/// Returns all that other routers need to know.
crash_causes_update current_update(crash_causes const& state);

void merge_update(crash_causes& state, crash_causes_update const& update,
                  time_point now);

/// Forgets old crashes and successes.
void expire_crash_causes(crash_causes& state, interrupted_runs& interrupted,
                         time_point now);

} // namespace auburnlb

#endif
