// What an entry's request path reads under RCU.
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

/// Fleet, plan and the callers' keys, published together so that a request
/// never mixes two versions.
struct routing_view
{
    fleet_snapshot fleet_;
    route_plan plan_;
    /// By service: digest of a bearer key to the workspace's name.
    std::map<std::string, std::unordered_map<std::string, std::string>> keys_;
    /// Entry hosts that are alive, this one included.
    std::uint32_t entries_ = 1;
    /// This entry's place among them, by address.
    std::uint32_t entry_index_ = 0;
};

/// The configuration of a service, or null.
std::shared_ptr<service_config const> find_service(routing_view const& view,
                                                   std::string const& service);

/// The workspace whose key has this digest; empty when there is none.
std::string find_workspace(routing_view const& view, std::string const& service,
                           std::string const& key_digest);

/// Builds the view of a fleet, plan included. Takes milliseconds.
routing_view make_routing_view(fleet_snapshot fleet, std::uint32_t entries,
                               std::uint32_t entry_index);

} // namespace auburnlb

#endif
