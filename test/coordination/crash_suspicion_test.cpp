// Tests of crash suspicion: two endpoints at most, and innocents cleared.
#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/crash_suspicion.hpp"

using namespace auburnlb;

namespace
{

constexpr request_fingerprint culprit = 1;
time_point const start{};

std::string endpoint_name(int number)
{
    return "tcp://127.0.0.1:" + std::to_string(10'000 + number);
}

/// Several entries, each with its own state; an update reaches the others
/// before anything else happens.
struct entries
{
    std::vector<crash_suspicion> states_{2};

    void spread(suspicion_update const& update, time_point now)
    {
        for (crash_suspicion& state : states_)
        {
            merge_suspicion(state, update, now);
        }
    }

    void lose(std::string const& endpoint, time_point now)
    {
        std::vector<suspicion_update> updates;
        for (crash_suspicion& state : states_)
        {
            updates.push_back(on_endpoint_lost(state, endpoint, now));
        }
        for (suspicion_update const& update : updates)
        {
            spread(update, now);
        }
    }
};

/// Endpoints, of those numbered from 0, at which no suspect runs.
std::string pick_endpoint(crash_suspicion const& state, bool is_isolated,
                          std::set<std::string> const& lost, time_point now)
{
    std::set<std::string> const busy =
        is_isolated ? endpoints_running_suspects(state, now)
                    : std::set<std::string>{};
    for (int number = *rc::gen::inRange(0, 8);; ++number)
    {
        std::string name = endpoint_name(number);
        if (!lost.contains(name) && !busy.contains(name))
        {
            return name;
        }
    }
}

} // namespace

RC_GTEST_PROP(crash_suspicion, a_request_never_takes_a_third_endpoint, ())
{
    entries all;
    std::set<std::string> lost;
    time_point now = start;
    std::uint64_t sequence = 0;
    int crashed = 0;
    std::map<request_id, request_fingerprint> innocents;
    int const rounds = *rc::gen::inRange(1, 40);
    for (int round = 0; round < rounds; ++round)
    {
        now += seconds(*rc::gen::inRange(0, 5));
        auto const at = *rc::gen::inRange<std::size_t>(0, 2);
        crash_suspicion& state = all.states_[at];
        request_fingerprint const fingerprint =
            *rc::gen::inRange<request_fingerprint>(1, 6);
        run_permission const permission = may_run(state, fingerprint, now);
        if (permission == run_permission::refuse)
        {
            continue;
        }
        std::string const endpoint = pick_endpoint(
            state, permission == run_permission::allow_isolated, lost, now);
        request_id const request{at + 1, ++sequence};
        record_run(state, request, fingerprint, {endpoint}, 0);
        if (fingerprint == culprit)
        {
            lost.insert(endpoint);
            all.lose(endpoint, now);
            all.spread(on_run_end(state, request, false), now);
            RC_ASSERT(++crashed <= static_cast<int>(max_crashes));
            continue;
        }
        all.spread(on_progress(state, request, 0), now);
        all.spread(on_run_end(state, request, true), now);
    }
    for (request_fingerprint other = culprit + 1; other < 6; ++other)
    {
        RC_ASSERT(may_run(all.states_[0], other, now) !=
                  run_permission::refuse);
    }
}

RC_GTEST_PROP(crash_suspicion, innocents_of_a_batch_are_cleared, ())
{
    entries all;
    crash_suspicion& state = all.states_[0];
    auto const batch = *rc::gen::inRange<std::uint64_t>(1, 20);
    for (std::uint64_t number = 1; number <= batch; ++number)
    {
        record_run(state, {1, number}, number, {endpoint_name(0)}, 0);
        if (*rc::gen::arbitrary<bool>())
        {
            on_progress(state, {1, number}, 3);
        }
    }
    all.lose(endpoint_name(0), start);
    for (std::uint64_t number = 1; number <= batch; ++number)
    {
        RC_ASSERT(all.states_[1].suspects_.contains(number));
        record_run(state, {1, number}, number, {endpoint_name(1)}, 4);
        all.spread(number == culprit ? suspicion_update{}
                                     : on_progress(state, {1, number}, 5),
                   start);
    }
    all.lose(endpoint_name(1), start);
    for (std::uint64_t number = 1; number <= batch; ++number)
    {
        RC_ASSERT((may_run(all.states_[1], number, start) ==
                   run_permission::refuse) == (number == culprit));
    }
}

TEST(crash_suspicion, a_fresh_suspect_runs_apart_from_other_suspects)
{
    crash_suspicion state;
    record_run(state, {1, 1}, 11, {endpoint_name(0)}, 0);
    record_run(state, {1, 2}, 12, {endpoint_name(0)}, 0);
    on_progress(state, {1, 2}, 7);
    on_endpoint_lost(state, endpoint_name(0), start);
    EXPECT_EQ(may_run(state, 11, start), run_permission::allow_isolated);
    EXPECT_EQ(may_run(state, 12, start), run_permission::allow);
    record_run(state, {1, 1}, 11, {endpoint_name(1)}, 0);
    EXPECT_EQ(endpoints_running_suspects(state, start),
              std::set<std::string>{endpoint_name(1)});
}

TEST(crash_suspicion, two_endpoints_lost_under_one_attempt_are_one_crash)
{
    crash_suspicion state;
    record_run(state, {1, 1}, 11, {endpoint_name(0), endpoint_name(1)}, 0);
    on_endpoint_lost(state, endpoint_name(0), start);
    on_endpoint_lost(state, endpoint_name(1), start);
    EXPECT_NE(may_run(state, 11, start), run_permission::refuse);
}

TEST(crash_suspicion, progress_short_of_the_crash_clears_nothing)
{
    crash_suspicion state;
    record_run(state, {1, 1}, 11, {endpoint_name(0)}, 0);
    on_progress(state, {1, 1}, 6);
    on_endpoint_lost(state, endpoint_name(0), start);
    record_run(state, {1, 2}, 11, {endpoint_name(1)}, 0);
    on_progress(state, {1, 2}, 6);
    on_endpoint_lost(state, endpoint_name(1), start);
    EXPECT_EQ(may_run(state, 11, start), run_permission::refuse);
}

TEST(crash_suspicion, merging_clears_a_suspect_but_no_refused_request)
{
    crash_suspicion state;
    merge_suspicion(state, {{{11, 1}, {12, 2}}}, start);
    merge_suspicion(state, {{{11, 0}, {12, 0}}}, start);
    merge_suspicion(state, {{{12, 1}}}, start);
    EXPECT_EQ(may_run(state, 11, start), run_permission::allow);
    EXPECT_EQ(may_run(state, 12, start), run_permission::refuse);
    EXPECT_EQ(current_suspicions(state, start).crashes_,
              (std::map<std::uint64_t, std::uint32_t>{{12, 2}}));
}

TEST(crash_suspicion, expires_and_stays_bounded)
{
    crash_suspicion state;
    state.max_suspects_ = 2;
    merge_suspicion(state, {{{11, 1}}}, start);
    merge_suspicion(state, {{{12, 2}, {13, 2}}}, start + seconds(1));
    expire_suspicions(state, start + seconds(1));
    EXPECT_EQ(state.suspects_.size(), 2U);
    EXPECT_EQ(may_run(state, 11, start), run_permission::allow);
    expire_suspicions(state, start + seconds(2) + state.refused_lifetime_);
    EXPECT_TRUE(state.suspects_.empty());
}

TEST(crash_suspicion, others_keep_away_from_a_suspect_that_runs_alone)
{
    crash_suspicion state;
    // Request 1 had produced nothing when "a" was lost, request 2 had.
    record_run(state, {1, 1}, 11, {"a"}, 0);
    record_run(state, {1, 2}, 22, {"a"}, 0);
    on_progress(state, {1, 2}, 4);
    on_endpoint_lost(state, "a", time_point{});
    EXPECT_TRUE(is_suspect(state, 22, time_point{}));
    EXPECT_FALSE(is_suspect(state, 33, time_point{}));
    EXPECT_TRUE(isolated_endpoints(state, time_point{}).empty());
    record_run(state, {1, 1}, 11, {"b"}, 0);
    record_run(state, {1, 2}, 22, {"c"}, 5);
    EXPECT_EQ(isolated_endpoints(state, time_point{}),
              (std::set<std::string>{"b"}));
    on_run_end(state, {1, 1}, true);
    EXPECT_TRUE(isolated_endpoints(state, time_point{}).empty());
}

TEST(crash_suspicion, fingerprints_tell_the_parts_apart)
{
    EXPECT_NE(fingerprint_of("a", "b", "c"), fingerprint_of("ab", "", "c"));
    EXPECT_EQ(fingerprint_of("a", "b", "c"), fingerprint_of("a", "b", "c"));
}
