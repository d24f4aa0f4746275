// The choice of the routers that watch.
#include "auburnlb/coordination/store_watchers.hpp"

#include <algorithm>

namespace auburnlb
{

char const* to_string(store_reachability contact)
{
    switch (contact)
    {
    case store_reachability::none:
        return "none";
    case store_reachability::reachable:
        return "reachable";
    case store_reachability::unreachable:
        return "unreachable";
    }
    return "none";
}

store_reachability parse_store_reachability(std::string const& text)
{
    if (text == "reachable")
    {
        return store_reachability::reachable;
    }
    return text == "unreachable" ? store_reachability::unreachable
                                 : store_reachability::none;
}

bool is_watcher(std::string const& own_address,
                std::vector<watch_candidate> const& others)
{
    bool const is_covered = std::any_of(
        others.begin(), others.end(),
        [](watch_candidate const& each)
        { return each.reachability_ == store_reachability::reachable; });
    auto const before = std::count_if(
        others.begin(), others.end(),
        [&](watch_candidate const& each)
        {
            return each.reachability_ != store_reachability::unreachable &&
                   each.address_ < own_address;
        });
    return !is_covered || static_cast<std::size_t>(before) < wanted_watchers;
}

} // namespace auburnlb
