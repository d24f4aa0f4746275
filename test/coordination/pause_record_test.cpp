// Tests of what the times of ticks show of pauses.
#include <gtest/gtest.h>

#include "auburnlb/coordination/pause_record.hpp"

using namespace auburnlb;

namespace
{

time_point at(int ms)
{
    return time_point{} + milliseconds(ms);
}

pause_record ticks(std::initializer_list<int> times)
{
    pause_record record;
    record.last_tick_ = at(*times.begin());
    for (int const ms : times)
    {
        record_tick(record, at(ms));
    }
    return record;
}

} // namespace

TEST(pause_record, without_a_pause_things_arrive_after_the_last_tick)
{
    pause_record const record = ticks({1'000, 1'010, 1'020});
    EXPECT_FALSE(record.has_just_ended_);
    EXPECT_EQ(earliest_arrival(record, at(1'025)), at(1'020));
}

TEST(pause_record,
     what_is_handled_before_the_first_tick_may_be_as_old_as_the_pause)
{
    EXPECT_EQ(earliest_arrival(ticks({1'000, 1'010}), at(2'000)), at(1'010));
}

TEST(pause_record,
     what_is_handled_after_the_first_tick_may_be_as_old_as_the_pause)
{
    pause_record const record = ticks({1'000, 1'010, 2'000});
    EXPECT_EQ(earliest_arrival(record, at(2'001)), at(1'010));
    EXPECT_EQ(earliest_arrival(record, at(2'020)), at(1'010));
}

TEST(pause_record, a_pause_has_just_ended_for_one_tick)
{
    EXPECT_TRUE(ticks({1'000, 1'010, 2'000}).has_just_ended_);
    EXPECT_FALSE(ticks({1'000, 1'010, 2'000, 2'010}).has_just_ended_);
    // A process that is always late must still come to its end.
    EXPECT_FALSE(ticks({1'000, 1'010, 2'000, 3'000}).has_just_ended_);
}
