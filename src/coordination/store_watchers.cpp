// Selection of the routers that watch the platform's store.
#include "auburnlb/coordination/store_watchers.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

/// Time from an answer of the store until the other routers know of it: the
/// interval of their questions, and what calls and pauses take.
constexpr milliseconds max_report_delay{600};

} // namespace

char const* to_string(store_reachability reachability)
{
    switch (reachability)
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

milliseconds max_answer_age(milliseconds watch_wait)
{
    return watch_wait / 2 + max_report_delay;
}

milliseconds staggered_wait(milliseconds watch_wait, time_point other_end,
                            time_point now)
{
    if (other_end <= now)
    {
        return watch_wait;
    }
    milliseconds const half = watch_wait / 2;
    auto const until_other =
        std::chrono::duration_cast<milliseconds>(other_end - now);
    milliseconds const wait =
        until_other <= half ? until_other + half : until_other - half;
    return std::clamp(wait, watch_wait / 4, watch_wait);
}

bool is_watcher(std::string const& own_address,
                std::vector<watch_candidate> const& others,
                milliseconds max_age)
{
    auto const has_answer_of =
        [](watch_candidate const& each, milliseconds limit)
    {
        return each.reachability_ == store_reachability::reachable &&
               each.answer_age_ < limit;
    };
    bool const is_covered =
        std::any_of(others.begin(), others.end(),
                    [&](watch_candidate const& each) {
                        return has_answer_of(each, max_age + replacement_time);
                    });
    auto const before =
        std::count_if(others.begin(), others.end(),
                      [&](watch_candidate const& each)
                      {
                          bool const may_reach =
                              each.reachability_ == store_reachability::none ||
                              has_answer_of(each, max_age);
                          return may_reach && each.address_ < own_address;
                      });
    return !is_covered || static_cast<std::size_t>(before) < target_watchers;
}

} // namespace auburnlb
