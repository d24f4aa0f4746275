// Tests of the rounds in which a router asks others for retries.
#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "auburnlb/coordination/retry_borrowing.hpp"

using namespace auburnlb;

namespace
{

time_point const start{seconds(100)};

std::vector<std::string> routers_of(std::size_t count)
{
    std::vector<std::string> routers;
    for (std::size_t index = 0; index < count; ++index)
    {
        routers.push_back("router-" + std::to_string(index));
    }
    return routers;
}

/// Requests until a round has found nothing, or until none waits.
std::size_t count_requests(retry_borrowing& state, std::size_t routers,
                           std::uint32_t lent_each)
{
    std::size_t count = 0;
    for (int step = 0; step < 100; ++step)
    {
        auto const requests =
            next_loan_requests(state, 0, routers_of(routers), start);
        count += requests.size();
        for (loan_request const& each : requests)
        {
            std::uint32_t const lent = std::min(each.count_, lent_each);
            on_loan_reply(state, lent);
            state.waiting_ -= std::min(lent, state.waiting_);
        }
    }
    return count;
}

} // namespace

TEST(retry_borrowing, nothing_is_asked_while_no_request_waits)
{
    retry_borrowing state;
    EXPECT_TRUE(next_loan_requests(state, 0, routers_of(3), start).empty());
    state.waiting_ = 2;
    EXPECT_TRUE(next_loan_requests(state, 2, routers_of(3), start).empty());
}

TEST(retry_borrowing, what_is_missing_is_divided_among_those_asked)
{
    retry_borrowing state;
    state.waiting_ = 8;
    auto const requests = next_loan_requests(state, 1.5, routers_of(3), start);
    ASSERT_EQ(requests.size(), 3U);
    EXPECT_EQ(requests[0], (loan_request{"router-0", 3}));
    EXPECT_TRUE(next_loan_requests(state, 1.5, routers_of(3), start).empty());
}

TEST(retry_borrowing, a_router_that_lends_is_asked_again)
{
    retry_borrowing state;
    state.waiting_ = 5;
    count_requests(state, 1, 2);
    EXPECT_EQ(state.waiting_, 0U);
}

TEST(retry_borrowing, a_large_fleet_without_retries_is_asked_a_few_times)
{
    retry_borrowing state;
    state.waiting_ = 100;
    EXPECT_LE(count_requests(state, 100, 0), 8U);
    EXPECT_FALSE(may_borrow(state, start));
    EXPECT_TRUE(may_borrow(state, start + seconds(1)));
}

TEST(retry_borrowing, another_round_asks_other_routers)
{
    retry_borrowing state;
    state.waiting_ = 1;
    count_requests(state, 20, 0);
    auto const requests =
        next_loan_requests(state, 0, routers_of(20), start + seconds(1));
    ASSERT_FALSE(requests.empty());
    EXPECT_EQ(requests.front().router_, "router-8");
}

TEST(retry_borrowing, a_router_alone_does_not_wait)
{
    retry_borrowing state;
    state.waiting_ = 1;
    EXPECT_TRUE(next_loan_requests(state, 0, {}, start).empty());
    EXPECT_FALSE(may_borrow(state, start));
}
