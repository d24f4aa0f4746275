// Selection of endpoints and history of incarnations.
#include "auburnlb/coordination/membership.hpp"

#include <algorithm>
#include <set>

#include "auburnlb/coordination/rendezvous.hpp"

namespace auburnlb
{

namespace
{

using address_list = std::vector<std::string>;

// Returns how many entries use each endpoint of a group of this size.
std::size_t entries_per_endpoint(std::size_t entries, std::size_t endpoints,
                                 std::size_t mean)
{
    return std::min(entries, (mean * entries + endpoints - 1) / endpoints);
}

// Returns whether the entry is among the count entries with the highest scores
// for the endpoint. Same result as pick_members, but without sorting.
bool is_selected(std::string const& endpoint, std::string const& entry,
                 address_list const& entries, std::size_t count)
{
    std::uint64_t const own = rendezvous_score(endpoint, entry);
    auto const is_before = [&](std::string const& other)
    {
        std::uint64_t const score = rendezvous_score(endpoint, other);
        return score > own || (score == own && other < entry);
    };
    auto const before =
        std::count_if(entries.begin(), entries.end(), is_before);
    return static_cast<std::size_t>(before) < count;
}

void select_in_group(std::string const& entry, address_list const& entries,
                     address_list const& endpoints, subset_limits const& limits,
                     std::set<std::string>& selected)
{
    std::size_t const count = entries_per_endpoint(
        entries.size(), endpoints.size(), limits.mean_per_group_);
    std::size_t used = 0;
    for (std::string const& endpoint : endpoints)
    {
        if (is_selected(endpoint, entry, entries, count))
        {
            selected.insert(endpoint);
            ++used;
        }
    }
    if (used >= limits.min_per_group_)
    {
        return;
    }
    address_list const more =
        pick_members(entry, endpoints, limits.min_per_group_);
    selected.insert(more.begin(), more.end());
}

} // namespace

std::vector<std::string> select_endpoints(
    std::string const& entry, std::vector<std::string> const& entries,
    std::vector<grouped_endpoint> const& endpoints, subset_limits const& limits)
{
    std::map<std::string, address_list> groups;
    for (grouped_endpoint const& endpoint : endpoints)
    {
        groups[endpoint.group_].push_back(endpoint.address_);
    }
    std::set<std::string> selected;
    for (auto const& [group, members] : groups)
    {
        select_in_group(entry, entries, members, limits, selected);
    }
    return {selected.begin(), selected.end()};
}

bool admit_incarnation(incarnation_history& history, std::string const& address,
                       incarnation_id incarnation)
{
    auto const [current, is_new] =
        history.current_.emplace(address, incarnation);
    if (is_new || current->second == incarnation)
    {
        return true;
    }
    auto& retired = history.retired_[address];
    if (std::find(retired.begin(), retired.end(), incarnation) != retired.end())
    {
        return false;
    }
    retired.push_back(current->second);
    if (retired.size() > incarnation_history::max_retired)
    {
        retired.pop_front();
    }
    current->second = incarnation;
    return true;
}

} // namespace auburnlb
