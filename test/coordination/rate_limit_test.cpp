// Tests of the rate limits that endpoints name.
#include <algorithm>
#include <array>

#include <gtest/gtest.h>

#include "auburnlb/coordination/rate_limit.hpp"

using namespace auburnlb;

namespace
{

time_point const start{seconds(100)};

/// Sends whenever the limits allow it; returns the most in a window of 4 s that
/// begins a second or more after the start.
template <std::size_t Count>
int most_sent(std::array<rate_limit, Count>& limits)
{
    std::vector<time_point> sent;
    for (time_point now = start; now < start + seconds(20);
         now += milliseconds(10))
    {
        for (rate_limit& limit : limits)
        {
            if (may_send(limit, now))
            {
                record_send(limit, now);
                sent.push_back(now);
            }
        }
        auto const senders = static_cast<std::uint32_t>(std::count_if(
            limits.begin(), limits.end(),
            [now](rate_limit const& limit) { return is_sender(limit, now); }));
        for (rate_limit& limit : limits)
        {
            set_other_senders(limit,
                              senders - (is_sender(limit, now) ? 1U : 0U), now);
        }
    }
    long most = 0;
    for (time_point const begin : sent)
    {
        most = std::max(most, std::count_if(sent.begin(), sent.end(),
                                            [begin](time_point at) {
                                                return at >= begin &&
                                                       at < begin + seconds(4);
                                            }));
    }
    return static_cast<int>(most);
}

} // namespace

TEST(rate_limit, an_endpoint_without_a_limit_gets_any_number)
{
    rate_limit limit;
    EXPECT_TRUE(may_send(limit, start));
    record_send(limit, start);
    EXPECT_TRUE(may_send(limit, start));
    EXPECT_FALSE(is_sender(limit, start));
}

TEST(rate_limit, all_routers_together_keep_to_the_limit)
{
    std::array<rate_limit, 4> limits{};
    for (rate_limit& limit : limits)
    {
        EXPECT_TRUE(record_named_limit(limit, 5, start, start));
    }
    int const most = most_sent(limits);
    EXPECT_LE(most, 5 * 4 + 5);
    EXPECT_GE(most, 5 * 4 * 3 / 4);
}

TEST(rate_limit, a_hundred_routers_that_learn_of_it_at_once_keep_to_the_limit)
{
    std::array<rate_limit, 100> limits{};
    for (rate_limit& limit : limits)
    {
        record_send(limit, start);
        record_named_limit(limit, 5, start, start);
        set_other_senders(limit, 99, start);
    }
    EXPECT_LE(most_sent(limits), 5 * 4 * 3 / 2 + 5);
}

TEST(rate_limit, a_single_sender_gets_all_of_it)
{
    std::array<rate_limit, 1> limits{};
    record_named_limit(limits.front(), 5, start, start);
    EXPECT_GE(most_sent(limits), 5 * 4 * 3 / 4);
}

TEST(rate_limit, only_a_later_request_shows_that_it_has_ended)
{
    rate_limit limit;
    record_named_limit(limit, 2, start, start + seconds(1));
    EXPECT_FALSE(
        record_named_limit(limit, std::nullopt, start, start + seconds(2)));
    EXPECT_FALSE(may_send(limit, start + seconds(1)));
    EXPECT_TRUE(record_named_limit(limit, std::nullopt, start + seconds(2),
                                   start + seconds(3)));
    EXPECT_TRUE(may_send(limit, start + seconds(3)));
}

TEST(rate_limit, a_limit_of_nothing_is_tried_now_and_then)
{
    rate_limit limit;
    record_named_limit(limit, 0, start, start);
    EXPECT_FALSE(may_send(limit, start + seconds(5)));
    EXPECT_TRUE(may_send(limit, start + seconds(15)));
}
