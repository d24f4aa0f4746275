// Tests of the search for parts of prompts that crash endpoints.
#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "auburnlb/coordination/crash_causes.hpp"

using namespace auburnlb;

namespace
{

time_point const start{seconds(10'000)};
request_traits const crashing_alone{"m/bad"};

/// One router's knowledge.
struct observer
{
    crash_causes suspicion_;
    interrupted_runs interrupted_;

    bool crash(std::string const& run, request_traits const& parts,
               time_point at)
    {
        record_interrupted_run(suspicion_, interrupted_, run, parts, at);
        return confirm_crash(suspicion_, interrupted_, run, at);
    }
    void success(request_traits const& parts, time_point at)
    {
        record_success(suspicion_, parts, at);
    }
    /// One crash a second; each cuts all these prompts.
    void crash_each_second(int count,
                           std::vector<request_traits> const& prompts)
    {
        for (int number = 0; number < count; ++number)
        {
            for (request_traits const& each : prompts)
            {
                crash("run" + std::to_string(number), each,
                      start + seconds(number));
            }
        }
    }
    bool refuses(request_traits const& parts) const
    {
        return is_refused(suspicion_, parts);
    }
};

} // namespace

TEST(crash_causes, different_requests_with_one_crashing_part_are_refused)
{
    observer router;
    for (int number = 0; number < 3; ++number)
    {
        std::string const text = std::to_string(number);
        EXPECT_FALSE(router.refuses({"m/bad", "m/other"}));
        router.crash("run" + text, {"m/bad", "m/first" + text},
                     start + seconds(number));
    }
    EXPECT_TRUE(router.refuses({"m/bad", "m/other"}));
    EXPECT_FALSE(router.refuses({"m/first0", "m/other"}));
    EXPECT_EQ(router.suspicion_.refused_.size(), 1U);
}

TEST(crash_causes, a_sound_part_beside_the_crashing_one_is_not_refused)
{
    observer router;
    router.success({"m/first"}, start - seconds(5));
    for (int number = 0; number < 6; ++number)
    {
        router.crash("run" + std::to_string(number), {"m/bad", "m/first"},
                     start + seconds(number));
        EXPECT_FALSE(router.refuses({"m/first"}));
    }
    EXPECT_TRUE(router.refuses({"m/bad", "m/first"}));
}

TEST(crash_causes, one_more_crash_tells_parts_apart_that_came_together)
{
    observer router;
    router.crash_each_second(3, {{"m/bad", "m/first"}});
    EXPECT_TRUE(router.refuses({"m/bad", "m/first"}));
    EXPECT_FALSE(router.refuses({"m/bad", "m/second"}));
    router.crash("run3", {"m/bad", "m/second"}, start + seconds(4));
    EXPECT_TRUE(router.refuses({"m/bad", "m/third"}));
    EXPECT_FALSE(router.refuses({"m/first"}));
}

TEST(crash_causes, prompts_cut_by_the_crash_of_another_are_not_refused)
{
    observer router;
    router.crash_each_second(4, {{"m/popular"}, crashing_alone});
    router.success({"m/popular"}, start + milliseconds(3'500));
    EXPECT_TRUE(router.refuses(crashing_alone));
    EXPECT_FALSE(router.refuses({"m/popular"}));
}

TEST(crash_causes, a_new_sound_part_in_every_crash_is_not_refused)
{
    observer router;
    router.crash_each_second(4, {{"m/a_first"}, {"m/a_first", "m/bad"}});
    EXPECT_TRUE(router.refuses({"m/a_first", "m/bad"}));
    EXPECT_FALSE(router.refuses({"m/a_first"}));
}

TEST(crash_causes, endpoints_lost_at_the_same_moment_count_once)
{
    observer router;
    for (int number = 0; number < 5; ++number)
    {
        router.crash("run" + std::to_string(number), {"m/popular"},
                     start + milliseconds(number));
    }
    EXPECT_FALSE(router.refuses({"m/popular"}));
}

TEST(crash_causes, a_crash_that_several_routers_see_counts_once)
{
    observer first;
    observer second;
    for (int number = 0; number < 2; ++number)
    {
        std::string const run = "run" + std::to_string(number);
        time_point const at = start + seconds(number);
        first.crash(run, crashing_alone, at);
        second.crash(run, crashing_alone, at);
    }
    time_point const now = start + seconds(2);
    merge_update(second.suspicion_, current_update(first.suspicion_), now);
    EXPECT_FALSE(second.refuses(crashing_alone));
    first.crash("run2", crashing_alone, now);
    merge_update(second.suspicion_, current_update(first.suspicion_), now);
    EXPECT_TRUE(second.refuses(crashing_alone));
}

TEST(crash_causes, a_restarted_router_learns_what_it_had_confirmed)
{
    observer first;
    observer second;
    first.crash_each_second(3, {crashing_alone});
    time_point const now = start + seconds(3);
    merge_update(second.suspicion_, current_update(first.suspicion_), now);
    first = {};
    merge_update(first.suspicion_, current_update(second.suspicion_), now);
    EXPECT_TRUE(first.refuses(crashing_alone));
}

TEST(crash_causes, a_success_elsewhere_clears_a_part)
{
    observer first;
    observer second;
    first.crash_each_second(3, {{"m/popular"}});
    time_point const now = start + seconds(3);
    merge_update(second.suspicion_, current_update(first.suspicion_), now);
    EXPECT_TRUE(second.refuses({"m/popular"}));
    second.success({"m/popular"}, now);
    std::uint64_t const revision = first.suspicion_.revision_;
    merge_update(first.suspicion_, current_update(second.suspicion_), now);
    EXPECT_FALSE(first.refuses({"m/popular"}));
    EXPECT_NE(first.suspicion_.revision_, revision);
    merge_update(first.suspicion_, current_update(second.suspicion_), now);
    EXPECT_EQ(first.suspicion_.revision_, revision + 1);
}

TEST(crash_causes, a_run_that_ends_after_its_endpoint_was_found_lost_counts)
{
    observer router;
    EXPECT_FALSE(
        confirm_crash(router.suspicion_, router.interrupted_, "run", start));
    EXPECT_TRUE(record_interrupted_run(router.suspicion_, router.interrupted_,
                                       "run", crashing_alone, start));
    EXPECT_EQ(router.suspicion_.crashes_.size(), 1U);
}

TEST(crash_causes, a_cut_without_a_crash_does_not_count)
{
    observer router;
    record_interrupted_run(router.suspicion_, router.interrupted_, "run",
                           crashing_alone, start);
    EXPECT_FALSE(confirm_crash(router.suspicion_, router.interrupted_, "run",
                               start + seconds(3)));
    EXPECT_TRUE(router.suspicion_.crashes_.empty());
}

TEST(crash_causes, two_crashes_end_retries_and_time_ends_all)
{
    observer router;
    router.crash("run0", crashing_alone, start);
    EXPECT_FALSE(is_suspected(router.suspicion_, crashing_alone));
    router.crash("run1", crashing_alone, start + seconds(1));
    EXPECT_TRUE(is_suspected(router.suspicion_, crashing_alone));
    router.crash("run2", crashing_alone, start + seconds(2));
    expire_crash_causes(router.suspicion_, router.interrupted_,
                        start + seconds(1'000));
    EXPECT_FALSE(router.refuses(crashing_alone));
    EXPECT_TRUE(router.suspicion_.crashes_.empty());
    EXPECT_TRUE(router.interrupted_.lost_at_.empty());
}

TEST(crash_causes, endpoints_lost_at_the_same_moment_do_not_end_retries)
{
    observer router;
    for (int number = 0; number < 5; ++number)
    {
        router.crash("run" + std::to_string(number), {"m/popular"},
                     start + milliseconds(number));
    }
    EXPECT_FALSE(is_suspected(router.suspicion_, {"m/popular"}));
}

TEST(crash_causes, a_sound_part_beside_the_refused_one_keeps_its_retries)
{
    observer router;
    router.crash_each_second(4, {{"m/a_first"}, {"m/a_first", "m/bad"}});
    EXPECT_TRUE(is_suspected(router.suspicion_, {"m/a_first", "m/bad"}));
    EXPECT_FALSE(is_suspected(router.suspicion_, {"m/a_first"}));
}

TEST(crash_causes, only_a_response_that_has_just_begun_may_have_crashed)
{
    response_progress const begun{start, 1};
    EXPECT_TRUE(may_have_crashed(begun, start + seconds(5)));
    EXPECT_FALSE(is_success(begun, start + seconds(5)));
    response_progress const fast{start, 50};
    EXPECT_TRUE(may_have_crashed(fast, start + milliseconds(100)));
    EXPECT_FALSE(may_have_crashed(fast, start + milliseconds(500)));
    EXPECT_FALSE(is_success(fast, start + milliseconds(500)));
    EXPECT_TRUE(is_success(fast, start + seconds(1)));
}

TEST(crash_causes, an_evaluation_of_all_kept_crashes_stays_within_the_budget)
{
    constexpr milliseconds budget{34};
    constexpr int crashes = 200;
    constexpr int prompts = 10;
    observer router;
    auto const began = std::chrono::steady_clock::now();
    for (int number = 0; number < crashes * prompts; ++number)
    {
        router.crash("run" + std::to_string(number / prompts),
                     {"m/bad", "m/" + std::to_string(number)},
                     start + seconds(number / prompts));
    }
    auto const taken = std::chrono::steady_clock::now() - began;
    EXPECT_TRUE(router.refuses(crashing_alone));
    EXPECT_LT(taken / (crashes * prompts), budget);
}

TEST(crash_causes, parts_of_different_services_differ)
{
    EXPECT_NE(make_traits("a", {"1"}), make_traits("b", {"1"}));
    EXPECT_EQ(make_traits("a", {"", std::string(65, '1'), "2"}),
              (request_traits{"a/2"}));
}
