// Requests that are suspected of crashing the endpoints that run them.
#ifndef AUBURNLB_COORDINATION_CRASH_SUSPICION_HPP
#define AUBURNLB_COORDINATION_CRASH_SUSPICION_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Identifies a request across re-sends by workspace, service and body.
using request_fingerprint = std::uint64_t;

request_fingerprint fingerprint_of(std::string_view workspace,
                                   std::string_view service,
                                   std::string_view body);

/// Whether a request may run.
enum class run_permission
{
    allow,
    /// Only at endpoints at which no other suspect runs:
    /// endpoints_running_suspects gives those to exclude.
    allow_isolated,
    /// Refuse with refusal_reason::suspected_crash.
    refuse,
};

/// Endpoints that one request may crash before it is refused.
inline constexpr std::uint32_t max_crashes = 2;

/// A request that ran at an endpoint when it was lost.
struct crash_suspect
{
    /// Endpoints lost under it.
    std::uint32_t crashes_ = 0;
    /// Whether it had produced nothing at the endpoint when that was lost.
    bool is_fresh_ = false;
    /// Answer token that it must pass to be cleared.
    std::uint32_t crash_index_ = 0;
    time_point expires_{};

    bool operator==(crash_suspect const&) const = default;
};

/// One run of a request at its endpoints.
struct suspected_run
{
    request_fingerprint fingerprint_ = 0;
    std::set<std::string> endpoints_;
    /// Next answer token.
    std::uint32_t index_ = 0;
    /// Value of index_ when the run began at these endpoints.
    std::uint32_t first_index_ = 0;
    /// Whether a lost endpoint was counted for this attempt.
    bool is_counted_ = false;

    bool operator==(suspected_run const&) const = default;
};

/// Suspicions of one entry.
struct crash_suspicion
{
    seconds suspect_lifetime_{600};
    seconds refused_lifetime_{3'600};
    std::size_t max_suspects_ = 4'096;
    std::map<request_fingerprint, crash_suspect> suspects_;
    std::unordered_map<request_id, suspected_run> runs_;

    bool operator==(crash_suspicion const&) const = default;
};

run_permission may_run(crash_suspicion const& state,
                       request_fingerprint fingerprint, time_point now);

/// Endpoints at which suspects run that are not cleared yet.
std::set<std::string> endpoints_running_suspects(crash_suspicion const& state,
                                                 time_point now);

/// Endpoints at which a request runs alone, because it is under suspicion and
/// had produced nothing when its endpoint was lost. Others keep away from them
/// while they can; those under suspicion themselves always do.
std::set<std::string> isolated_endpoints(crash_suspicion const& state,
                                         time_point now);

/// Whether a request is under suspicion and not cleared.
bool is_suspect(crash_suspicion const& state, request_fingerprint fingerprint,
                time_point now);

/// A request runs at these endpoints from the answer token first_index on.
/// Called again for each further attempt.
void record_run(crash_suspicion& state, request_id const& request,
                request_fingerprint fingerprint,
                std::vector<std::string> const& endpoints,
                std::uint32_t first_index);

/// A request produced an answer token. Clears it, if that is past the token at
/// which its endpoint was lost; the update is for the other entries.
suspicion_update on_progress(crash_suspicion& state, request_id const& request,
                             std::uint32_t index);

/// A request ended. A complete answer clears it.
suspicion_update on_run_end(crash_suspicion& state, request_id const& request,
                            bool is_complete);

/// An endpoint was lost. Every request that ran there comes under suspicion;
/// the update is for the other entries and must leave before any retry.
suspicion_update on_endpoint_lost(crash_suspicion& state,
                                  std::string const& address, time_point now);

/// Takes another entry's update. Zero crashes clear a suspect, never a request
/// that is refused.
void merge_suspicion(crash_suspicion& state, suspicion_update const& update,
                     time_point now);

/// Everything that a newly started entry should learn.
suspicion_update current_suspicions(crash_suspicion const& state,
                                    time_point now);

/// Removes what has expired, and the oldest above max_suspects_.
void expire_suspicions(crash_suspicion& state, time_point now);

} // namespace auburnlb

#endif
