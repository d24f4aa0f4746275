// The endpoints that a router knows, from the platform's list and from the
// results of its own requests and probes.
#ifndef AUBURNLB_COORDINATION_ENDPOINT_DIRECTORY_HPP
#define AUBURNLB_COORDINATION_ENDPOINT_DIRECTORY_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/endpoint_health.hpp"
#include "auburnlb/coordination/path_choice.hpp"
#include "auburnlb/coordination/rate_limit.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/endpoint_record.hpp"

namespace auburnlb
{

/// Load of an endpoint from the requests of one router or of several.
struct endpoint_load
{
    std::uint32_t requests_ = 0;
    /// KV cache reserved, in tokens times layers.
    double kv_reserved_ = 0;
    /// Prefill that is still to be done, in prompt tokens times layers.
    double prefill_backlog_ = 0;

    bool operator==(endpoint_load const&) const = default;
};

endpoint_load& operator+=(endpoint_load& sum, endpoint_load const& load);

/// One endpoint. Requests in progress share ownership, so the object outlives
/// its entry in the directory.
struct known_endpoint
{
    endpoint_record record_;
    endpoint_health health_;
    /// Load from this router.
    endpoint_load load_;
    /// Load from all other routers.
    endpoint_load other_routers_load_;
    rate_limit rate_limit_;
    /// The endpoint wants no requests from this router before this time. Other
    /// engines may still pass work on to it.
    time_point backoff_until_{};
    /// A response of this run has said that it will stop. The platform's list
    /// may say so later, or never.
    bool has_announced_leaving_ = false;
    /// Last time that a request at the endpoint made progress.
    time_point last_progress_{};
    /// Times of the last answered and the last failed probe.
    time_point probe_answered_{};
    time_point probe_failed_{};
    /// When the first of the latest consecutive probes failed.
    time_point silent_since_{};
    /// Whether the last failed probe found no process of this run at the
    /// address.
    bool is_refusing_connections_ = false;
    /// When the endpoint last rejected a request of this router for want of
    /// room.
    std::optional<time_point> rejected_at_;
    /// Another router has reported that the endpoint has no room. Kept apart
    /// from its health, as it is no failure.
    time_point full_until_{};
    /// When the last probe was sent, and whether its outcome is pending.
    time_point probe_sent_{};
    bool is_probe_pending_ = false;
    /// The engine has reported that it does not hold the layers in its record.
    /// It gets no requests until this time, or until its layers change.
    time_point layers_missing_until_{};
    /// When the endpoint disappeared from the platform's list, if the list
    /// could not be trusted then.
    std::optional<time_point> missing_since_;
    /// Set once the endpoint is out of the directory.
    bool is_removed_ = false;
};

using endpoint_ptr = std::shared_ptr<known_endpoint>;

/// Returns the load from all routers.
endpoint_load total_load(known_endpoint const& endpoint);

/// How far a record of an endpoint can be trusted.
enum class record_age
{
    /// No other record of the endpoint is newer.
    newest,
    /// It may be one of an older copy from which the store was restored.
    unknown,
};

/// The last run of an endpoint that is out of the directory.
struct removed_run
{
    endpoint_ptr endpoint_;
    time_point removed_at_{};
};

/// A record of unknown age that names a run which has been replaced or removed.
/// If it is still listed later, the run is alive.
struct doubtful_record
{
    endpoint_record record_;
    time_point listed_at_{};
};

/// All endpoints, by identifier.
struct endpoint_directory
{
    std::map<std::string, endpoint_ptr> endpoints_;
    std::map<std::string, removed_run> removed_;
    std::map<std::string, doubtful_record> doubtful_;
    /// Before this time, the platform's list may be incomplete: entries may
    /// have expired while the platform was unreachable.
    time_point list_trusted_at_{};
    /// An endpoint may be missing from the list.
    bool has_missing_ = false;
};

/// How long the platform's list may lack live endpoints after the platform has
/// become reachable again.
inline constexpr milliseconds list_recovery_time{2'200};

/// A platform that was restored from an older copy has removed endpoints that
/// are gone from its list after this time.
inline constexpr milliseconds stale_listing_time{10'000};

/// How long a removed run is remembered.
inline constexpr milliseconds removed_run_retention{60'000};

/// How long an engine that does not hold the layers in its record gets no
/// requests, if its layers do not change.
inline constexpr milliseconds missing_layers_backoff{1'500};

/// Effect of a record or removal on the directory.
enum class endpoint_change
{
    none,
    joined,
    /// Another run of the endpoint has the same identifier.
    replaced,
    leaving,
    updated,
    removed,
};

/// Adds or updates an endpoint from its record on the platform. A record of
/// unknown age neither replaces a newer one of the same run nor ends its
/// draining, and does not bring back a run at once that has ended.
endpoint_change apply_record(endpoint_directory& directory,
                             endpoint_record const& record, record_age age,
                             time_point now);

/// Returns the identifiers of the known runs that have ended if this one is
/// alive: those with its endpoint's identifier or at its address.
std::vector<std::string> replaced_runs(endpoint_directory const& directory,
                                       endpoint_record const& record);

/// What a report says of the run that a record names.
enum class run_status
{
    alive,
    /// Another run has started since.
    ended,
    /// The record may be newer than the report.
    unknown,
};

/// @param started_ms the start of the run that reported
run_status status_of_run(endpoint_record const& record,
                         std::uint64_t started_ms);

/// What an answer to a probe says of the run that a record names.
/// @param started_ms the start of the run that reported; unset for an answer
/// without a report, as a plain service gives it
run_status status_of_answer(endpoint_record const& record,
                            std::optional<std::uint64_t> started_ms);

/// Removes and returns the doubtful records that are listed for so long that
/// they are to be applied. Forgets old removed runs.
std::vector<endpoint_record> take_confirmed(endpoint_directory& directory,
                                            time_point now);

/// Handles an endpoint's disappearance from the platform's list. Keeps the
/// endpoint until the list can be trusted.
endpoint_change apply_removal(endpoint_directory& directory,
                              std::string const& id, time_point now);

/// Handles the platform's return after entries may have lapsed. Missing
/// endpoints are kept for list_recovery_time from now on.
void on_platform_recovered(endpoint_directory& directory, time_point now);

/// Removes and returns the endpoints that are still missing from the list, once
/// it can be trusted again.
std::vector<endpoint_ptr> expire_missing(endpoint_directory& directory,
                                         time_point now);

/// Returns the endpoints of a service that are not draining.
std::vector<endpoint_ptr> endpoints_of(endpoint_directory const& directory,
                                       std::string const& service);

/// Returns whether a new request may be executed by the endpoint now.
bool accepts_requests(known_endpoint const& endpoint, time_point now);

/// Returns whether the endpoint takes requests from this router now. One that
/// does not may still be a later engine of a path.
bool may_be_sent_to(known_endpoint const& endpoint, time_point now);

/// Returns whether the endpoint finishes its requests and takes no new ones.
bool is_leaving(known_endpoint const& endpoint);

/// Handles a refusal by which the endpoint asks this router to back off.
void record_backoff(known_endpoint& endpoint, milliseconds backoff,
                    time_point now);

/// Returns the earliest time at which the backoff of one of the endpoints has
/// ended; now if there are none.
time_point backoff_end(std::vector<endpoint_ptr> const& endpoints,
                       time_point now);

/// Returns the engines that hold the first layer, at which paths may begin.
/// @param allowed_ids the only engines to return; empty for all
std::vector<endpoint_ptr>
path_begins(std::vector<endpoint_ptr> const& engines,
            std::vector<std::string> const& allowed_ids);

/// Returns whether a request at the endpoint has made progress, or the endpoint
/// has answered a probe, since the given time.
bool has_responded_since(known_endpoint const& endpoint, time_point since);

/// Returns whether a probe has failed since the given time and the endpoint has
/// not responded after that.
bool has_failed_since(known_endpoint const& endpoint, time_point since);

/// Records a failed probe, and whether the host refused the connection.
void record_probe_failure(known_endpoint& endpoint, bool is_refused,
                          time_point now);

/// Records an answer to a probe. One of another run shows nothing of this one,
/// or that it has ended.
void record_probe_answer(known_endpoint& endpoint, run_status status,
                         time_point now);

/// Records that another run is at the endpoint's address.
void record_run_replaced(known_endpoint& endpoint, time_point now);

/// Returns whether the endpoint's process is gone, or it has not responded to
/// probes for so long that it is probably lost.
bool is_probably_lost(known_endpoint const& endpoint, time_point now);

/// Converts an engine to the input of the path selection.
path_engine to_path_engine(known_endpoint const& endpoint,
                           model_profile const& model, time_point now);

/// Returns the plain endpoint for the next request: the one with the lowest
/// load per slot, with a preference for the given data centre. Returns null if
/// none accepts requests.
endpoint_ptr choose_endpoint(std::vector<endpoint_ptr> const& endpoints,
                             std::string const& data_centre,
                             std::vector<std::string> const& excluded_ids,
                             time_point now);

/// Add a request's load to this router's load of an endpoint, or subtract it.
void add_load(known_endpoint& endpoint, endpoint_load const& load);
void subtract_load(known_endpoint& endpoint, endpoint_load const& load);

} // namespace auburnlb

#endif
