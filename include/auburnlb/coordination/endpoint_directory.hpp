// The endpoints that a router knows, from the platform's list and from what
// its own requests showed.
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
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/endpoint_record.hpp"

namespace auburnlb
{

/// Work that a router has given to an endpoint, or that another router says it
/// has.
struct endpoint_load
{
    std::uint32_t requests_ = 0;
    /// KV cache reserved, in tokens times layers.
    double kv_reserved_ = 0;
    /// Prompt tokens times layers that are not read yet.
    double prefill_backlog_ = 0;

    bool operator==(endpoint_load const&) const = default;
};

endpoint_load& operator+=(endpoint_load& sum, endpoint_load const& load);

/// One endpoint. Requests in progress share it, so that it outlives its entry.
struct known_endpoint
{
    endpoint_record record_;
    endpoint_health health_;
    endpoint_load load_;
    /// What all other routers have there.
    endpoint_load other_routers_load_;
    /// Last time that work at it made progress.
    time_point last_progress_{};
    /// Last time that it answered a probe, and that it did not.
    time_point probe_answered_{};
    time_point probe_failed_{};
    /// When the last probe was sent, and whether its outcome is open.
    time_point probe_sent_{};
    bool is_probe_pending_ = false;
    /// An engine said that it does not hold the layers that its record names;
    /// believed until this time, or until the record changes.
    time_point layers_missing_until_{};
    /// When the platform's list lost it while the list could not be trusted.
    std::optional<time_point> missing_since_;
    /// Removed for good.
    bool is_removed_ = false;
};

using endpoint_ptr = std::shared_ptr<known_endpoint>;

/// What this router and all others have there.
endpoint_load total_load(known_endpoint const& endpoint);

/// All endpoints, by identifier.
struct endpoint_directory
{
    std::map<std::string, endpoint_ptr> endpoints_;
    /// The list is not trusted to be complete before this time: entries may
    /// have lapsed while the platform was unreachable.
    time_point list_trusted_at_{};
};

/// How long after the platform's return its list may lack endpoints that live.
inline constexpr milliseconds list_recovery_time{2'200};

/// How long an engine that does not hold the layers of its record is left out,
/// if the record does not change.
inline constexpr milliseconds missing_layers_backoff{1'500};

/// What changed with a record.
enum class endpoint_change
{
    none,
    joined,
    /// Another run under the same identifier.
    replaced,
    leaving,
    updated,
    removed,
};

/// Takes a record from the platform.
endpoint_change apply_record(endpoint_directory& directory,
                             endpoint_record const& record);

/// The platform's list does not have the endpoint any more. It is kept for a
/// while if the list is not trusted yet.
endpoint_change apply_removal(endpoint_directory& directory,
                              std::string const& id, time_point now);

/// The platform answers again after it was unreachable.
void on_platform_recovered(endpoint_directory& directory, time_point now);

/// Removes endpoints that are still missing when the list is trusted again, and
/// gives them.
std::vector<endpoint_ptr> expire_missing(endpoint_directory& directory,
                                         time_point now);

/// The endpoints of a service that take new work.
std::vector<endpoint_ptr> endpoints_of(endpoint_directory const& directory,
                                       std::string const& service);

/// Whether a new request may be sent to it now.
bool takes_requests(known_endpoint const& endpoint, time_point now);

/// Whether the endpoint showed a sign of life since that time: progress of
/// work, or an answer to a probe.
bool has_responded_since(known_endpoint const& endpoint, time_point since);

/// Whether its last probe failed since that time and nothing came from it
/// after.
bool has_failed_since(known_endpoint const& endpoint, time_point since);

/// An engine as the choice of paths sees it.
path_engine to_path_engine(known_endpoint const& endpoint,
                           model_profile const& model, time_point now);

/// The plain endpoint that should get the next request: the one with the least
/// work for its slots, nearer ones first; null if none takes requests.
endpoint_ptr choose_endpoint(std::vector<endpoint_ptr> const& endpoints,
                             std::string const& data_centre,
                             std::vector<std::string> const& excluded_ids,
                             time_point now);

/// Adds a path's demand to the loads of its engines; subtract takes it off.
void add_load(known_endpoint& endpoint, endpoint_load const& load);
void subtract_load(known_endpoint& endpoint, endpoint_load const& load);

} // namespace auburnlb

#endif
