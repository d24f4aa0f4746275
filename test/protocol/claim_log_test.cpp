// Properties of claim homes over random histories, and single transitions.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/protocol/claim_log.hpp"
#include "auburnlb/protocol/claim_shards.hpp"
#include "protocol/claim_world.hpp"

using namespace auburnlb;
using namespace auburnlb::test;

namespace
{

constexpr int histories_for_each_seed = 300;
constexpr int steps_of_a_history = 250;

std::string run_history(std::uint64_t seed, bool is_settled, coverage& seen)
{
    claim_world world(seed, seen);
    for (int step = 0; step < steps_of_a_history; ++step)
    {
        world.step();
        if (!world.failure().empty())
        {
            return world.failure();
        }
    }
    if (is_settled && !world.settle())
    {
        return "no home serves a new key after the faults are over";
    }
    return world.failure();
}

} // namespace

TEST(claim_log, a_key_runs_at_most_once_and_answers_are_true)
{
    coverage seen;
    EXPECT_TRUE(rc::check(
        [&](std::uint64_t seed)
        {
            for (int at = 0; at < histories_for_each_seed; ++at)
            {
                std::string const failure = run_history(
                    seed * histories_for_each_seed + at, at % 30 == 0, seen);
                RC_ASSERT(failure == "");
            }
        }));
    std::cout << "executions " << seen.executions_ << " replays "
              << seen.replays_ << " fenced " << seen.fenced_ << " takeovers "
              << seen.takeovers_ << " releases " << seen.releases_
              << " not_run " << seen.not_run_ << " unknown " << seen.unknown_
              << " crashes " << seen.crashes_ << "\n";
    EXPECT_GT(seen.executions_, 10'000U);
    EXPECT_GT(seen.replays_, 1'000U);
    EXPECT_GT(seen.fenced_, 1'000U);
    EXPECT_GT(seen.releases_, 1'000U);
}

namespace
{

constexpr claim_log_id own_log{100, 1};

/// A home that owns all its shards, and a clock.
class claim_log_unit : public testing::Test
{
protected:
    claim_log_unit() { home_ = make_home({}); }

    shard_owner make_home(shard_owner_settings const& settings)
    {
        auto home = make_shard_owner("desk", 2, own_log, settings);
        apply(home, shards_acquired{own_log, {0, 1}, {}}, now_);
        return home;
    }

    call_arrived call(std::uint64_t request, std::string key)
    {
        return {{1, request}, std::move(key), 7, now_ + seconds{10}, false};
    }

    std::vector<claim_action> feed(claim_event const& event)
    {
        return apply(home_, event, now_);
    }

    void finish(std::string const& key, std::string body)
    {
        auto outcome = std::make_shared<call_outcome const>(
            call_outcome{201, {{"A", "b"}}, std::move(body)});
        feed(call_finished{make_key_id(key), call_status::answered, outcome});
    }

    void run_to_end(std::uint64_t request, std::string const& key,
                    std::string body)
    {
        feed(call(request, key));
        feed(put_finished{home_.next_number_, put_status::created});
        finish(key, std::move(body));
        now_ += seconds{1};
    }

    time_point now_{};
    shard_owner home_;
};

template <class Action>
std::vector<Action> only(std::vector<claim_action> const& actions)
{
    std::vector<Action> found;
    for (auto const& action : actions)
    {
        if (auto const* match = std::get_if<Action>(&action))
        {
            found.push_back(*match);
        }
    }
    return found;
}

} // namespace

TEST_F(claim_log_unit, keys_of_one_interval_share_a_segment)
{
    EXPECT_EQ(only<put_segment>(feed(call(1, "w/a"))).size(), 1U);
    EXPECT_TRUE(feed(call(2, "w/b")).empty());
    EXPECT_TRUE(feed(call(3, "w/c")).empty());
    auto const durable = feed(put_finished{0, put_status::created});
    EXPECT_EQ(only<run_call>(durable).size(), 1U);
    EXPECT_TRUE(only<put_segment>(durable).empty());
    now_ += home_.settings_.group_interval_;
    auto const puts = only<put_segment>(feed(tick{}));
    ASSERT_EQ(puts.size(), 1U);
    EXPECT_EQ(puts[0].segment_.keys_.size(), 2U);
    EXPECT_EQ(puts[0].segment_.number_, 1U);
}

TEST_F(claim_log_unit, a_claim_whose_answer_was_lost_serves_the_next_send)
{
    feed(call(1, "w/a"));
    feed(put_finished{0, put_status::lost});
    now_ += seconds{3};
    auto const refused = feed(tick{});
    auto const answers = only<respond_to_call>(refused);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].reason_, refusal_reason::claim_store_unavailable);
    EXPECT_EQ(answers[0].run_state_, run_state::not_run);
    ASSERT_EQ(only<read_segment>(refused).size(), 1U);
    EXPECT_TRUE(feed(segment_read{0, false, home_.put_->segment_}).empty());
    auto const resent = feed(call(2, "w/a"));
    EXPECT_EQ(only<run_call>(resent).size(), 1U);
    EXPECT_TRUE(only<put_segment>(resent).empty());
}

TEST_F(claim_log_unit, a_store_that_is_down_refuses_new_keys_at_once)
{
    feed(call(1, "w/a"));
    feed(put_finished{0, put_status::not_sent});
    now_ += seconds{3};
    feed(tick{});
    auto const answers = only<respond_to_call>(feed(call(2, "w/b")));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].reason_, refusal_reason::claim_store_unavailable);
}

TEST_F(claim_log_unit, another_body_under_a_used_key_is_refused)
{
    run_to_end(1, "w/a", "first");
    auto other = call(2, "w/a");
    other.fingerprint_ = 8;
    auto const answers = only<respond_to_call>(feed(other));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].reason_, refusal_reason::key_body_mismatch);
}

TEST_F(claim_log_unit, every_waiter_gets_the_outcome_and_only_the_first_ran)
{
    feed(call(1, "w/a"));
    feed(call(2, "w/a"));
    feed(call(2, "w/a"));
    auto const durable = feed(put_finished{0, put_status::created});
    EXPECT_EQ(only<run_call>(durable).size(), 1U);
    auto const outcome =
        std::make_shared<call_outcome const>(call_outcome{201, {}, "van 4"});
    auto const answers = only<respond_to_call>(feed(
        call_finished{make_key_id("w/a"), call_status::answered, outcome}));
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_FALSE(answers[0].is_replay_);
    EXPECT_TRUE(answers[1].is_replay_);
    EXPECT_EQ(answers[1].outcome_->body_, "van 4");
}

TEST_F(claim_log_unit, a_lookup_never_runs_a_key_and_never_says_not_run)
{
    auto lookup = call(1, "w/a");
    lookup.is_lookup_ = true;
    auto const actions = feed(lookup);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(only<respond_to_call>(actions)[0].run_state_, run_state::unknown);
}

TEST_F(claim_log_unit, an_outcome_beyond_the_bound_is_still_known_to_have_run)
{
    home_.settings_.max_outcome_bytes_ = 150;
    run_to_end(1, "w/a", std::string(40, 'a'));
    run_to_end(2, "w/b", std::string(40, 'b'));
    EXPECT_LE(home_.outcome_bytes_, 150U);
    auto const old = only<respond_to_call>(feed(call(3, "w/a")));
    ASSERT_EQ(old.size(), 1U);
    EXPECT_EQ(old[0].run_state_, run_state::ran);
    EXPECT_EQ(old[0].outcome_, nullptr);
    EXPECT_NE(only<respond_to_call>(feed(call(4, "w/b")))[0].outcome_, nullptr);
}

TEST_F(claim_log_unit, keys_are_forgotten_after_their_lifetime)
{
    run_to_end(1, "w/a", "first");
    now_ += home_.settings_.key_lifetime_;
    feed(tick{});
    EXPECT_TRUE(home_.records_.empty());
    EXPECT_EQ(home_.outcome_bytes_, 0U);
    EXPECT_TRUE(home_.outcomes_.empty());
}

TEST_F(claim_log_unit, too_many_keys_are_refused_rather_than_forgotten)
{
    home_.settings_.max_keys_ = 1;
    run_to_end(1, "w/a", "first");
    auto const answers = only<respond_to_call>(feed(call(2, "w/b")));
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].reason_, refusal_reason::overloaded);
    EXPECT_EQ(answers[0].run_state_, run_state::not_run);
}

TEST_F(claim_log_unit, a_hand_over_waits_for_running_calls_and_has_outcomes)
{
    feed(call(1, "w/a"));
    feed(put_finished{0, put_status::created});
    now_ += seconds{1};
    EXPECT_TRUE(feed(release_requested{{0, 1}}).empty());
    auto const refused = only<respond_to_call>(feed(call(2, "w/b")));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].reason_, refusal_reason::not_shard_home);
    auto const outcome =
        std::make_shared<call_outcome const>(call_outcome{201, {}, "van 4"});
    auto const puts = only<put_segment>(feed(
        call_finished{make_key_id("w/a"), call_status::answered, outcome}));
    ASSERT_EQ(puts.size(), 1U);
    EXPECT_EQ(puts[0].segment_.kind_, segment_kind::hand_over);
    ASSERT_EQ(puts[0].segment_.keys_.size(), 1U);
    auto const released =
        only<shards_released>(feed(put_finished{1, put_status::created}));
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].shards_, (std::vector<std::uint32_t>{0, 1}));

    // The next home replays the outcome that the segment carries.
    auto next = make_shard_owner("desk", 2, {200, 1}, {});
    apply(next,
          shards_acquired{
              {200, 1}, {0, 1}, {{puts[0].segment_.keys_[0], own_log}}},
          now_);
    auto const replay =
        only<respond_to_call>(apply(next, call(3, "w/a"), now_));
    ASSERT_EQ(replay.size(), 1U);
    EXPECT_TRUE(replay[0].is_replay_);
    EXPECT_EQ(replay[0].outcome_->body_, "van 4");
}

TEST_F(claim_log_unit, a_fenced_home_runs_nothing_and_starts_a_new_log)
{
    feed(call(1, "w/a"));
    feed(put_finished{0, put_status::conflict});
    claim_segment seal = home_.put_->segment_;
    seal.writer_ = 300;
    seal.kind_ = segment_kind::seal;
    auto const actions = feed(segment_read{0, false, seal});
    ASSERT_EQ(only<respond_to_call>(actions).size(), 1U);
    EXPECT_EQ(only<respond_to_call>(actions)[0].run_state_, run_state::not_run);
    EXPECT_EQ(only<owner_fenced>(actions).size(), 1U);
    feed(shards_acquired{own_log, {0, 1}, {}});
    EXPECT_TRUE(home_.is_fenced_);
    feed(shards_acquired{{100, 2}, {0, 1}, {}});
    auto const puts = only<put_segment>(feed(call(2, "w/a")));
    ASSERT_EQ(puts.size(), 1U);
    EXPECT_EQ(puts[0].segment_.log_, (claim_log_id{100, 2}));
}

TEST(group_interval, keeps_all_homes_within_the_share_of_writes)
{
    EXPECT_EQ(group_interval(1, 1'000), microseconds{3'000});
    EXPECT_EQ(group_interval(3, 200), microseconds{15'000});
}
