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
    record_interrupted_run(counts, "a", poison, start);
    EXPECT_EQ(crash_count(counts, poison, start), 0U);
    EXPECT_TRUE(confirm_crash(counts, "b", start).empty());
    EXPECT_EQ(confirm_crash(counts, "a", start).size(), 1U);
    EXPECT_EQ(crash_count(counts, poison, start), 1U);
    EXPECT_TRUE(confirm_crash(counts, "a", start).empty());
}

TEST(crash_counts, what_broke_long_before_is_not_the_cause)
{
    crash_counts counts;
    record_interrupted_run(counts, "a", poison, start);
    EXPECT_TRUE(confirm_crash(counts, "a", start + seconds(3)).empty());
}

TEST(crash_counts, routers_add_up_what_each_saw)
{
    crash_counts first;
    crash_counts second;
    for (int crash = 0; crash < 2; ++crash)
    {
        record_interrupted_run(first, "a", poison, start);
        confirm_crash(first, "a", start);
    }
    record_interrupted_run(second, "b", poison, start);
    confirm_crash(second, "b", start);
    for (int round = 0; round < 3; ++round)
    {
        // Repeating what is known adds nothing.
        replace_peer_crashes(first, "second", local_crashes(second, start));
        replace_peer_crashes(second, "first", local_crashes(first, start));
    }
    EXPECT_EQ(crash_count(first, poison, start), refused_crash_count);
    EXPECT_EQ(crash_count(second, poison, start), refused_crash_count);
}

TEST(crash_counts, a_complete_answer_clears_and_time_forgets)
{
    crash_counts counts;
    for (request_fingerprint const each : {poison, innocent})
    {
        record_interrupted_run(counts, "a", each, start);
    }
    confirm_crash(counts, "a", start);
    clear_crashes(counts, innocent);
    EXPECT_EQ(crash_count(counts, innocent, start), 0U);
    EXPECT_EQ(crash_count(counts, poison, start), 1U);
    EXPECT_EQ(crash_count(counts, poison, start + seconds(61)), 0U);
    EXPECT_TRUE(local_crashes(counts, start + seconds(61)).empty());
}
