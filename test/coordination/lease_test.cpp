// Properties of leases and fencing with pauses, lost responses and restarts.
#include <algorithm>
#include <functional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/lease.hpp"

using namespace auburnlb;

namespace
{

struct lease_object
{
    std::uint64_t revision_ = 0;
    std::string holder_;
};

struct platform_content
{
    lease_object object_;
    std::uint64_t revision_ = 0;
};

struct delayed_order
{
    std::uint64_t number_ = 0;
};

struct candidate
{
    lease_state state_;
    /// Rate of the process's clock, in percent of real time.
    int clock_percent_ = 100;
    bool is_paused_ = false;
    /// Responses that arrived while the process was paused.
    std::vector<std::function<void()>> pending_responses_;
};

// Simulates candidates for a lease, the platform's object, one companion and
// orders in transit.
class lease_simulation
{
public:
    explicit lease_simulation(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            candidates_.emplace_back();
            candidates_[index].state_.self_ = "entry-" + std::to_string(index);
            candidates_[index].clock_percent_ =
                95 + static_cast<int>(index * 5 % 11);
        }
    }

    void advance(milliseconds step)
    {
        now_ += step;
        check_single_holder();
    }

    void tick(std::size_t index)
    {
        candidate& process = candidates_[index];
        if (!process.is_paused_)
        {
            start_calls(process, on_lease_tick(process.state_, clock(process)));
        }
    }

    void set_paused(std::size_t index, bool is_paused)
    {
        candidate& process = candidates_[index];
        process.is_paused_ = is_paused;
        if (is_paused)
        {
            return;
        }
        auto pending_responses = std::move(process.pending_responses_);
        process.pending_responses_.clear();
        for (auto const& pending_response : pending_responses)
        {
            pending_response();
        }
    }

    void release(std::size_t index)
    {
        candidate& process = candidates_[index];
        if (!process.is_paused_)
        {
            start_calls(process, release_lease(process.state_, clock(process)));
        }
    }

    void send_order(std::size_t index)
    {
        candidate const& process = candidates_[index];
        auto const number = held_fencing_number(process.state_, clock(process));
        if (number && !process.is_paused_)
        {
            orders_.push_back({*number});
        }
    }

    void deliver_order(std::size_t which)
    {
        if (orders_.empty())
        {
            return;
        }
        auto const taken = orders_.begin() +
                           static_cast<std::ptrdiff_t>(which % orders_.size());
        std::uint64_t const number = taken->number_;
        orders_.erase(taken);
        if (check_order(gate_, "plan", number) == order_verdict::pass)
        {
            RC_ASSERT(number >= last_passed_);
            last_passed_ = number;
        }
    }

    void restart_companion() { gate_ = {}; }

    void read_number_on_companion()
    {
        on_fencing_number_read(gate_, "plan",
                               to_fencing_number(stored_version()));
    }

    void save_copy() { copy_ = stored_; }

    // The platform comes back from its copy: what was written since is lost,
    // and its versions are given out again.
    void restore_copy()
    {
        stored_ = copy_;
        ++epoch_;
    }

    // Runs one pending call to the platform. Its response may be lost.
    void run_call(std::size_t which, bool is_response_lost)
    {
        if (calls_.empty())
        {
            return;
        }
        auto const taken =
            calls_.begin() + static_cast<std::ptrdiff_t>(which % calls_.size());
        auto const call = *taken;
        calls_.erase(taken);
        call(is_response_lost);
    }

    std::size_t size() const { return candidates_.size(); }

    bool recover()
    {
        for (int step = 0; step < 400; ++step)
        {
            for (std::size_t index = 0; index < size(); ++index)
            {
                set_paused(index, false);
                tick(index);
            }
            while (!calls_.empty())
            {
                run_call(0, false);
            }
            if (count_holders() == 1 || is_all_released())
            {
                return true;
            }
            advance(milliseconds(50));
        }
        return false;
    }

private:
    store_version stored_version() const
    {
        return {epoch_, stored_.object_.revision_};
    }

    time_point clock(candidate const& process) const
    {
        return time_point{} +
               (now_ - time_point{}) * process.clock_percent_ / 100;
    }

    std::size_t count_holders() const
    {
        return static_cast<std::size_t>(std::count_if(
            candidates_.begin(), candidates_.end(),
            [this](candidate const& process) {
                return held_fencing_number(process.state_, clock(process))
                    .has_value();
            }));
    }

    bool is_all_released() const
    {
        return std::all_of(candidates_.begin(), candidates_.end(),
                           [](candidate const& process)
                           { return process.state_.is_released_; });
    }

    void check_single_holder() const { RC_ASSERT(count_holders() <= 1); }

    void deliver_response(candidate& process, std::function<void()> handler)
    {
        if (process.is_paused_)
        {
            process.pending_responses_.push_back(std::move(handler));
            return;
        }
        handler();
        check_single_holder();
    }

    void start_calls(candidate& process, lease_actions const& actions)
    {
        for (lease_action const& action : actions)
        {
            if (auto const* write = std::get_if<write_lease>(&action))
            {
                calls_.push_back([this, &process, write = *write](bool is_lost)
                                 { run_write(process, write, is_lost); });
                continue;
            }
            calls_.push_back([this, &process](bool is_lost)
                             { run_read(process, is_lost); });
        }
    }

    void run_read(candidate& process, bool is_lost)
    {
        deliver_response(
            process,
            [this, &process, is_lost, version = stored_version(),
             holder = stored_.object_.holder_]
            {
                if (is_lost)
                {
                    on_lease_failed(process.state_, clock(process));
                    return;
                }
                start_calls(process, on_lease_read(process.state_, version,
                                                   holder, clock(process)));
            });
    }

    void run_write(candidate& process, write_lease const& write, bool is_lost)
    {
        lease_object& object = stored_.object_;
        bool const is_applied =
            object.revision_ == write.expected_version_.revision_;
        if (is_applied)
        {
            object = {++stored_.revision_, write.holder_};
        }
        deliver_response(
            process,
            [this, &process, is_failed = is_lost || !is_applied,
             version = stored_version()]
            {
                if (is_failed)
                {
                    on_lease_failed(process.state_, clock(process));
                    return;
                }
                on_lease_written(process.state_, version, clock(process));
            });
    }

    std::vector<candidate> candidates_;
    platform_content stored_;
    platform_content copy_;
    std::uint64_t epoch_ = first_epoch;
    std::vector<std::function<void(bool)>> calls_;
    std::vector<delayed_order> orders_;
    order_gate gate_;
    std::uint64_t last_passed_ = 0;
    time_point now_{seconds(1)};
};

void apply_step(lease_simulation& simulation, std::uint32_t step)
{
    std::size_t const index = step / 16 % simulation.size();
    switch (step % 16)
    {
    case 0:
        simulation.set_paused(index, true);
        break;
    case 1:
        simulation.set_paused(index, false);
        break;
    case 2:
        simulation.restart_companion();
        break;
    case 3:
        simulation.read_number_on_companion();
        break;
    case 4:
        simulation.run_call(step / 16, true);
        break;
    case 5:
        step / 1'024 % 8 == 0 ? simulation.release(index)
                              : simulation.send_order(index);
        break;
    case 6:
    case 7:
        simulation.send_order(index);
        break;
    case 8:
        simulation.deliver_order(step / 16);
        break;
    case 9:
    case 10:
    case 11:
        simulation.advance(milliseconds(step / 16 % 1'500));
        break;
    case 12:
    case 13:
        simulation.tick(index);
        break;
    default:
        simulation.run_call(step / 16, false);
    }
}

std::uint64_t fence(std::uint64_t revision)
{
    return to_fencing_number({first_epoch, revision});
}

/// A process "a" that has taken a free lease.
lease_state make_holder(store_version const& version, time_point now)
{
    lease_state holder;
    holder.self_ = "a";
    on_lease_tick(holder, now);
    on_lease_read(holder, {version.epoch_, 0}, "", now);
    on_lease_written(holder, version, now);
    return holder;
}

// Of 64 steps about one copies the platform or goes back to the copy.
void apply_step_or_restore(lease_simulation& simulation, std::uint32_t step)
{
    std::uint32_t const choice = step / 16'384;
    switch (choice)
    {
    case 0:
        simulation.save_copy();
        break;
    case 1:
        simulation.restore_copy();
        break;
    default:
        apply_step(simulation, step);
    }
}

template <class Apply>
void check_random_steps(Apply apply)
{
    lease_simulation simulation(*rc::gen::inRange<std::size_t>(2, 5));
    auto const steps = *rc::gen::container<std::vector<std::uint32_t>>(
        1'000, rc::gen::inRange<std::uint32_t>(0, 1U << 20U));
    for (std::uint32_t const step : steps)
    {
        apply(simulation, step);
    }
    RC_ASSERT(simulation.recover());
}

} // namespace

RC_GTEST_PROP(lease, one_holder_at_a_time_and_fencing_numbers_never_decrease,
              ())
{
    check_random_steps(apply_step);
}

RC_GTEST_PROP(lease, one_holder_and_rising_fencing_numbers_over_a_restore, ())
{
    check_random_steps(apply_step_or_restore);
}

TEST(lease, a_lease_ends_for_its_holder_before_others_can_take_it)
{
    lease_state holder;
    holder.self_ = "a";
    time_point const begin{seconds(1)};
    ASSERT_EQ(on_lease_tick(holder, begin), lease_actions{read_lease{}});
    ASSERT_EQ(on_lease_read(holder, {1, 0}, "", begin),
              lease_actions{(write_lease{{1, 0}, "a"})});
    on_lease_written(holder, {1, 7}, begin + milliseconds(300));
    EXPECT_EQ(held_fencing_number(holder, begin + milliseconds(4'999)),
              fence(7));
    EXPECT_FALSE(held_fencing_number(holder, begin + milliseconds(5'000)));
    lease_state waiting;
    waiting.self_ = "b";
    EXPECT_TRUE(on_lease_read(waiting, {1, 7}, "a", begin).empty());
    EXPECT_TRUE(on_lease_read(waiting, {1, 7}, "a", begin + milliseconds(5'999))
                    .empty());
    EXPECT_EQ(on_lease_read(waiting, {1, 7}, "a", begin + milliseconds(6'000)),
              lease_actions{(write_lease{{1, 7}, "b"})});
}

TEST(lease, a_released_lease_is_free_at_once_and_not_taken_again)
{
    time_point const begin{seconds(1)};
    lease_state holder = make_holder({1, 7}, begin);
    ASSERT_EQ(release_lease(holder, begin),
              lease_actions{(write_lease{{1, 7}, ""})});
    on_lease_written(holder, {1, 8}, begin);
    EXPECT_FALSE(held_fencing_number(holder, begin));
    EXPECT_TRUE(on_lease_tick(holder, begin + seconds(60)).empty());
    lease_state waiting;
    waiting.self_ = "b";
    EXPECT_EQ(on_lease_read(waiting, {1, 8}, "", begin),
              lease_actions{(write_lease{{1, 8}, "b"})});
}

TEST(lease, a_renewal_with_lost_response_is_read_back_and_keeps_the_lease)
{
    time_point const begin{seconds(1)};
    lease_state holder = make_holder({1, 7}, begin);
    ASSERT_EQ(on_lease_tick(holder, begin + milliseconds(2'000)),
              lease_actions{(write_lease{{1, 7}, "a"})});
    on_lease_failed(holder, begin + milliseconds(2'500));
    ASSERT_EQ(on_lease_tick(holder, begin + milliseconds(3'500)),
              lease_actions{read_lease{}});
    EXPECT_EQ(on_lease_read(holder, {1, 8}, "a", begin + milliseconds(3'500)),
              lease_actions{(write_lease{{1, 8}, "a"})});
    EXPECT_EQ(held_fencing_number(holder, begin + milliseconds(3'600)),
              fence(7));
}

TEST(lease, a_holder_reaches_the_platform_again_before_its_lease_ends)
{
    time_point const begin{seconds(1)};
    lease_state holder = make_holder({1, 7}, begin);
    time_point const failed = begin + milliseconds(4'300);
    on_lease_tick(holder, failed);
    on_lease_failed(holder, failed);
    ASSERT_EQ(on_lease_tick(holder, failed + milliseconds(500)),
              lease_actions{read_lease{}});
    EXPECT_EQ(on_lease_read(holder, {2, 5}, "a", failed + milliseconds(500)),
              lease_actions{(write_lease{{2, 5}, "a"})});
}

TEST(lease, a_holder_named_by_an_older_copy_waits_for_the_present_one)
{
    time_point const begin{seconds(1)};
    lease_state former = make_holder({1, 6}, begin);
    on_lease_read(former, {1, 9}, "b", begin + seconds(8));
    time_point const restored = begin + seconds(9);
    EXPECT_TRUE(on_lease_read(former, {2, 6}, "a", restored).empty());
    EXPECT_FALSE(
        on_lease_read(former, {2, 6}, "a", restored + seconds(6)).empty());
}

TEST(lease, the_present_holder_keeps_its_lease_over_a_restore)
{
    time_point const begin{seconds(1)};
    lease_state holder = make_holder({1, 9}, begin);
    EXPECT_EQ(on_lease_read(holder, {2, 3}, "b", begin + seconds(2)),
              lease_actions{(write_lease{{2, 3}, "a"})});
    std::uint64_t const before =
        held_fencing_number(holder, begin + seconds(2)).value();
    on_lease_written(holder, {2, 4}, begin + seconds(2));
    EXPECT_LT(before, held_fencing_number(holder, begin + seconds(2)));
}

TEST(lease, a_write_from_before_a_restore_that_takes_effect_late_gives_no_lease)
{
    lease_state late;
    late.self_ = "a";
    time_point const begin{seconds(1)};
    on_lease_tick(late, begin);
    on_lease_read(late, {1, 6}, "", begin);
    on_lease_failed(late, begin + seconds(1));
    on_lease_read(late, {2, 6}, "b", begin + seconds(2));
    time_point const now = begin + seconds(9);
    EXPECT_TRUE(on_lease_read(late, {2, 9}, "a", now).empty());
    EXPECT_FALSE(on_lease_read(late, {2, 9}, "a", now + seconds(6)).empty());
}

TEST(order_gate, a_restarted_companion_refuses_orders_until_it_has_read)
{
    order_gate gate;
    EXPECT_EQ(check_order(gate, "plan", 9), order_verdict::unread);
    on_fencing_number_read(gate, "plan", 10);
    EXPECT_EQ(check_order(gate, "plan", 9), order_verdict::stale);
    EXPECT_EQ(check_order(gate, "plan", 10), order_verdict::pass);
    EXPECT_EQ(check_order(gate, "plan", 12), order_verdict::pass);
    EXPECT_EQ(check_order(gate, "plan", 11), order_verdict::stale);
    on_fencing_number_read(gate, "plan", 11);
    EXPECT_EQ(check_order(gate, "plan", 11), order_verdict::stale);
    EXPECT_EQ(check_order(gate, "other", 99), order_verdict::unread);
}
