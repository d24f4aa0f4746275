// The configuration of a router: routes, services, workspaces and limits, and
// the index that finds a request's route and its caller's workspace.
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

/// What a request of a route allows.
enum class route_kind
{
    /// May run any number of times.
    idempotent,
    /// May run at most once.
    non_idempotent,
    /// Answered by a stream of events. At most once, unless it is resumable.
    stream,
};

/// A service and its part of a route's requests.
struct weighted_service
{
    std::string service_;
    std::uint32_t weight_ = 1;

    bool operator==(weighted_service const&) const = default;
};

/// One rule that sends requests to services.
struct route
{
    std::string name_;
    std::string host_;
    /// Begins and ends with a slash.
    std::string path_prefix_;
    route_kind kind_ = route_kind::non_idempotent;
    /// Longest time until the final answer.
    milliseconds timeout_{0};
    /// Time within which an answer, or a stream's first event, is on time.
    milliseconds latency_target_{0};
    /// 0 is the most urgent.
    std::int32_t priority_ = 0;
    /// Invariant: at least one, with a sum of weights above zero.
    std::vector<weighted_service> services_;
    /// Endpoints that one request may be sent to.
    std::uint32_t max_attempts_ = 1;
    /// Whether requests need no API key.
    bool is_public_ = false;
    /// Whether a stream may go on at another endpoint after an event id.
    bool is_resumable_ = false;
    /// Longest pause between the events of a stream that is on time.
    milliseconds max_event_gap_{0};
    /// A caller leaves a stream that gives no event for this long.
    milliseconds caller_stall_timeout_{0};

    bool operator==(route const&) const = default;
};

/// A service that routes may name.
struct service_entry
{
    std::string name_;
    /// Connections that one endpoint accepts from all callers together.
    std::uint32_t max_connections_ = 1;
    /// Set for the engines of a model.
    std::optional<model_profile> model_;

    bool operator==(service_entry const&) const = default;
};

/// What a caller may send, and how long it may take.
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

/// A route table with its indexes. Immutable; requests hold the index that they
/// began with.
class route_index
{
public:
    explicit route_index(route_table table);

    route_table const& table() const { return table_; }

    /// The route of the host with the longest prefix that begins the path, or
    /// null. The path may carry a query.
    route const* find_route(std::string_view host, std::string_view path) const;

    /// The workspace that holds the key, or null.
    workspace_entry const* find_workspace(std::string_view api_key) const;

    service_entry const* find_service(std::string_view name) const;

private:
    route_table table_;
    /// By host and prefix, joined without a separator: a prefix begins with a
    /// slash, which no host contains.
    std::unordered_map<std::string, route const*> routes_;
    std::unordered_map<std::string, workspace_entry const*> keys_;
    std::unordered_map<std::string, service_entry const*> services_;
};

/// The service that a request of the route goes to. The same sample gives the
/// same service.
/// @param sample a uniformly distributed number
std::string const& pick_service(route const& route, std::uint64_t sample);

} // namespace auburnlb

#endif
