// Tests of the search for requests that crash endpoints.
#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "auburnlb/coordination/crash_causes.hpp"
#include "auburnlb/coordination/interrupted_runs.hpp"

using namespace auburnlb;

namespace
{

time_point const start{seconds(10'000)};
request_traits const crashing_alone{"m/bad"};
request_traits const crashing_request{request_trait(7)};

/// One router's knowledge.
struct observer
{
    crash_causes causes_;
    interrupted_runs interrupted_;

    bool crash(std::string const& run, request_traits const& parts,
               time_point at)
    {
        auto found = record_interrupted_run(interrupted_, {run, "", parts, at});
        if (!found)
        {
            found = confirm_crash(interrupted_, run, at);
        }
        return found && add_crash(causes_, run, *found);
    }
    void success(request_traits const& parts, time_point at)
    {
        record_success(causes_, parts, at);
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
        return is_refused(causes_, parts);
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
    EXPECT_EQ(router.causes_.refused_.size(), 1U);
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
    merge_update(second.causes_, current_update(first.causes_), now);
    EXPECT_FALSE(second.refuses(crashing_alone));
    first.crash("run2", crashing_alone, now);
    merge_update(second.causes_, current_update(first.causes_), now);
    EXPECT_TRUE(second.refuses(crashing_alone));
}

TEST(crash_causes, a_restarted_router_learns_what_it_had_confirmed)
{
    observer first;
    observer second;
    first.crash_each_second(3, {crashing_alone});
    time_point const now = start + seconds(3);
    merge_update(second.causes_, current_update(first.causes_), now);
    first = {};
    merge_update(first.causes_, current_update(second.causes_), now);
    EXPECT_TRUE(first.refuses(crashing_alone));
}

TEST(crash_causes, a_success_elsewhere_clears_a_part)
{
    observer first;
    observer second;
    first.crash_each_second(3, {{"m/popular"}});
    time_point const now = start + seconds(3);
    merge_update(second.causes_, current_update(first.causes_), now);
    EXPECT_TRUE(second.refuses({"m/popular"}));
    second.success({"m/popular"}, now);
    std::uint64_t const revision = first.causes_.revision_;
    merge_update(first.causes_, current_update(second.causes_), now);
    EXPECT_FALSE(first.refuses({"m/popular"}));
    EXPECT_NE(first.causes_.revision_, revision);
    merge_update(first.causes_, current_update(second.causes_), now);
    EXPECT_EQ(first.causes_.revision_, revision + 1);
}

TEST(crash_causes, two_crashes_end_retries_and_time_ends_all)
{
    observer router;
    router.crash("run0", crashing_alone, start);
    EXPECT_FALSE(is_suspected(router.causes_, crashing_alone));
    router.crash("run1", crashing_alone, start + seconds(1));
    EXPECT_TRUE(is_suspected(router.causes_, crashing_alone));
    router.crash("run2", crashing_alone, start + seconds(2));
    expire_crash_causes(router.causes_, start + seconds(1'000));
    EXPECT_FALSE(router.refuses(crashing_alone));
    EXPECT_TRUE(router.causes_.crashes_.empty());
}

TEST(crash_causes, endpoints_lost_at_the_same_moment_do_not_end_retries)
{
    observer router;
    for (int number = 0; number < 5; ++number)
    {
        router.crash("run" + std::to_string(number), {"m/popular"},
                     start + milliseconds(number));
    }
    EXPECT_FALSE(is_suspected(router.causes_, {"m/popular"}));
}

TEST(crash_causes, a_sound_part_beside_the_refused_one_keeps_its_retries)
{
    observer router;
    router.crash_each_second(4, {{"m/a_first"}, {"m/a_first", "m/bad"}});
    EXPECT_TRUE(is_suspected(router.causes_, {"m/a_first", "m/bad"}));
    EXPECT_FALSE(is_suspected(router.causes_, {"m/a_first"}));
}

TEST(crash_causes, a_response_has_continued_after_some_events_and_a_second)
{
    response_progress const slow{start, 2};
    EXPECT_FALSE(has_continued(slow, start + seconds(5)));
    response_progress const fast{start, 50};
    EXPECT_FALSE(has_continued(fast, start + milliseconds(999)));
    EXPECT_TRUE(has_continued(fast, start + seconds(1)));
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

TEST(crash_causes, a_request_that_comes_again_is_refused_without_a_common_part)
{
    observer router;
    request_traits const request{request_trait(7)};
    for (int number = 0; number < 3; ++number)
    {
        EXPECT_FALSE(router.refuses(request));
        router.crash("run" + std::to_string(number), request,
                     start + seconds(number));
    }
    EXPECT_TRUE(router.refuses(request));
    EXPECT_FALSE(router.refuses({request_trait(8)}));
}

TEST(crash_causes,
     retries_that_crash_endpoints_at_once_are_crashes_of_their_own)
{
    observer router;
    for (int number = 0; number < 3; ++number)
    {
        EXPECT_FALSE(router.refuses(crashing_request));
        router.crash("run" + std::to_string(number), crashing_request,
                     start + milliseconds(10) * number);
    }
    EXPECT_TRUE(router.refuses(crashing_request));
}

TEST(crash_causes, retries_count_against_the_part_that_crashes_endpoints)
{
    observer router;
    request_traits const first{"m/bad", request_trait(7)};
    router.crash("run0", first, start);
    router.crash("run1", first, start + milliseconds(20));
    router.crash("run2", {"m/bad", request_trait(8)}, start + seconds(1));
    EXPECT_TRUE(router.refuses({"m/bad", request_trait(9)}));
}

TEST(crash_causes, different_requests_of_endpoints_lost_at_once_are_not_refused)
{
    observer router;
    for (std::uint64_t number = 0; number < 5; ++number)
    {
        router.crash("run" + std::to_string(number),
                     {"m/popular", request_trait(number)}, start);
    }
    EXPECT_FALSE(router.refuses({"m/popular", request_trait(9)}));
}

TEST(crash_causes, a_request_is_unproven_from_a_crash_to_its_first_success)
{
    observer router;
    EXPECT_EQ(record_of(router.causes_, 7), request_record::clean);
    router.crash("run0", crashing_request, start);
    EXPECT_EQ(record_of(router.causes_, 7), request_record::unproven);
    EXPECT_EQ(record_of(router.causes_, 8), request_record::clean);
    router.success(crashing_request, start + seconds(1));
    EXPECT_EQ(record_of(router.causes_, 7), request_record::sound);
    router.crash("run1", crashing_request, start + seconds(2));
    EXPECT_EQ(record_of(router.causes_, 7), request_record::sound);
}

TEST(crash_causes, a_request_that_crashed_endpoints_is_known_for_ten_minutes)
{
    observer router;
    router.crash_each_second(3, {crashing_request});
    expire_crash_causes(router.causes_, start + seconds(590));
    EXPECT_TRUE(router.refuses(crashing_request));
}

TEST(crash_causes, the_part_of_a_request_that_comes_again_is_not_refused_alone)
{
    observer router;
    request_traits const request{"m/first", request_trait(7)};
    router.crash_each_second(6, {request});
    EXPECT_TRUE(router.refuses(request));
    EXPECT_FALSE(router.refuses({"m/first", request_trait(8)}));
}

TEST(crash_causes, a_part_is_refused_once_different_requests_with_it_crash)
{
    observer router;
    router.crash_each_second(3, {{"m/bad", request_trait(7)}});
    router.crash("run3", {"m/bad", request_trait(8)}, start + seconds(4));
    EXPECT_TRUE(router.refuses({"m/bad", request_trait(9)}));
}

TEST(crash_causes, a_sound_request_beside_the_crashing_one_is_not_refused)
{
    observer router;
    router.crash_each_second(
        4, {{"m/first", request_trait(7)}, {"m/first", request_trait(8)}});
    router.success({"m/first", request_trait(8)}, start + seconds(4));
    EXPECT_TRUE(router.refuses({"m/first", request_trait(7)}));
    EXPECT_FALSE(router.refuses({"m/first", request_trait(8)}));
}

TEST(crash_causes, a_usual_request_cut_by_the_loss_of_all_endpoints_is_served)
{
    observer router;
    request_traits const lookup{request_trait(7)};
    router.success(lookup, start - seconds(1));
    for (int number = 0; number < 6; ++number)
    {
        router.crash("run" + std::to_string(number), lookup,
                     start + milliseconds(100) * number);
    }
    EXPECT_FALSE(router.refuses(lookup));
    EXPECT_FALSE(is_suspected(router.causes_, lookup));
}

TEST(crash_causes, a_crash_reaches_routers_that_do_not_poll_the_one_that_saw_it)
{
    observer first;
    observer second;
    observer third;
    for (int number = 0; number < 3; ++number)
    {
        first.crash("run" + std::to_string(number), crashing_request,
                    start + seconds(number));
        time_point const now = start + seconds(number);
        merge_update(second.causes_, current_update(first.causes_), now);
        merge_update(third.causes_, current_update(second.causes_), now);
    }
    EXPECT_TRUE(third.refuses(crashing_request));
}

TEST(crash_causes, crashes_of_several_routers_add_up_once)
{
    observer first;
    observer second;
    first.crash("run0", crashing_request, start);
    first.crash("run1", crashing_request, start + seconds(1));
    second.crash("run2", crashing_request, start + seconds(2));
    time_point const now = start + seconds(2);
    for (int round = 0; round < 3; ++round)
    {
        merge_update(first.causes_, current_update(second.causes_), now);
        merge_update(second.causes_, current_update(first.causes_), now);
    }
    EXPECT_TRUE(first.refuses(crashing_request));
    EXPECT_TRUE(second.refuses(crashing_request));
    EXPECT_EQ(first.causes_.crashes_.size(), 3U);
}

TEST(crash_causes, a_complete_response_clears_its_request_alone)
{
    observer router;
    request_traits const harmless{request_trait(8)};
    router.crash_each_second(2, {crashing_request, harmless});
    router.success(harmless, start + seconds(2));
    EXPECT_TRUE(is_suspected(router.causes_, crashing_request));
    EXPECT_FALSE(is_suspected(router.causes_, harmless));
}

TEST(crash_causes, an_update_has_only_what_the_other_router_lacks)
{
    observer router;
    router.causes_.revision_ = 1'000;
    router.crash("run0", crashing_request, start);
    std::uint64_t const known = router.causes_.revision_;
    EXPECT_EQ(current_update(router.causes_).crashes_.size(), 1U);
    EXPECT_TRUE(current_update(router.causes_, known).crashes_.empty());
    router.crash("run1", crashing_request, start + seconds(1));
    router.success(crashing_request, start + seconds(2));
    auto const update = current_update(router.causes_, known);
    EXPECT_EQ(update.crashes_.size(), 1U);
    EXPECT_TRUE(update.crashes_.contains("run1"));
    EXPECT_EQ(update.successes_.size(), 1U);
    // An earlier process of this router had come further.
    EXPECT_EQ(current_update(router.causes_, known + 100).crashes_.size(), 2U);
}

TEST(crash_causes, only_what_is_refused_or_nearly_so_is_worth_a_write)
{
    observer router;
    request_traits const harmless{request_trait(8)};
    router.crash("run0", crashing_request, start);
    EXPECT_EQ(lasting_update(router.causes_), crash_causes_update{});
    router.crash("run1", harmless, start + seconds(1));
    router.crash("run1", crashing_request, start + seconds(1));
    auto const kept = lasting_update(router.causes_);
    EXPECT_EQ(kept.crashes_.size(), 2U);
    EXPECT_EQ(kept.crashes_.at("run1").requests_,
              std::set<request_traits>{crashing_request});
    observer restarted;
    merge_update(restarted.causes_, kept, start + seconds(9));
    restarted.crash("run2", crashing_request, start + seconds(9));
    EXPECT_TRUE(restarted.refuses(crashing_request));
    router.success(crashing_request, start + seconds(10));
    EXPECT_EQ(lasting_update(router.causes_), crash_causes_update{});
}

TEST(crash_causes, successes_of_a_part_beside_a_refused_request_cost_no_writes)
{
    observer router;
    request_traits const crashing{"m/first", request_trait(7)};
    request_traits const sound{"m/first", request_trait(8)};
    router.crash_each_second(3, {crashing});
    router.success(sound, start + seconds(4));
    auto const written = lasting_update(router.causes_);
    EXPECT_FALSE(is_same_evidence(written, crash_causes_update{}));
    router.success(sound, start + seconds(5));
    EXPECT_TRUE(is_same_evidence(lasting_update(router.causes_), written));
    router.crash("run9", crashing, start + seconds(6));
    EXPECT_FALSE(is_same_evidence(lasting_update(router.causes_), written));
}

TEST(crash_causes, crashes_that_show_why_a_request_is_refused_are_kept_longer)
{
    observer router;
    router.crash_each_second(3, {crashing_request});
    for (int number = 0; number < 300; ++number)
    {
        std::string const text = std::to_string(number);
        router.crash("other" + text, {"m/" + text},
                     start + seconds(10) + milliseconds(100) * number);
    }
    EXPECT_TRUE(router.refuses(crashing_request));
}

TEST(crash_causes, parts_are_causes_however_far_the_response_had_come)
{
    request_traits const prompt{"m/first"};
    request_traits const all{"m/first", request_trait(7)};
    EXPECT_EQ(possible_causes(7, prompt, std::nullopt, start), all);
    EXPECT_EQ(possible_causes(7, prompt, response_progress{start, 1}, start),
              all);
    response_progress const continued{start, 50};
    EXPECT_EQ(possible_causes(7, prompt, continued, start + milliseconds(999)),
              all);
    EXPECT_EQ(possible_causes(7, prompt, continued, start + seconds(1)),
              (request_traits{"m/first/continued", request_trait(7)}));
}

TEST(crash_causes, responses_that_only_go_on_do_not_clear_a_later_crash)
{
    observer router;
    response_progress const continued{start, 50};
    for (std::uint64_t number = 0; number < 3; ++number)
    {
        time_point const at = start + seconds(number + 2);
        router.success({"m/bad"}, at - milliseconds(500));
        router.crash("run" + std::to_string(number),
                     possible_causes(number, {"m/bad"}, continued, at), at);
    }
    request_traits const next = all_traits(9, {"m/bad"});
    EXPECT_TRUE(router.refuses(next));
    router.success({"m/bad"}, start + seconds(6));
    EXPECT_TRUE(router.refuses(next));
    router.success(next, start + seconds(6));
    EXPECT_FALSE(router.refuses(next));
}

TEST(crash_causes, a_part_that_crashes_endpoints_before_they_answer_is_found)
{
    observer router;
    request_traits const popular{"m/first"};
    request_traits const prompt{"m/first", "m/bad"};
    router.success(popular, start - seconds(1));
    for (std::uint64_t number = 0; number < 3; ++number)
    {
        time_point const at = start + seconds(number);
        std::string const run = "run" + std::to_string(number);
        router.crash(run, possible_causes(number, prompt, std::nullopt, at),
                     at);
        router.crash(
            run, possible_causes(100 + number, popular, std::nullopt, at), at);
    }
    EXPECT_TRUE(router.refuses({"m/first", "m/bad", request_trait(9)}));
    EXPECT_FALSE(router.refuses({"m/first", request_trait(9)}));
}

TEST(crash_causes, a_part_that_comes_with_several_others_is_refused_alone)
{
    observer router;
    router.crash_each_second(3, {{"m/bad", "m/first", request_trait(1)},
                                 {"m/bad", "m/second", request_trait(2)},
                                 {"m/bad", "m/second", request_trait(3)}});
    EXPECT_TRUE(router.refuses({"m/bad", "m/third"}));
    EXPECT_FALSE(router.refuses({"m/first", "m/third"}));
    EXPECT_FALSE(router.refuses({"m/second", "m/third"}));
}

TEST(crash_causes, two_crashing_parts_do_not_blame_the_beginning_they_share)
{
    observer router;
    router.success({"m/first"}, start - seconds(1));
    router.crash_each_second(3, {{"m/first", "m/bad1"}, {"m/first", "m/bad2"}});
    router.success({"m/first"}, start + milliseconds(2'500));
    EXPECT_FALSE(router.refuses({"m/first", "m/other"}));
    EXPECT_TRUE(router.refuses({"m/first", "m/bad1"}));
}

TEST(crash_causes, parts_of_different_services_differ)
{
    EXPECT_NE(prompt_traits("a", {"1"}), prompt_traits("b", {"1"}));
    EXPECT_EQ(prompt_traits("a", {"", std::string(65, '1'), "2"}),
              (request_traits{"a/2"}));
}
