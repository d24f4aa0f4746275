// Tests of what a stopping router sends, and how it ends what is left.
#include <gtest/gtest.h>

#include "auburnlb/coordination/planned_stop.hpp"

using namespace auburnlb;

namespace
{

time_point at(milliseconds since_start)
{
    return time_point{} + since_start;
}

constexpr milliseconds limit{8'000};
planned_stop const stop{at(milliseconds(0)), limit};

/// A call of 100 ms, or of any length in the worst case.
stopping_request call_received(milliseconds received)
{
    stopping_request call;
    call.received_ = at(received);
    call.deadline_ = at(received + milliseconds(20'000));
    call.expected_time_ = milliseconds(100);
    call.longest_time_ = milliseconds(20'000);
    return call;
}

} // namespace

TEST(planned_stop, answers_are_written_before_the_process_ends)
{
    for (int const ms : {100, 1'000, 8'000, 60'000})
    {
        planned_stop const each{at(milliseconds(0)), milliseconds(ms)};
        EXPECT_GT(answers_end(each), each.began_at_);
        EXPECT_LT(answers_end(each), process_end(each));
        EXPECT_LT(process_end(each), each.began_at_ + each.limit_);
    }
}

TEST(planned_stop, a_call_of_the_balancers_notice_is_sent_if_it_should_end)
{
    stopping_request call = call_received(milliseconds(2'900));
    EXPECT_TRUE(may_send(stop, call, at(milliseconds(2'900))));
    call.expected_time_ = milliseconds(6'000);
    EXPECT_FALSE(may_send(stop, call, at(milliseconds(2'900))));
}

TEST(planned_stop, a_later_call_is_sent_only_if_it_ends_in_any_case)
{
    stopping_request call = call_received(milliseconds(3'100));
    EXPECT_FALSE(may_send(stop, call, at(milliseconds(3'100))));
    call.deadline_ = at(milliseconds(5'000));
    EXPECT_TRUE(may_send(stop, call, at(milliseconds(3'100))));
}

TEST(planned_stop, a_call_that_has_waited_is_decided_when_it_is_sent)
{
    stopping_request call = call_received(milliseconds(-5'000));
    EXPECT_TRUE(may_send(stop, call, at(milliseconds(6'000))));
    EXPECT_FALSE(may_send(stop, call, at(milliseconds(6'500))));
    call.expected_time_ = milliseconds(3'000);
    EXPECT_FALSE(may_send(stop, call, at(milliseconds(6'000))));
}

TEST(planned_stop, a_stream_is_sent_only_if_it_outlasts_a_silence_of_its_engine)
{
    stopping_request stream = call_received(milliseconds(5'400));
    stream.longest_time_ = milliseconds(750);
    EXPECT_TRUE(may_send(stop, stream, at(milliseconds(5'400))));
    stream.received_ = at(milliseconds(6'000));
    EXPECT_FALSE(may_send(stop, stream, at(milliseconds(6'000))));
    stream.received_ = at(milliseconds(2'000));
    stream.expected_time_ = milliseconds(4'500);
    EXPECT_FALSE(may_send(stop, stream, at(milliseconds(2'000))));
}

TEST(planned_stop, a_response_that_has_begun_goes_on_up_to_the_end)
{
    EXPECT_EQ(end_of_request(stop, stop_ending::abort_response),
              process_end(stop));
    EXPECT_EQ(end_of_request(stop, stop_ending::respond_unknown),
              answers_end(stop));
    EXPECT_EQ(end_of_request(stop, stop_ending::refuse), answers_end(stop));
}

TEST(planned_stop, nothing_new_is_sent_when_the_answers_are_due)
{
    stopping_request call = call_received(milliseconds(7'300));
    call.deadline_ = at(milliseconds(7'350));
    EXPECT_FALSE(may_send(stop, call, at(milliseconds(7'300))));
    EXPECT_FALSE(may_send(stop, call, at(milliseconds(9'000))));
}

TEST(planned_stop, a_request_that_may_have_run_is_never_refused)
{
    stopping_request call = call_received(milliseconds(5'000));
    call.may_have_run_ = true;
    for (int ms = 0; ms < 9'000; ms += 100)
    {
        EXPECT_TRUE(may_send(stop, call, at(milliseconds(ms))));
    }
    EXPECT_EQ(ending_of(false, true), stop_ending::respond_unknown);
    EXPECT_EQ(ending_of(true, true), stop_ending::abort_response);
}

TEST(planned_stop, only_what_was_never_sent_is_refused)
{
    EXPECT_EQ(ending_of(false, false), stop_ending::refuse);
    EXPECT_EQ(ending_of(true, false), stop_ending::abort_response);
}
