// Tests of what follows the end of an attempt.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/attempt_outcome.hpp"

using namespace auburnlb;

namespace
{

attempt_limits repeatable()
{
    attempt_limits limits;
    limits.may_repeat_ = true;
    limits.max_endpoints_ = 2;
    limits.endpoints_ = 1;
    return limits;
}

attempt_limits at_most_once()
{
    attempt_limits limits;
    limits.max_endpoints_ = 2;
    limits.endpoints_ = 1;
    return limits;
}

constexpr attempt_outcome all_ends[] = {
    attempt_outcome::not_sent, attempt_outcome::refused,
    attempt_outcome::failed, attempt_outcome::broken, attempt_outcome::silent};

} // namespace

TEST(attempt_outcome, idempotent_work_is_repeated_after_every_end)
{
    for (attempt_outcome const end : all_ends)
    {
        EXPECT_EQ(decide_after(end, repeatable()), attempt_decision::retry);
    }
}

TEST(attempt_outcome, other_work_is_repeated_only_if_it_has_not_run)
{
    EXPECT_EQ(decide_after(attempt_outcome::not_sent, at_most_once()),
              attempt_decision::retry);
    EXPECT_EQ(decide_after(attempt_outcome::refused, at_most_once()),
              attempt_decision::retry);
    EXPECT_EQ(decide_after(attempt_outcome::failed, at_most_once()),
              attempt_decision::forward_error);
    EXPECT_EQ(decide_after(attempt_outcome::broken, at_most_once()),
              attempt_decision::respond_unknown);
    EXPECT_EQ(decide_after(attempt_outcome::silent, at_most_once()),
              attempt_decision::respond_unknown);
}

TEST(attempt_outcome, not_run_is_not_said_once_an_attempt_may_have_run)
{
    attempt_limits limits = repeatable();
    limits.has_budget_ = false;
    EXPECT_EQ(decide_after(attempt_outcome::refused, limits),
              attempt_decision::respond_not_run);
    limits.may_have_run_ = true;
    EXPECT_EQ(decide_after(attempt_outcome::refused, limits),
              attempt_decision::respond_unknown);
}

TEST(attempt_outcome, a_begun_answer_never_gets_another_head)
{
    attempt_limits limits = repeatable();
    limits.has_delivered_ = true;
    EXPECT_EQ(decide_after(attempt_outcome::broken, limits),
              attempt_decision::retry);
    limits.has_time_ = false;
    for (attempt_outcome const end : all_ends)
    {
        EXPECT_EQ(decide_after(end, limits), attempt_decision::abort_response);
    }
}

TEST(attempt_outcome, limits_and_suspicion_end_the_repeats)
{
    attempt_limits limits = repeatable();
    limits.endpoints_ = limits.max_endpoints_;
    EXPECT_NE(decide_after(attempt_outcome::broken, limits),
              attempt_decision::retry);
    limits = repeatable();
    limits.is_suspect_ = true;
    EXPECT_NE(decide_after(attempt_outcome::broken, limits),
              attempt_decision::retry);
}

RC_GTEST_PROP(attempt_outcome, never_runs_twice_what_may_run_once, ())
{
    attempt_limits limits;
    limits.max_endpoints_ = *rc::gen::inRange(1U, 4U);
    limits.endpoints_ = *rc::gen::inRange(0U, 4U);
    limits.has_time_ = *rc::gen::arbitrary<bool>();
    limits.has_budget_ = *rc::gen::arbitrary<bool>();
    limits.is_suspect_ = *rc::gen::arbitrary<bool>();
    limits.may_have_run_ = *rc::gen::arbitrary<bool>();
    limits.has_delivered_ = *rc::gen::arbitrary<bool>();
    auto const end = *rc::gen::elementOf(
        std::vector<attempt_outcome>(std::begin(all_ends), std::end(all_ends)));
    auto const decision = decide_after(end, limits);
    bool const has_run =
        end != attempt_outcome::not_sent && end != attempt_outcome::refused;
    if (has_run)
    {
        RC_ASSERT(decision != attempt_decision::retry);
        RC_ASSERT(decision != attempt_decision::respond_not_run);
    }
}
