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

constexpr attempt_end all_ends[] = {attempt_end::not_sent, attempt_end::refused,
                                    attempt_end::failed, attempt_end::broken,
                                    attempt_end::silent};

} // namespace

TEST(attempt_outcome, idempotent_work_is_repeated_after_every_end)
{
    for (attempt_end const end : all_ends)
    {
        EXPECT_EQ(decide_after(end, repeatable()), attempt_decision::repeat);
    }
}

TEST(attempt_outcome, other_work_is_repeated_only_if_it_has_not_run)
{
    EXPECT_EQ(decide_after(attempt_end::not_sent, at_most_once()),
              attempt_decision::repeat);
    EXPECT_EQ(decide_after(attempt_end::refused, at_most_once()),
              attempt_decision::repeat);
    EXPECT_EQ(decide_after(attempt_end::failed, at_most_once()),
              attempt_decision::pass_on_error);
    EXPECT_EQ(decide_after(attempt_end::broken, at_most_once()),
              attempt_decision::answer_unknown);
    EXPECT_EQ(decide_after(attempt_end::silent, at_most_once()),
              attempt_decision::answer_unknown);
}

TEST(attempt_outcome, not_run_is_not_said_once_an_attempt_may_have_run)
{
    attempt_limits limits = repeatable();
    limits.has_budget_ = false;
    EXPECT_EQ(decide_after(attempt_end::refused, limits),
              attempt_decision::answer_not_run);
    limits.may_have_run_ = true;
    EXPECT_EQ(decide_after(attempt_end::refused, limits),
              attempt_decision::answer_unknown);
}

TEST(attempt_outcome, a_begun_answer_never_gets_another_head)
{
    attempt_limits limits = repeatable();
    limits.has_delivered_ = true;
    EXPECT_EQ(decide_after(attempt_end::broken, limits),
              attempt_decision::repeat);
    limits.has_time_ = false;
    for (attempt_end const end : all_ends)
    {
        EXPECT_EQ(decide_after(end, limits), attempt_decision::break_off);
    }
}

TEST(attempt_outcome, limits_and_suspicion_end_the_repeats)
{
    attempt_limits limits = repeatable();
    limits.endpoints_ = limits.max_endpoints_;
    EXPECT_NE(decide_after(attempt_end::broken, limits),
              attempt_decision::repeat);
    limits = repeatable();
    limits.is_suspect_ = true;
    EXPECT_NE(decide_after(attempt_end::broken, limits),
              attempt_decision::repeat);
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
        std::vector<attempt_end>(std::begin(all_ends), std::end(all_ends)));
    auto const decision = decide_after(end, limits);
    bool const has_run =
        end != attempt_end::not_sent && end != attempt_end::refused;
    if (has_run)
    {
        RC_ASSERT(decision != attempt_decision::repeat);
        RC_ASSERT(decision != attempt_decision::answer_not_run);
    }
}
