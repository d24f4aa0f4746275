// Tests of the crash counts over all routers.
#include <gtest/gtest.h>

#include "auburnlb/coordination/crash_counts.hpp"

using namespace auburnlb;

namespace
{

time_point const start{};
constexpr request_fingerprint crashing_request = 7;
constexpr request_fingerprint harmless_request = 8;

} // namespace

TEST(crash_counts, only_confirmed_crashes_count)
{
    crash_counts counts;
    record_interrupted_run(counts, "a", crashing_request, start);
    EXPECT_EQ(crash_count(counts, crashing_request, start), 0U);
    EXPECT_TRUE(confirm_crash(counts, "b", start).empty());
    EXPECT_EQ(confirm_crash(counts, "a", start).size(), 1U);
    EXPECT_EQ(crash_count(counts, crashing_request, start), 1U);
    EXPECT_TRUE(confirm_crash(counts, "a", start).empty());
}

TEST(crash_counts, a_run_interrupted_long_before_the_crash_is_not_counted)
{
    crash_counts counts;
    record_interrupted_run(counts, "a", crashing_request, start);
    EXPECT_TRUE(confirm_crash(counts, "a", start + seconds(3)).empty());
}

TEST(crash_counts, routers_sum_the_crashes_that_each_confirmed)
{
    crash_counts first;
    crash_counts second;
    for (int crash = 0; crash < 2; ++crash)
    {
        record_interrupted_run(first, "a", crashing_request, start);
        confirm_crash(first, "a", start);
    }
    record_interrupted_run(second, "b", crashing_request, start);
    confirm_crash(second, "b", start);
    for (int round = 0; round < 3; ++round)
    {
        // Receiving the same counts again adds nothing.
        replace_peer_crashes(first, "second", local_crashes(second, start));
        replace_peer_crashes(second, "first", local_crashes(first, start));
    }
    EXPECT_EQ(crash_count(first, crashing_request, start), refused_crash_count);
    EXPECT_EQ(crash_count(second, crashing_request, start),
              refused_crash_count);
}

TEST(crash_counts, a_complete_response_clears_crashes_and_time_expires_them)
{
    crash_counts counts;
    for (request_fingerprint const each : {crashing_request, harmless_request})
    {
        record_interrupted_run(counts, "a", each, start);
    }
    confirm_crash(counts, "a", start);
    clear_crashes(counts, harmless_request);
    EXPECT_EQ(crash_count(counts, harmless_request, start), 0U);
    EXPECT_EQ(crash_count(counts, crashing_request, start), 1U);
    EXPECT_EQ(crash_count(counts, crashing_request, start + seconds(61)), 0U);
    EXPECT_TRUE(local_crashes(counts, start + seconds(61)).empty());
}

TEST(crash_counts, a_request_that_crashed_endpoints_is_known_for_ten_minutes)
{
    crash_counts counts;
    for (int number = 0; number < 3; ++number)
    {
        record_interrupted_run(counts, "a", crashing_request, start);
        confirm_crash(counts, "a", start);
    }
    EXPECT_EQ(crash_count(counts, crashing_request, start + seconds(590)), 3U);
}
