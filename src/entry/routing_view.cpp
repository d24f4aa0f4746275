// Construction of the routing view, and lookups in it.
#include "auburnlb/entry/routing_view.hpp"

#include <utility>

namespace auburnlb
{

std::shared_ptr<service_config const> find_service(routing_view const& view,
                                                   std::string const& service)
{
    auto const found = view.fleet_.services_.find(service);
    return found == view.fleet_.services_.end() ? nullptr : found->second;
}

std::string find_workspace(routing_view const& view, std::string const& service,
                           std::string const& key_digest)
{
    auto const keys = view.keys_.find(service);
    if (keys == view.keys_.end())
    {
        return {};
    }
    auto const found = keys->second.find(key_digest);
    return found == keys->second.end() ? std::string() : found->second;
}

routing_view make_routing_view(fleet_snapshot fleet, std::uint32_t entry_count,
                               std::uint32_t entry_index)
{
    routing_view view;
    // Link capacities aren't measured, so links are treated as unlimited.
    view.plan_ = plan_routes(fleet, {});
    for (auto const& [name, config] : fleet.services_)
    {
        auto& keys = view.keys_[name];
        for (workspace_limits const& workspace : config->workspaces_)
        {
            keys.emplace(workspace.key_sha256_, workspace.name_);
        }
    }
    view.fleet_ = std::move(fleet);
    view.entry_count_ = entry_count;
    view.entry_index_ = entry_index;
    return view;
}

} // namespace auburnlb
