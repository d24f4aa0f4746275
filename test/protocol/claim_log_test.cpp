// Tests of shard owners: properties over random histories, and single
// transitions.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/protocol/claim_log.hpp"
#include "auburnlb/protocol/claim_shards.hpp"
#include "protocol/claim_simulation.hpp"

using namespace auburnlb;
using namespace auburnlb::test;

namespace
{

constexpr int histories_per_seed = 300;
constexpr int steps_per_history = 250;

std::string run_history(std::uint64_t seed, bool is_recovery_checked,
                        coverage& counts)
{
    claim_simulation simulation(seed, counts);
    for (int step = 0; step < steps_per_history; ++step)
    {
        simulation.step();
        if (!simulation.failure().empty())
        {
            return simulation.failure();
        }
    }
    if (is_recovery_checked && !simulation.recovers())
    {
        return "no owner serves a new key after the faults end";
    }
    return simulation.failure();
}

} // namespace

TEST(claim_log, a_key_runs_at_most_once_and_answers_are_true)
{
    coverage counts;
    EXPECT_TRUE(rc::check(
        [&](std::uint64_t seed)
        {
            for (int index = 0; index < histories_per_seed; ++index)
            {
                std::string const failure = run_history(
                    seed * histories_per_seed + index, index % 30 == 0, counts);
                RC_ASSERT(failure == "");
            }
        }));
    std::cout << "executions " << counts.executions_ << " replays "
              << counts.replays_ << " fenced " << counts.fenced_
              << " takeovers " << counts.takeovers_ << " releases "
              << counts.releases_ << " not_run " << counts.not_run_
              << " unknown " << counts.unknown_ << " crashes "
              << counts.crashes_ << "\n";
    EXPECT_GT(counts.executions_, 10'000U);
    EXPECT_GT(counts.replays_, 1'000U);
    EXPECT_GT(counts.fenced_, 1'000U);
    EXPECT_GT(counts.releases_, 1'000U);
}

namespace
{

constexpr claim_log_id own_log{100, 1};

/// Provides an owner that owns all its shards, and a clock.
class shard_owner_transitions : public testing::Test
{
protected:
    shard_owner_transitions() { owner_ = make_owner({}); }

    shard_owner make_owner(shard_owner_settings const& settings)
    {
        auto owner = make_shard_owner("desk", 2, own_log, settings);
        apply(owner, shards_acquired{own_log, {0, 1}, {}}, now_);
        return owner;
    }

    call_arrived call(std::uint64_t request, std::string key)
    {
        return {{1, request}, std::move(key), 7, now_ + seconds{10}, false};
    }

    std::vector<claim_action> feed(claim_event const& event)
    {
        return apply(owner_, event, now_);
    }

    void finish(std::string const& key, std::string body)
    {
        auto outcome = std::make_shared<call_outcome const>(
            call_outcome{201, {{"A", "b"}}, std::move(body)});
        feed(call_finished{make_key_id(key), call_status::responded, outcome});
    }

    void run_to_end(std::uint64_t request, std::string const& key,
                    std::string body)
    {
        feed(call(request, key));
        feed(put_finished{owner_.next_number_, put_status::created});
        finish(key, std::move(body));
        now_ += seconds{1};
    }

    time_point now_{};
    shard_owner owner_;
};

template <class Action>
std::vector<Action> actions_of_type(std::vector<claim_action> const& actions)
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

TEST_F(shard_owner_transitions, keys_of_one_group_interval_share_a_segment)
{
    EXPECT_EQ(actions_of_type<put_segment>(feed(call(1, "w/a"))).size(), 1U);
    EXPECT_TRUE(feed(call(2, "w/b")).empty());
    EXPECT_TRUE(feed(call(3, "w/c")).empty());
    auto const durable = feed(put_finished{0, put_status::created});
    EXPECT_EQ(actions_of_type<run_call>(durable).size(), 1U);
    EXPECT_TRUE(actions_of_type<put_segment>(durable).empty());
    now_ += owner_.settings_.group_interval_;
    auto const puts = actions_of_type<put_segment>(feed(tick{}));
    ASSERT_EQ(puts.size(), 1U);
    EXPECT_EQ(puts[0].segment_.keys_.size(), 2U);
    EXPECT_EQ(puts[0].segment_.number_, 1U);
}

TEST_F(shard_owner_transitions,
       a_claim_whose_store_reply_was_lost_serves_the_next_send)
{
    feed(call(1, "w/a"));
    feed(put_finished{0, put_status::lost});
    now_ += seconds{3};
    auto const refused = feed(tick{});
    auto const responses = actions_of_type<respond_to_call>(refused);
    ASSERT_EQ(responses.size(), 1U);
    EXPECT_EQ(responses[0].reason_, refusal_reason::claim_store_unavailable);
    EXPECT_EQ(responses[0].run_state_, run_state::not_run);
    ASSERT_EQ(actions_of_type<read_segment>(refused).size(), 1U);
    EXPECT_TRUE(feed(segment_read{0, false, owner_.put_->segment_}).empty());
    auto const resent = feed(call(2, "w/a"));
    EXPECT_EQ(actions_of_type<run_call>(resent).size(), 1U);
    EXPECT_TRUE(actions_of_type<put_segment>(resent).empty());
}

TEST_F(shard_owner_transitions,
       new_keys_are_refused_at_once_while_the_store_is_down)
{
    feed(call(1, "w/a"));
    feed(put_finished{0, put_status::not_sent});
    now_ += seconds{3};
    feed(tick{});
    auto const responses =
        actions_of_type<respond_to_call>(feed(call(2, "w/b")));
    ASSERT_EQ(responses.size(), 1U);
    EXPECT_EQ(responses[0].reason_, refusal_reason::claim_store_unavailable);
}

TEST_F(shard_owner_transitions, reusing_a_key_with_another_body_is_refused)
{
    run_to_end(1, "w/a", "first");
    auto other = call(2, "w/a");
    other.fingerprint_ = 8;
    auto const responses = actions_of_type<respond_to_call>(feed(other));
    ASSERT_EQ(responses.size(), 1U);
    EXPECT_EQ(responses[0].reason_, refusal_reason::key_body_mismatch);
}

TEST_F(shard_owner_transitions, every_waiter_gets_the_outcome_of_a_single_run)
{
    feed(call(1, "w/a"));
    feed(call(2, "w/a"));
    feed(call(2, "w/a"));
    auto const durable = feed(put_finished{0, put_status::created});
    EXPECT_EQ(actions_of_type<run_call>(durable).size(), 1U);
    auto const outcome =
        std::make_shared<call_outcome const>(call_outcome{201, {}, "van 4"});
    auto const responses = actions_of_type<respond_to_call>(feed(
        call_finished{make_key_id("w/a"), call_status::responded, outcome}));
    ASSERT_EQ(responses.size(), 2U);
    EXPECT_FALSE(responses[0].is_replay_);
    EXPECT_TRUE(responses[1].is_replay_);
    EXPECT_EQ(responses[1].outcome_->body_, "van 4");
}

TEST_F(shard_owner_transitions,
       a_lookup_never_runs_a_key_and_never_reports_not_run)
{
    auto lookup = call(1, "w/a");
    lookup.is_lookup_ = true;
    auto const actions = feed(lookup);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(actions_of_type<respond_to_call>(actions)[0].run_state_,
              run_state::unknown);
}

TEST_F(shard_owner_transitions,
       a_key_whose_outcome_was_evicted_is_reported_as_ran)
{
    owner_.settings_.max_outcome_bytes_ = 150;
    run_to_end(1, "w/a", std::string(40, 'a'));
    run_to_end(2, "w/b", std::string(40, 'b'));
    EXPECT_LE(owner_.outcome_bytes_, 150U);
    auto const old = actions_of_type<respond_to_call>(feed(call(3, "w/a")));
    ASSERT_EQ(old.size(), 1U);
    EXPECT_EQ(old[0].run_state_, run_state::ran);
    EXPECT_EQ(old[0].outcome_, nullptr);
    EXPECT_NE(
        actions_of_type<respond_to_call>(feed(call(4, "w/b")))[0].outcome_,
        nullptr);
}

TEST_F(shard_owner_transitions, keys_expire_after_their_lifetime)
{
    run_to_end(1, "w/a", "first");
    now_ += owner_.settings_.key_lifetime_;
    feed(tick{});
    EXPECT_TRUE(owner_.records_.empty());
    EXPECT_EQ(owner_.outcome_bytes_, 0U);
    EXPECT_TRUE(owner_.outcomes_.empty());
}

TEST_F(shard_owner_transitions,
       new_keys_are_refused_when_the_key_limit_is_reached)
{
    owner_.settings_.max_keys_ = 1;
    run_to_end(1, "w/a", "first");
    auto const responses =
        actions_of_type<respond_to_call>(feed(call(2, "w/b")));
    ASSERT_EQ(responses.size(), 1U);
    EXPECT_EQ(responses[0].reason_, refusal_reason::overloaded);
    EXPECT_EQ(responses[0].run_state_, run_state::not_run);
}

TEST_F(shard_owner_transitions,
       a_state_transfer_waits_for_running_calls_and_carries_outcomes)
{
    feed(call(1, "w/a"));
    feed(put_finished{0, put_status::created});
    now_ += seconds{1};
    EXPECT_TRUE(feed(release_requested{{0, 1}}).empty());
    auto const refused = actions_of_type<respond_to_call>(feed(call(2, "w/b")));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].reason_, refusal_reason::not_shard_home);
    auto const outcome =
        std::make_shared<call_outcome const>(call_outcome{201, {}, "van 4"});
    auto const puts = actions_of_type<put_segment>(feed(
        call_finished{make_key_id("w/a"), call_status::responded, outcome}));
    ASSERT_EQ(puts.size(), 1U);
    EXPECT_EQ(puts[0].segment_.kind_, segment_kind::state_transfer);
    ASSERT_EQ(puts[0].segment_.keys_.size(), 1U);
    auto const released = actions_of_type<shards_released>(
        feed(put_finished{1, put_status::created}));
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].shards_, (std::vector<std::uint32_t>{0, 1}));

    // The next owner replays the outcome that the segment carries.
    auto next = make_shard_owner("desk", 2, {200, 1}, {});
    apply(next,
          shards_acquired{
              {200, 1}, {0, 1}, {{puts[0].segment_.keys_[0], own_log}}},
          now_);
    auto const replay =
        actions_of_type<respond_to_call>(apply(next, call(3, "w/a"), now_));
    ASSERT_EQ(replay.size(), 1U);
    EXPECT_TRUE(replay[0].is_replay_);
    EXPECT_EQ(replay[0].outcome_->body_, "van 4");
}

TEST_F(shard_owner_transitions,
       a_fenced_owner_runs_nothing_and_starts_a_new_log)
{
    feed(call(1, "w/a"));
    feed(put_finished{0, put_status::conflict});
    claim_segment seal = owner_.put_->segment_;
    seal.writer_ = 300;
    seal.kind_ = segment_kind::seal;
    auto const actions = feed(segment_read{0, false, seal});
    ASSERT_EQ(actions_of_type<respond_to_call>(actions).size(), 1U);
    EXPECT_EQ(actions_of_type<respond_to_call>(actions)[0].run_state_,
              run_state::not_run);
    EXPECT_EQ(actions_of_type<owner_fenced>(actions).size(), 1U);
    feed(shards_acquired{own_log, {0, 1}, {}});
    EXPECT_TRUE(owner_.is_fenced_);
    feed(shards_acquired{{100, 2}, {0, 1}, {}});
    auto const puts = actions_of_type<put_segment>(feed(call(2, "w/a")));
    ASSERT_EQ(puts.size(), 1U);
    EXPECT_EQ(puts[0].segment_.log_, (claim_log_id{100, 2}));
}

TEST(group_interval, keeps_all_owners_within_the_write_limit)
{
    EXPECT_EQ(group_interval(1, 1'000), microseconds{3'000});
    EXPECT_EQ(group_interval(3, 200), microseconds{15'000});
}
