// Tests of which cut runs count as crashes.
#include <gtest/gtest.h>

#include "auburnlb/coordination/interrupted_runs.hpp"

using namespace auburnlb;

namespace
{

time_point const start{seconds(10'000)};
time_point const before = start - milliseconds(1);
request_traits const request{request_trait(7)};
interrupted_runs::run const cut{"a@1", "host:1", request, start};

endpoint_record record_at(std::string const& address, std::string const& id)
{
    endpoint_record record;
    record.id_ = id;
    record.address_ = address;
    record.started_ms_ = 1;
    return record;
}

} // namespace

TEST(interrupted_runs, only_confirmed_crashes_count)
{
    interrupted_runs interrupted;
    EXPECT_FALSE(record_interrupted_run(interrupted, cut));
    EXPECT_FALSE(confirm_crash(interrupted, "b@1", start));
    auto const crash = confirm_crash(interrupted, "a@1", start);
    ASSERT_TRUE(crash);
    EXPECT_EQ(*crash, (endpoint_crash{start, {request}}));
    EXPECT_FALSE(confirm_crash(interrupted, "a@1", start));
}

TEST(interrupted_runs, a_run_cut_after_its_endpoint_was_found_lost_counts)
{
    interrupted_runs interrupted;
    EXPECT_FALSE(confirm_crash(interrupted, "a@1", start));
    EXPECT_TRUE(record_interrupted_run(interrupted, cut));
}

TEST(interrupted_runs, an_end_is_known_until_it_is_forgotten)
{
    interrupted_runs interrupted;
    EXPECT_FALSE(has_ended(interrupted, "a@1"));
    confirm_crash(interrupted, "a@1", start);
    EXPECT_TRUE(has_ended(interrupted, "a@1"));
    EXPECT_FALSE(has_ended(interrupted, "b@1"));
    expire_interrupted_runs(interrupted, start + seconds(11));
    EXPECT_FALSE(has_ended(interrupted, "a@1"));
}

TEST(interrupted_runs, a_cut_long_before_the_end_of_the_endpoint_does_not_count)
{
    interrupted_runs interrupted;
    record_interrupted_run(interrupted, cut);
    EXPECT_FALSE(confirm_crash(interrupted, "a@1", start + seconds(11)));
}

TEST(interrupted_runs, an_end_that_only_a_successor_shows_counts)
{
    interrupted_runs interrupted;
    record_interrupted_run(interrupted, cut);
    EXPECT_TRUE(
        runs_replaced_by(interrupted, record_at("host:2", "b")).empty());
    EXPECT_TRUE(
        runs_replaced_by(interrupted, record_at("host:1", "a")).empty());
    EXPECT_EQ(runs_replaced_by(interrupted, record_at("host:1", "b")),
              std::vector<std::string>{"a@1"});
    EXPECT_TRUE(confirm_crash(interrupted, "a@1", start + seconds(5)));
}

TEST(interrupted_runs,
     an_endpoint_that_answers_before_its_late_end_did_not_crash)
{
    interrupted_runs interrupted;
    record_interrupted_run(interrupted, cut);
    dismiss_runs(interrupted, "a@1", start + milliseconds(500));
    EXPECT_FALSE(confirm_crash(interrupted, "a@1", start + seconds(3)));
}

TEST(interrupted_runs, an_endpoint_that_answers_after_the_cut_has_not_crashed)
{
    interrupted_runs interrupted;
    record_interrupted_run(interrupted, cut);
    dismiss_runs(interrupted, "a@1", before);
    dismiss_runs(interrupted, "b@1", start);
    EXPECT_TRUE(awaits_confirmation(interrupted, "a@1", before));
    dismiss_runs(interrupted, "a@1", start);
    EXPECT_FALSE(awaits_confirmation(interrupted, "a@1", before));
    EXPECT_FALSE(confirm_crash(interrupted, "a@1", start));
}

TEST(interrupted_runs,
     a_run_that_was_cut_after_the_last_probe_awaits_confirmation)
{
    interrupted_runs interrupted;
    record_interrupted_run(interrupted, cut);
    EXPECT_TRUE(awaits_confirmation(interrupted, "a@1", before));
    EXPECT_FALSE(awaits_confirmation(interrupted, "a@1", start));
}

TEST(interrupted_runs, a_cut_is_resolved_by_an_answer_of_its_endpoint)
{
    interrupted_runs interrupted;
    EXPECT_FALSE(is_unresolved(interrupted, 7));
    record_interrupted_run(interrupted, cut);
    EXPECT_TRUE(is_unresolved(interrupted, 7));
    EXPECT_FALSE(is_unresolved(interrupted, 8));
    record_answer(interrupted, "a@1", before);
    EXPECT_TRUE(is_unresolved(interrupted, 7));
    record_answer(interrupted, "a@1", start);
    EXPECT_FALSE(is_unresolved(interrupted, 7));
    EXPECT_TRUE(confirm_crash(interrupted, "a@1", start));
}

TEST(interrupted_runs, everything_is_forgotten_in_time)
{
    interrupted_runs interrupted;
    record_interrupted_run(interrupted, cut);
    confirm_crash(interrupted, "b@1", start);
    expire_interrupted_runs(interrupted, start + seconds(1'000));
    EXPECT_EQ(interrupted, interrupted_runs{});
}
