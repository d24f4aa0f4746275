// Lookup of routes, workspaces and services.
#include "auburnlb/state/route_table.hpp"

#include <numeric>
#include <utility>

namespace auburnlb
{

route_index::route_index(route_table table)
    : table_(std::move(table))
{
    for (route const& each : table_.routes_)
    {
        routes_by_prefix_[each.host_ + each.path_prefix_] = &each;
    }
    for (workspace_entry const& each : table_.workspaces_)
    {
        for (std::string const& key : each.api_keys_)
        {
            workspaces_by_key_[key] = &each;
        }
    }
    for (service_entry const& each : table_.services_)
    {
        services_by_name_[each.name_] = &each;
    }
}

route const* route_index::find_route(std::string_view host,
                                     std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    std::string key(host);
    key += path;
    // Every prefix ends with a slash, so other lengths need no lookup.
    for (std::size_t end = key.size(); end > host.size(); --end)
    {
        if (key[end - 1] != '/')
        {
            continue;
        }
        key.resize(end);
        if (auto const found = routes_by_prefix_.find(key);
            found != routes_by_prefix_.end())
        {
            return found->second;
        }
    }
    return nullptr;
}

workspace_entry const*
route_index::find_workspace(std::string_view api_key) const
{
    auto const found = workspaces_by_key_.find(std::string(api_key));
    return found == workspaces_by_key_.end() ? nullptr : found->second;
}

service_entry const* route_index::find_service(std::string_view name) const
{
    auto const found = services_by_name_.find(std::string(name));
    return found == services_by_name_.end() ? nullptr : found->second;
}

std::string const& pick_service(route const& route, std::uint64_t sample)
{
    std::uint64_t const sum = std::accumulate(
        route.services_.begin(), route.services_.end(), std::uint64_t{0},
        [](std::uint64_t total, weighted_service const& each)
        { return total + each.weight_; });
    std::uint64_t remaining = sum == 0 ? 0 : sample % sum;
    for (weighted_service const& each : route.services_)
    {
        if (remaining < each.weight_)
        {
            return each.service_;
        }
        remaining -= each.weight_;
    }
    return route.services_.front().service_;
}

} // namespace auburnlb
