// Tests of the decisions after attempts.
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
    limits.max_sends_ = 2;
    limits.sends_ = 1;
    return limits;
}

attempt_limits at_most_once()
{
    attempt_limits limits;
    limits.max_sends_ = 2;
    limits.sends_ = 1;
    return limits;
}

constexpr attempt_outcome all_outcomes[] = {
    attempt_outcome::not_sent, attempt_outcome::refused,
    attempt_outcome::failed, attempt_outcome::broken, attempt_outcome::silent};

} // namespace

TEST(attempt_outcome, idempotent_requests_are_retried_after_every_outcome)
{
    for (attempt_outcome const outcome : all_outcomes)
    {
        EXPECT_EQ(decide_after(outcome, repeatable()), attempt_decision::retry);
    }
}

TEST(attempt_outcome, only_what_would_be_lost_waits_for_a_borrowed_retry)
{
    attempt_limits limits = repeatable();
    limits.has_budget_ = false;
    limits.may_borrow_ = true;
    limits.may_have_run_ = true;
    EXPECT_EQ(decide_after(attempt_outcome::broken, limits),
              attempt_decision::await_budget);
    EXPECT_EQ(decide_after(attempt_outcome::failed, limits),
              attempt_decision::forward_error);
    limits.has_delivered_ = true;
    EXPECT_EQ(decide_after(attempt_outcome::failed, limits),
              attempt_decision::await_budget);
    limits.has_time_ = false;
    EXPECT_EQ(decide_after(attempt_outcome::broken, limits),
              attempt_decision::abort_response);
}

TEST(attempt_outcome, what_has_not_run_does_not_wait_for_a_borrowed_retry)
{
    attempt_limits limits = repeatable();
    limits.has_budget_ = false;
    limits.may_borrow_ = true;
    EXPECT_EQ(decide_after(attempt_outcome::refused, limits),
              attempt_decision::respond_not_run);
}

TEST(attempt_outcome, what_forbids_another_attempt_is_named)
{
    attempt_outcome const outcome = attempt_outcome::broken;
    attempt_limits limits = repeatable();
    EXPECT_EQ(denial_after(outcome, limits), attempt_denial::none);
    limits.has_budget_ = false;
    EXPECT_EQ(denial_after(outcome, limits), attempt_denial::budget);
    EXPECT_EQ(denial_after(attempt_outcome::not_sent, limits),
              attempt_denial::none);
    limits.may_repeat_ = false;
    EXPECT_EQ(denial_after(outcome, limits), attempt_denial::kind);
    limits.sends_ = limits.max_sends_;
    EXPECT_EQ(denial_after(outcome, limits), attempt_denial::attempts);
    limits.is_suspect_ = true;
    EXPECT_EQ(denial_after(outcome, limits), attempt_denial::suspicion);
    limits.has_time_ = false;
    EXPECT_EQ(denial_after(outcome, limits), attempt_denial::time);
}

TEST(attempt_outcome, other_requests_are_retried_only_if_they_have_not_run)
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

TEST(attempt_outcome, never_responds_not_run_once_an_attempt_may_have_run)
{
    attempt_limits limits = repeatable();
    limits.has_budget_ = false;
    EXPECT_EQ(decide_after(attempt_outcome::refused, limits),
              attempt_decision::respond_not_run);
    limits.may_have_run_ = true;
    EXPECT_EQ(decide_after(attempt_outcome::refused, limits),
              attempt_decision::respond_unknown);
}

TEST(attempt_outcome, a_response_that_has_begun_is_aborted_instead_of_replaced)
{
    attempt_limits limits = repeatable();
    limits.has_delivered_ = true;
    EXPECT_EQ(decide_after(attempt_outcome::broken, limits),
              attempt_decision::retry);
    limits.has_time_ = false;
    for (attempt_outcome const outcome : all_outcomes)
    {
        EXPECT_EQ(decide_after(outcome, limits),
                  attempt_decision::abort_response);
    }
}

TEST(attempt_outcome, endpoint_limit_and_crash_suspicion_prevent_retries)
{
    attempt_limits limits = repeatable();
    limits.sends_ = limits.max_sends_;
    EXPECT_NE(decide_after(attempt_outcome::broken, limits),
              attempt_decision::retry);
    limits = repeatable();
    limits.is_suspect_ = true;
    EXPECT_NE(decide_after(attempt_outcome::broken, limits),
              attempt_decision::retry);
}

RC_GTEST_PROP(attempt_outcome,
              never_retries_a_non_repeatable_request_that_may_have_run, ())
{
    attempt_limits limits;
    limits.max_sends_ = *rc::gen::inRange(1U, 4U);
    limits.sends_ = *rc::gen::inRange(0U, 4U);
    limits.has_time_ = *rc::gen::arbitrary<bool>();
    limits.has_budget_ = *rc::gen::arbitrary<bool>();
    limits.is_suspect_ = *rc::gen::arbitrary<bool>();
    limits.may_have_run_ = *rc::gen::arbitrary<bool>();
    limits.has_delivered_ = *rc::gen::arbitrary<bool>();
    auto const outcome = *rc::gen::elementOf(std::vector<attempt_outcome>(
        std::begin(all_outcomes), std::end(all_outcomes)));
    auto const decision = decide_after(outcome, limits);
    bool const may_have_run = outcome != attempt_outcome::not_sent &&
                              outcome != attempt_outcome::refused;
    if (may_have_run)
    {
        RC_ASSERT(decision != attempt_decision::retry);
        RC_ASSERT(decision != attempt_decision::respond_not_run);
    }
}
