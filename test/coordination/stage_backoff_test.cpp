// Tests of the pace of attempts at failing stages.
#include <gtest/gtest.h>

#include "auburnlb/coordination/stage_backoff.hpp"

using namespace auburnlb;

namespace
{

time_point const start{};

void fail(stage_backoff& backoff, time_point begun_at, time_point now,
          stage_failure failure = stage_failure::engine_failed)
{
    on_stage_failure(backoff, "a", failure, begun_at, now);
}

bool is_resting(stage_backoff const& backoff, time_point now)
{
    return resting_stages(backoff, now).contains("a");
}

} // namespace

TEST(stage_backoff, a_stage_rests_after_a_failure_and_is_tried_again)
{
    stage_backoff backoff;
    EXPECT_FALSE(is_resting(backoff, start));
    fail(backoff, start, start);
    EXPECT_TRUE(is_resting(backoff, start + milliseconds(99)));
    EXPECT_FALSE(is_resting(backoff, start + milliseconds(100)));
}

TEST(stage_backoff, many_attempts_that_fail_at_once_are_one_failure)
{
    stage_backoff backoff;
    for (int index = 0; index < 60; ++index)
    {
        fail(backoff, start, start + milliseconds(300 + index));
    }
    EXPECT_FALSE(is_resting(backoff, start + milliseconds(400)));
}

TEST(stage_backoff, each_failure_doubles_the_wait_up_to_the_limit)
{
    stage_backoff backoff;
    time_point now = start;
    for (int const wait : {100, 200, 400, 800, 1'000, 1'000})
    {
        fail(backoff, now, now);
        EXPECT_TRUE(is_resting(backoff, now + milliseconds(wait - 1)));
        now += milliseconds(wait);
        EXPECT_FALSE(is_resting(backoff, now));
    }
}

TEST(stage_backoff, waiting_requests_do_not_all_try_at_once)
{
    stage_backoff backoff;
    fail(backoff, start, start);
    time_point const first = start + milliseconds(100);
    on_stage_attempt(backoff, "a", first);
    EXPECT_TRUE(is_resting(backoff, first));
    EXPECT_FALSE(is_resting(backoff, first + milliseconds(100)));
}

TEST(stage_backoff, progress_ends_the_rest_at_once)
{
    stage_backoff backoff;
    fail(backoff, start, start);
    on_stage_progress(backoff, "a", start - milliseconds(1));
    EXPECT_FALSE(is_resting(backoff, start));
}

TEST(stage_backoff, running_requests_do_not_show_that_a_full_engine_has_room)
{
    stage_backoff backoff;
    fail(backoff, start, start, stage_failure::engine_full);
    on_stage_progress(backoff, "a", start - milliseconds(1));
    EXPECT_TRUE(is_resting(backoff, start + milliseconds(99)));
    EXPECT_EQ(backoff.stages_.at("a").wait_, milliseconds(100));
}

TEST(stage_backoff, a_full_engine_that_has_room_again_is_not_flooded)
{
    stage_backoff backoff;
    fail(backoff, start, start, stage_failure::engine_full);
    time_point now = start + milliseconds(100);
    for (int const wait : {50, 25, 12, 10, 10})
    {
        on_stage_attempt(backoff, "a", now);
        on_stage_progress(backoff, "a", now);
        on_stage_attempt(backoff, "a", now);
        EXPECT_TRUE(is_resting(backoff, now + milliseconds(wait - 1)));
        now += milliseconds(wait);
        EXPECT_FALSE(is_resting(backoff, now));
    }
}

TEST(stage_backoff, a_stage_without_a_recent_failure_is_paced_no_more)
{
    stage_backoff backoff;
    fail(backoff, start, start, stage_failure::engine_full);
    forget_recovered_stages(backoff, start + seconds(5));
    EXPECT_TRUE(backoff.stages_.contains("a"));
    forget_recovered_stages(backoff, start + milliseconds(5'001));
    EXPECT_FALSE(backoff.stages_.contains("a"));
}

TEST(stage_backoff, a_stage_that_is_forgotten_rests_no_longer)
{
    stage_backoff backoff;
    fail(backoff, start, start);
    forget_stage(backoff, "a");
    EXPECT_FALSE(is_resting(backoff, start));
}
