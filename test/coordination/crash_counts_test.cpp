// Tests of crashes counted over all routers.
#include <gtest/gtest.h>

#include "auburnlb/coordination/crash_counts.hpp"

using namespace auburnlb;

namespace
{

time_point const start{};
constexpr request_fingerprint poison = 7;
constexpr request_fingerprint innocent = 8;

} // namespace

TEST(crash_counts, only_confirmed_crashes_count)
{
    crash_counts counts;
    note_broken_run(counts, "a", poison, start);
    EXPECT_EQ(crashes_of(counts, poison, start), 0U);
    EXPECT_TRUE(confirm_crash(counts, "b", start).empty());
    EXPECT_EQ(confirm_crash(counts, "a", start).size(), 1U);
    EXPECT_EQ(crashes_of(counts, poison, start), 1U);
    EXPECT_TRUE(confirm_crash(counts, "a", start).empty());
}

TEST(crash_counts, what_broke_long_before_is_not_the_cause)
{
    crash_counts counts;
    note_broken_run(counts, "a", poison, start);
    EXPECT_TRUE(confirm_crash(counts, "a", start + seconds(3)).empty());
}

TEST(crash_counts, routers_add_up_what_each_saw)
{
    crash_counts first;
    crash_counts second;
    for (int crash = 0; crash < 2; ++crash)
    {
        note_broken_run(first, "a", poison, start);
        confirm_crash(first, "a", start);
    }
    note_broken_run(second, "b", poison, start);
    confirm_crash(second, "b", start);
    for (int round = 0; round < 3; ++round)
    {
        // Repeating what is known adds nothing.
        merge_crashes(first, "second", own_crashes(second, start));
        merge_crashes(second, "first", own_crashes(first, start));
    }
    EXPECT_EQ(crashes_of(first, poison, start), refused_crashes);
    EXPECT_EQ(crashes_of(second, poison, start), refused_crashes);
}

TEST(crash_counts, a_complete_answer_clears_and_time_forgets)
{
    crash_counts counts;
    for (request_fingerprint const each : {poison, innocent})
    {
        note_broken_run(counts, "a", each, start);
    }
    confirm_crash(counts, "a", start);
    clear_crashes(counts, innocent);
    EXPECT_EQ(crashes_of(counts, innocent, start), 0U);
    EXPECT_EQ(crashes_of(counts, poison, start), 1U);
    EXPECT_EQ(crashes_of(counts, poison, start + seconds(61)), 0U);
    EXPECT_TRUE(own_crashes(counts, start + seconds(61)).empty());
}
