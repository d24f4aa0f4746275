// Tests of the limit for buffered bytes.
#include <gtest/gtest.h>

#include "auburnlb/coordination/byte_budget.hpp"

using namespace auburnlb;

TEST(byte_budget, endless_responses_together_stay_within_the_limit)
{
    byte_budget budget{1'000, 0};
    budgeted_bytes first(budget);
    budgeted_bytes second(budget);
    while (first.try_add(70))
    {
        second.try_add(70);
    }
    EXPECT_LE(budget.used_, budget.limit_);
    EXPECT_FALSE(second.try_add(70));
    first.release();
    EXPECT_TRUE(second.try_add(70));
}

TEST(byte_budget, an_owner_returns_its_bytes_at_its_end)
{
    byte_budget budget{100, 0};
    {
        budgeted_bytes bytes(budget);
        EXPECT_TRUE(bytes.try_add(60));
        EXPECT_TRUE(bytes.try_add(40));
    }
    EXPECT_EQ(budget.used_, 0U);
}
