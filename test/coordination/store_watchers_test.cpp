// Tests of the selection of routers that watch the store.
#include "auburnlb/coordination/store_watchers.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace auburnlb
{

TEST(store_watchers, the_two_lowest_addresses_watch)
{
    std::vector<watch_candidate> const others{
        {"a", store_reachability::reachable},
        {"b", store_reachability::reachable}};
    EXPECT_FALSE(is_watcher("c", others));
    EXPECT_TRUE(is_watcher("aa", others));
}

TEST(store_watchers, a_single_router_watches)
{
    EXPECT_TRUE(is_watcher("z", {}));
}

TEST(store_watchers, a_router_that_cannot_reach_the_store_is_replaced)
{
    EXPECT_TRUE(is_watcher("c", {{"a", store_reachability::unreachable},
                                 {"b", store_reachability::reachable},
                                 {"d", store_reachability::none}}));
}

TEST(store_watchers, routers_of_unknown_reachability_are_not_relied_on)
{
    EXPECT_TRUE(is_watcher("c", {{"a", store_reachability::none},
                                 {"b", store_reachability::unreachable}}));
}

/// Among routers that all know each other, target_watchers watch once they have
/// reached the store, or all that can reach it if there are fewer.
RC_GTEST_PROP(store_watchers, the_target_number_of_routers_watch, ())
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
    std::size_t able_to_reach = 0;
    for (watch_candidate const& each : routers)
    {
        able_to_reach +=
            each.reachability_ == store_reachability::unreachable ? 0 : 1;
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
    // Routers that watch find out that they reach the store.
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
    RC_ASSERT(watching == std::min(able_to_reach, target_watchers));
}

TEST(store_watchers, reachability_round_trips_through_text)
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
