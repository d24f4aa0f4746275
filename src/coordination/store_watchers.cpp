// The choice of the routers that watch.
#include "auburnlb/coordination/store_watchers.hpp"

#include <algorithm>

namespace auburnlb
{

char const* to_string(store_contact contact)
{
    switch (contact)
    {
    case store_contact::none:
        return "none";
    case store_contact::reachable:
        return "reachable";
    case store_contact::unreachable:
        return "unreachable";
    }
    return "none";
}

store_contact parse_store_contact(std::string const& text)
{
    if (text == "reachable")
    {
        return store_contact::reachable;
    }
    return text == "unreachable" ? store_contact::unreachable
                                 : store_contact::none;
}

bool is_watcher(std::string const& own_address,
                std::vector<watch_candidate> const& others)
{
    bool const is_covered =
        std::any_of(others.begin(), others.end(),
                    [](watch_candidate const& each)
                    { return each.contact_ == store_contact::reachable; });
    auto const before =
        std::count_if(others.begin(), others.end(),
                      [&](watch_candidate const& each)
                      {
                          return each.contact_ != store_contact::unreachable &&
                                 each.address_ < own_address;
                      });
    return !is_covered || static_cast<std::size_t>(before) < wanted_watchers;
}

} // namespace auburnlb
