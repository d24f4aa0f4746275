// Tests of the retry budget.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/retry_budget.hpp"

using namespace auburnlb;

RC_GTEST_PROP(retry_budget, is_never_exceeded, ())
{
    double const ratio = *rc::gen::inRange(0, 100) / 100.0;
    int const reserve = *rc::gen::inRange(0, 20);
    retry_budget budget = make_retry_budget(ratio, reserve);
    int begun = 0;
    int retried = 0;
    for (bool const is_retry : *rc::gen::arbitrary<std::vector<bool>>())
    {
        if (!is_retry)
        {
            on_request_begun(budget);
            ++begun;
            continue;
        }
        retried += try_spend(budget, retry_reason::stage_died) ? 1 : 0;
        RC_ASSERT(retried <= reserve + ratio * begun + 1e-9);
    }
    RC_ASSERT(static_cast<int>(budget.spent_[retry_reason::stage_died]) ==
              retried);
}

TEST(retry_budget, is_shared_by_all_reasons_and_counts_each_reason)
{
    retry_budget budget = make_retry_budget(0.5, 1);
    EXPECT_TRUE(try_spend(budget, retry_reason::stage_silent));
    EXPECT_FALSE(try_spend(budget, retry_reason::wrong_home));
    on_request_begun(budget);
    EXPECT_FALSE(try_spend(budget, retry_reason::wrong_home));
    on_request_begun(budget);
    EXPECT_TRUE(try_spend(budget, retry_reason::wrong_home));
    EXPECT_EQ(budget.spent_[retry_reason::stage_silent], 1U);
    EXPECT_EQ(budget.spent_[retry_reason::wrong_home], 1U);
    EXPECT_EQ(budget.denied_, 2U);
}
