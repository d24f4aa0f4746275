// Tests of when a stream waits for its caller, and when the caller is dropped.
#include <gtest/gtest.h>

#include "auburnlb/coordination/stream_backlog.hpp"

using namespace auburnlb;

namespace
{

constexpr std::size_t kb = 1024;

/// A stream of many, whose caller has so many bytes to take.
stream_backlog behind(std::size_t unsent_bytes)
{
    stream_backlog backlog;
    backlog.unsent_bytes_ = unsent_bytes;
    backlog.all_ = {16 * kb * kb, unsent_bytes};
    backlog.caller_patience_ = milliseconds(2'000);
    return backlog;
}

} // namespace

TEST(stream_backlog, an_endless_stream_waits_for_its_caller)
{
    EXPECT_EQ(decide_on_backlog(behind(0)), backlog_decision::read);
    EXPECT_EQ(decide_on_backlog(behind(300 * kb)), backlog_decision::pause);
}

TEST(stream_backlog, a_paused_stream_goes_on_when_half_is_taken)
{
    stream_backlog backlog = behind(200 * kb);
    EXPECT_EQ(decide_on_backlog(backlog), backlog_decision::read);
    backlog.is_paused_ = true;
    EXPECT_EQ(decide_on_backlog(backlog), backlog_decision::pause);
    backlog.unsent_bytes_ = 100 * kb;
    EXPECT_EQ(decide_on_backlog(backlog), backlog_decision::read);
}

TEST(stream_backlog, many_slow_callers_are_given_less_each)
{
    stream_backlog backlog = behind(32 * kb);
    backlog.all_.used_ = 9 * kb * kb;
    EXPECT_EQ(decide_on_backlog(backlog), backlog_decision::pause);
}

TEST(stream_backlog, a_caller_with_few_bytes_is_not_dropped_for_the_others)
{
    stream_backlog backlog = behind(4 * kb);
    backlog.all_.used_ = backlog.all_.limit_ + 1;
    EXPECT_EQ(decide_on_backlog(backlog), backlog_decision::read);
    backlog.unsent_bytes_ = 10 * kb;
    EXPECT_EQ(decide_on_backlog(backlog), backlog_decision::drop_for_memory);
}

TEST(stream_backlog, a_caller_that_takes_nothing_is_dropped)
{
    stream_backlog backlog = behind(300 * kb);
    backlog.idle_time_ = backlog.caller_patience_;
    EXPECT_EQ(decide_on_backlog(backlog), backlog_decision::pause);
    backlog.is_paused_ = true;
    EXPECT_EQ(decide_on_backlog(backlog), backlog_decision::drop_as_stuck);
}
