// The configuration of a router: routes, services, workspaces and limits, with
// an index that looks up routes, services and workspaces.
#ifndef AUBURNLB_STATE_ROUTE_TABLE_HPP
#define AUBURNLB_STATE_ROUTE_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/model_profile.hpp"

namespace auburnlb
{

/// How the requests of a route may be executed.
enum class route_kind
{
    /// May be executed any number of times.
    idempotent,
    /// Must be executed at most once.
    non_idempotent,
    /// The response is a stream of events. Executed at most once unless the
    /// route is resumable.
    stream,
};

/// A service and its weight in the distribution of a route's requests.
struct weighted_service
{
    std::string service_;
    std::uint32_t weight_ = 1;

    bool operator==(weighted_service const&) const = default;
};

/// Maps the requests of one host and path prefix to services.
struct route
{
    std::string name_;
    std::string host_;
    /// Begins and ends with a slash.
    std::string path_prefix_;
    route_kind kind_ = route_kind::non_idempotent;
    /// Maximum time until the response is complete.
    milliseconds timeout_{0};
    /// Target for the time to the response, or to the first event of a stream.
    milliseconds latency_target_{0};
    /// 0 is the highest priority.
    std::int32_t priority_ = 0;
    /// Invariant: not empty, and the sum of the weights is above zero.
    std::vector<weighted_service> services_;
    /// Maximum number of endpoints that one request is sent to.
    std::uint32_t max_attempts_ = 1;
    /// Whether requests need no API key.
    bool is_public_ = false;
    /// Whether a stream can be resumed after an event id at another endpoint.
    bool is_resumable_ = false;
    /// Target for the longest pause between two events of a stream.
    milliseconds max_event_gap_{0};
    /// Callers abandon a stream that sends no event for this long.
    milliseconds caller_stall_timeout_{0};

    bool operator==(route const&) const = default;
};

/// A service that routes refer to.
struct service_entry
{
    std::string name_;
    /// Connections that one endpoint accepts in total.
    std::uint32_t max_connections_ = 1;
    /// Set for the engines of a model.
    std::optional<model_profile> model_;

    bool operator==(service_entry const&) const = default;
};

/// Limits on the size and the duration of requests from callers.
struct caller_limits
{
    std::size_t max_header_bytes_ = 16'384;
    std::size_t max_body_bytes_ = 4'194'304;
    milliseconds header_timeout_{5'000};
    milliseconds idle_timeout_{30'000};

    bool operator==(caller_limits const&) const = default;
};

/// A workspace and the API keys of its callers.
struct workspace_entry
{
    std::string name_;
    std::vector<std::string> api_keys_;
    /// Takes precedence over the priority of the route.
    std::optional<std::int32_t> priority_;

    bool operator==(workspace_entry const&) const = default;
};

/// One version of the configuration. Immutable once published.
struct route_table
{
    std::uint64_t version_ = 0;
    std::vector<route> routes_;
    std::vector<service_entry> services_;
    caller_limits limits_;
    std::vector<workspace_entry> workspaces_;

    bool operator==(route_table const&) const = default;
};

/// A route table with its indexes. Immutable. A request keeps the index that
/// was current when it started.
class route_index
{
public:
    explicit route_index(route_table table);

    route_table const& table() const { return table_; }

    /// Returns the route of the host with the longest prefix that matches the
    /// path, or null. Ignores a query in the path.
    route const* find_route(std::string_view host, std::string_view path) const;

    /// Returns the workspace that the API key belongs to, or null.
    workspace_entry const* find_workspace(std::string_view api_key) const;

    /// Returns null if there is no such service.
    service_entry const* find_service(std::string_view name) const;

private:
    route_table table_;
    /// Keyed by host and prefix, joined without a separator: a prefix begins
    /// with a slash, which no host contains.
    std::unordered_map<std::string, route const*> routes_by_prefix_;
    std::unordered_map<std::string, workspace_entry const*> workspaces_by_key_;
    std::unordered_map<std::string, service_entry const*> services_by_name_;
};

/// Selects the service for a request by weight. The same sample always selects
/// the same service.
/// @param sample a uniformly distributed number
std::string const& pick_service(route const& route, std::uint64_t sample);

} // namespace auburnlb

#endif
