// Tests of the choice of the routers that watch the store.
#include "auburnlb/coordination/store_watchers.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace auburnlb
{

TEST(store_watchers, the_first_two_watch_for_the_others)
{
    std::vector<watch_candidate> const others{
        {"a", store_reachability::reachable},
        {"b", store_reachability::reachable}};
    EXPECT_FALSE(is_watcher("c", others));
    EXPECT_TRUE(is_watcher("aa", others));
}

TEST(store_watchers, a_router_alone_watches)
{
    EXPECT_TRUE(is_watcher("z", {}));
}

TEST(store_watchers, who_cannot_reach_the_store_is_replaced)
{
    EXPECT_TRUE(is_watcher("c", {{"a", store_reachability::unreachable},
                                 {"b", store_reachability::reachable},
                                 {"d", store_reachability::none}}));
}

TEST(store_watchers, nobody_relies_on_routers_that_have_not_reached_it)
{
    EXPECT_TRUE(is_watcher("c", {{"a", store_reachability::none},
                                 {"b", store_reachability::unreachable}}));
}

/// Routers that all know of each other: some watch, and no more than wanted
/// once these reach the store.
RC_GTEST_PROP(store_watchers, the_store_is_watched_by_as_many_as_wanted, ())
{
    auto const count = *rc::gen::inRange(1, 12);
    std::vector<watch_candidate> routers;
    routers.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
    {
        routers.push_back({std::string(1, static_cast<char>('a' + index)),
                           *rc::gen::arbitrary<bool>()
                               ? store_reachability::none
                               : store_reachability::unreachable});
    }
    std::size_t able = 0;
    for (watch_candidate const& each : routers)
    {
        able += each.reachability_ == store_reachability::unreachable ? 0 : 1;
    }
    auto const others_of = [&](watch_candidate const& self)
    {
        std::vector<watch_candidate> others;
        for (watch_candidate const& each : routers)
        {
            if (each.address_ != self.address_)
            {
                others.push_back(each);
            }
        }
        return others;
    };
    // Whoever watches and is able to learns that it reaches the store.
    for (watch_candidate& each : routers)
    {
        if (each.reachability_ == store_reachability::none &&
            is_watcher(each.address_, others_of(each)))
        {
            each.reachability_ = store_reachability::reachable;
        }
    }
    std::size_t watching = 0;
    for (watch_candidate const& each : routers)
    {
        bool const watches =
            each.reachability_ != store_reachability::unreachable &&
            is_watcher(each.address_, others_of(each));
        watching += watches ? 1 : 0;
    }
    RC_ASSERT(watching == std::min(able, wanted_watchers));
}

TEST(store_watchers, contacts_have_names)
{
    for (store_reachability const each :
         {store_reachability::none, store_reachability::reachable,
          store_reachability::unreachable})
    {
        EXPECT_EQ(parse_store_reachability(to_string(each)), each);
    }
    EXPECT_EQ(parse_store_reachability("other"), store_reachability::none);
}

} // namespace auburnlb
