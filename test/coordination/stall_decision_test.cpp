// What follows when an attempt makes no progress.
#include "auburnlb/coordination/stall_decision.hpp"

#include <gtest/gtest.h>

namespace
{

using namespace auburnlb;

stalled_attempt silent_attempt()
{
    stalled_attempt attempt;
    attempt.idle_time_ = milliseconds(400);
    attempt.caller_patience_ = milliseconds(2'000);
    return attempt;
}

TEST(stall_decision, a_silent_attempt_is_not_closed_for_one_that_may_fail)
{
    stalled_attempt attempt = silent_attempt();
    attempt.has_alternative_ = true;
    attempt.has_separate_alternative_ = true;
    EXPECT_EQ(decide_after_stall(attempt), stall_decision::supersede);
    attempt.idle_time_ = milliseconds(1'900);
    EXPECT_EQ(decide_after_stall(attempt), stall_decision::supersede);
}

TEST(stall_decision, a_silent_attempt_without_alternative_goes_on)
{
    stalled_attempt attempt = silent_attempt();
    attempt.idle_time_ = milliseconds(1'900);
    attempt.has_ended_engine_ = true;
    EXPECT_EQ(decide_after_stall(attempt), stall_decision::wait);
}

TEST(stall_decision, a_shared_first_endpoint_is_given_a_second_to_go_on)
{
    stalled_attempt attempt = silent_attempt();
    attempt.has_alternative_ = true;
    attempt.idle_time_ = milliseconds(1'100);
    EXPECT_EQ(decide_after_stall(attempt), stall_decision::wait);
    attempt.idle_time_ = milliseconds(1'200);
    EXPECT_EQ(decide_after_stall(attempt), stall_decision::give_up);
}

TEST(stall_decision, an_engine_that_has_ended_is_not_waited_for)
{
    stalled_attempt attempt = silent_attempt();
    attempt.has_alternative_ = true;
    attempt.has_separate_alternative_ = true;
    attempt.has_ended_engine_ = true;
    EXPECT_EQ(decide_after_stall(attempt), stall_decision::give_up);
}

} // namespace
