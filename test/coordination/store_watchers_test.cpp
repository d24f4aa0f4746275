// Tests of the selection of routers that watch the store.
#include "auburnlb/coordination/store_watchers.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace auburnlb
{

namespace
{

constexpr milliseconds max_age{1'000};
constexpr milliseconds watch_wait{2'000};
time_point const start = time_point{} + seconds(100);

bool is_watcher(std::string const& own_address,
                std::vector<watch_candidate> const& others)
{
    return auburnlb::is_watcher(own_address, others, max_age);
}

watch_candidate reachable(std::string const& address,
                          milliseconds answer_age = milliseconds(0))
{
    return {address, store_reachability::reachable, answer_age};
}

} // namespace

TEST(store_watchers, the_two_lowest_addresses_watch)
{
    std::vector<watch_candidate> const others{reachable("a"), reachable("b")};
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
                                 reachable("b"),
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
            each.answer_age_ = nanoseconds(0);
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

TEST(store_watchers, a_watcher_whose_answers_are_old_is_replaced_by_two_others)
{
    std::vector<watch_candidate> others{
        reachable("a", max_age),
        reachable("b", max_age),
        {"c", store_reachability::none, nanoseconds::max()},
        {"d", store_reachability::none, nanoseconds::max()}};
    EXPECT_TRUE(is_watcher("bb", others));
    EXPECT_TRUE(is_watcher("cc", others));
    EXPECT_FALSE(is_watcher("e", others));
    others[0].answer_age_ = max_age - milliseconds(1);
    EXPECT_FALSE(is_watcher("e", others));
}

TEST(store_watchers, all_watch_if_nobody_replaces_the_watchers)
{
    std::vector<watch_candidate> const others{
        reachable("a", max_age + replacement_time),
        reachable("b", max_age + replacement_time),
        {"c", store_reachability::none, nanoseconds::max()},
        {"d", store_reachability::none, nanoseconds::max()}};
    EXPECT_TRUE(is_watcher("e", others));
}

TEST(store_watchers, a_watcher_that_tells_no_time_is_not_relied_on)
{
    EXPECT_TRUE(is_watcher("c", {{"a", store_reachability::reachable}}));
}

/// Each feed asks again as soon as its watch ends. After some rounds, answers
/// come every half wait, and no feed asks more often than once a wait.
RC_GTEST_PROP(store_watchers, the_watches_of_two_feeds_end_in_turn, ())
{
    constexpr int rounds = 8;
    time_point first = start;
    time_point second =
        start + milliseconds(*rc::gen::inRange(0, 2'000)) + milliseconds(1);
    for (int round = 0; round < rounds; ++round)
    {
        time_point& next = first <= second ? first : second;
        time_point const other = first <= second ? second : first;
        milliseconds const wait = staggered_wait(watch_wait, other, next);
        RC_ASSERT(wait > milliseconds(0));
        RC_ASSERT(wait <= watch_wait);
        next += wait;
    }
    auto const gap = first < second ? second - first : first - second;
    RC_ASSERT(gap == watch_wait / 2);
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
