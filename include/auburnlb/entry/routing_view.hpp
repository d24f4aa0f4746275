// The snapshot that an entry's request path reads under RCU.
#ifndef AUBURNLB_ENTRY_ROUTING_VIEW_HPP
#define AUBURNLB_ENTRY_ROUTING_VIEW_HPP

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "auburnlb/coordination/route_plan.hpp"
#include "auburnlb/state/fleet.hpp"
#include "auburnlb/state/service_config.hpp"

namespace auburnlb
{

/// Fleet, route plan and callers' keys. They are published together, so that a
/// request never mixes two versions.
struct routing_view
{
    fleet_snapshot fleet_;
    route_plan plan_;
    /// By service: workspace names by the digest of their bearer keys.
    std::map<std::string, std::unordered_map<std::string, std::string>> keys_;
    /// Number of live entry hosts, including this one.
    std::uint32_t entry_count_ = 1;
    /// Index of this entry among the live ones, sorted by address.
    std::uint32_t entry_index_ = 0;
};

/// Returns the configuration of a service, or null if it is unknown.
std::shared_ptr<service_config const> find_service(routing_view const& view,
                                                   std::string const& service);

/// Returns the name of the workspace whose key has this digest, or an empty
/// string if there is none.
std::string find_workspace(routing_view const& view, std::string const& service,
                           std::string const& key_digest);

/// Builds the view of a fleet, including the route plan. Takes milliseconds.
routing_view make_routing_view(fleet_snapshot fleet, std::uint32_t entry_count,
                               std::uint32_t entry_index);

} // namespace auburnlb

#endif
