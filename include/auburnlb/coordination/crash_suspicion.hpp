// Tracks requests that are suspected of crashing the endpoints that run them.
#ifndef AUBURNLB_COORDINATION_CRASH_SUSPICION_HPP
#define AUBURNLB_COORDINATION_CRASH_SUSPICION_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "auburnlb/coordination/request_fingerprint.hpp"
#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Whether a request may run.
enum class run_permission
{
    allow,
    /// Run only at endpoints where no other suspect runs, that is, exclude
    /// endpoints_running_suspects.
    allow_isolated,
    /// Refuse with refusal_reason::suspected_crash.
    refuse,
};

/// A request with this many crashes is refused.
inline constexpr std::uint32_t max_crashes = 2;

/// A request that was running at an endpoint when the endpoint was lost.
struct crash_suspect
{
    /// Number of endpoints that were lost while they ran the request.
    std::uint32_t crashes_ = 0;
    /// Whether the request had produced no output at the endpoint when the
    /// endpoint was lost.
    bool had_no_output_ = false;
    /// Index of the output token that the request must exceed to be cleared.
    std::uint32_t crash_index_ = 0;
    time_point expires_{};

    bool operator==(crash_suspect const&) const = default;
};

/// One run of a request at its endpoints, suspected or not.
struct tracked_run
{
    request_fingerprint fingerprint_ = 0;
    std::set<std::string> endpoints_;
    /// Index of the next output token.
    std::uint32_t index_ = 0;
    /// Value of index_ when the run began at these endpoints.
    std::uint32_t first_index_ = 0;
    /// Whether a lost endpoint was already counted as a crash of this run.
    bool is_crash_counted_ = false;

    bool operator==(tracked_run const&) const = default;
};

/// Suspects and runs tracked by one entry.
struct crash_suspicion
{
    seconds suspect_lifetime_{600};
    seconds refused_lifetime_{3'600};
    std::size_t max_suspects_ = 4'096;
    std::map<request_fingerprint, crash_suspect> suspects_;
    std::unordered_map<request_id, tracked_run> runs_;

    bool operator==(crash_suspicion const&) const = default;
};

/// Returns whether and where a request may run.
run_permission may_run(crash_suspicion const& state,
                       request_fingerprint fingerprint, time_point now);

/// Returns the endpoints that run suspects that are not cleared yet.
std::set<std::string> endpoints_running_suspects(crash_suspicion const& state,
                                                 time_point now);

/// Returns the endpoints that run a suspect in isolation because it had
/// produced no output when its endpoint was lost. Other requests avoid these
/// endpoints if possible, other suspects without exception.
std::set<std::string> isolated_endpoints(crash_suspicion const& state,
                                         time_point now);

/// Returns whether a request is suspected and not cleared.
bool is_suspect(crash_suspicion const& state, request_fingerprint fingerprint,
                time_point now);

/// Records that a request runs at these endpoints, starting at output token
/// first_index. Called again for each further attempt.
void record_run(crash_suspicion& state, request_id const& request,
                request_fingerprint fingerprint,
                std::vector<std::string> const& endpoints,
                std::uint32_t first_index);

/// Records that a request produced an output token. Clears the request if the
/// token is beyond the one at which its endpoint was lost. Returns the update
/// to send to the other entries.
suspicion_update on_progress(crash_suspicion& state, request_id const& request,
                             std::uint32_t index);

/// Records the end of a run. A complete response clears the request. Returns
/// the update to send to the other entries.
suspicion_update on_run_end(crash_suspicion& state, request_id const& request,
                            bool is_complete);

/// Adds a crash to every request that was running at a lost endpoint. Returns
/// the update for the other entries, which must be sent before any retry.
suspicion_update on_endpoint_lost(crash_suspicion& state,
                                  std::string const& address, time_point now);

/// Applies an update from another entry. A count of zero clears a suspect, but
/// never a request that is refused.
void merge_suspicion(crash_suspicion& state, suspicion_update const& update,
                     time_point now);

/// Returns all current suspects as an update for a newly started entry.
suspicion_update current_suspicions(crash_suspicion const& state,
                                    time_point now);

/// Removes expired suspects, and those that expire first while there are more
/// than max_suspects_.
void expire_suspicions(crash_suspicion& state, time_point now);

} // namespace auburnlb

#endif
