// Properties of leases and fencing with pauses, lost answers and restarts.
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
    std::uint64_t version_ = 0;
    std::string holder_;
};

struct delayed_order
{
    std::uint64_t number_ = 0;
};

struct contender
{
    lease_state state_;
    /// Speed of its clock in percent.
    int clock_percent_ = 100;
    bool is_paused_ = false;
    /// Answers that wait until it wakes.
    std::vector<std::function<void()>> inbox_;
};

// Contenders, the platform's object, one companion and orders on their way.
class lease_world
{
public:
    explicit lease_world(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            contenders_.emplace_back();
            contenders_[index].state_.self_ = "entry-" + std::to_string(index);
            contenders_[index].clock_percent_ =
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
        contender& who = contenders_[index];
        if (!who.is_paused_)
        {
            start_calls(who, on_lease_tick(who.state_, clock(who)));
        }
    }

    void set_paused(std::size_t index, bool is_paused)
    {
        contender& who = contenders_[index];
        who.is_paused_ = is_paused;
        if (is_paused)
        {
            return;
        }
        auto inbox = std::move(who.inbox_);
        who.inbox_.clear();
        for (auto const& answer : inbox)
        {
            answer();
        }
    }

    void release(std::size_t index)
    {
        contender& who = contenders_[index];
        if (!who.is_paused_)
        {
            start_calls(who, release_lease(who.state_, clock(who)));
        }
    }

    void order(std::size_t index)
    {
        contender const& who = contenders_[index];
        auto const number = held_fencing_number(who.state_, clock(who));
        if (number && !who.is_paused_)
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

    void companion_reads() { on_number_read(gate_, "plan", object_.version_); }

    // Lets one call of the platform happen, with its answer lost or not.
    void run_call(std::size_t which, bool is_answer_lost)
    {
        if (calls_.empty())
        {
            return;
        }
        auto const taken =
            calls_.begin() + static_cast<std::ptrdiff_t>(which % calls_.size());
        auto const call = *taken;
        calls_.erase(taken);
        call(is_answer_lost);
    }

    std::size_t size() const { return contenders_.size(); }

    bool heal()
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
    time_point clock(contender const& who) const
    {
        return time_point{} + (now_ - time_point{}) * who.clock_percent_ / 100;
    }

    std::size_t count_holders() const
    {
        return static_cast<std::size_t>(std::count_if(
            contenders_.begin(), contenders_.end(),
            [this](contender const& who) {
                return held_fencing_number(who.state_, clock(who)).has_value();
            }));
    }

    bool is_all_released() const
    {
        return std::all_of(contenders_.begin(), contenders_.end(),
                           [](contender const& who)
                           { return who.state_.is_released_; });
    }

    void check_single_holder() const { RC_ASSERT(count_holders() <= 1); }

    void answer(contender& who, std::function<void()> handler)
    {
        if (who.is_paused_)
        {
            who.inbox_.push_back(std::move(handler));
            return;
        }
        handler();
        check_single_holder();
    }

    void start_calls(contender& who, lease_actions const& actions)
    {
        for (lease_action const& action : actions)
        {
            if (auto const* write = std::get_if<write_lease>(&action))
            {
                calls_.push_back([this, &who, write = *write](bool is_lost)
                                 { run_write(who, write, is_lost); });
                continue;
            }
            calls_.push_back([this, &who](bool is_lost)
                             { run_read(who, is_lost); });
        }
    }

    void run_read(contender& who, bool is_lost)
    {
        answer(who,
               [this, &who, is_lost, seen = object_]
               {
                   if (is_lost)
                   {
                       on_lease_failed(who.state_, clock(who));
                       return;
                   }
                   start_calls(who, on_lease_read(who.state_, seen.version_,
                                                  seen.holder_, clock(who)));
               });
    }

    void run_write(contender& who, write_lease const& write, bool is_lost)
    {
        bool const is_taken = object_.version_ == write.expected_version_;
        if (is_taken)
        {
            object_ = {object_.version_ + 1, write.holder_};
        }
        answer(who,
               [this, &who, is_failed = is_lost || !is_taken,
                version = object_.version_]
               {
                   if (is_failed)
                   {
                       on_lease_failed(who.state_, clock(who));
                       return;
                   }
                   on_lease_written(who.state_, version, clock(who));
               });
    }

    std::vector<contender> contenders_;
    lease_object object_;
    std::vector<std::function<void(bool)>> calls_;
    std::vector<delayed_order> orders_;
    order_gate gate_;
    std::uint64_t last_passed_ = 0;
    time_point now_{seconds(1)};
};

void disturb(lease_world& world, std::uint32_t step)
{
    std::size_t const index = step / 16 % world.size();
    switch (step % 16)
    {
    case 0:
        world.set_paused(index, true);
        break;
    case 1:
        world.set_paused(index, false);
        break;
    case 2:
        world.restart_companion();
        break;
    case 3:
        world.companion_reads();
        break;
    case 4:
        world.run_call(step / 16, true);
        break;
    case 5:
        step / 1'024 % 8 == 0 ? world.release(index) : world.order(index);
        break;
    case 6:
    case 7:
        world.order(index);
        break;
    case 8:
        world.deliver_order(step / 16);
        break;
    case 9:
    case 10:
    case 11:
        world.advance(milliseconds(step / 16 % 1'500));
        break;
    case 12:
    case 13:
        world.tick(index);
        break;
    default:
        world.run_call(step / 16, false);
    }
}

} // namespace

RC_GTEST_PROP(lease, one_holder_at_a_time_and_orders_never_go_back, ())
{
    lease_world world(*rc::gen::inRange<std::size_t>(2, 5));
    auto const steps = *rc::gen::container<std::vector<std::uint32_t>>(
        1'000, rc::gen::inRange<std::uint32_t>(0, 1U << 20U));
    for (std::uint32_t const step : steps)
    {
        disturb(world, step);
    }
    RC_ASSERT(world.heal());
}

TEST(lease, a_holder_stops_itself_before_others_may_take_over)
{
    lease_state holder;
    holder.self_ = "a";
    time_point const begin{seconds(1)};
    ASSERT_EQ(on_lease_tick(holder, begin), lease_actions{read_lease{}});
    ASSERT_EQ(on_lease_read(holder, 0, "", begin),
              lease_actions{(write_lease{0, "a"})});
    on_lease_written(holder, 7, begin + milliseconds(300));
    EXPECT_EQ(held_fencing_number(holder, begin + milliseconds(4'999)), 7U);
    EXPECT_FALSE(held_fencing_number(holder, begin + milliseconds(5'000)));
    lease_state waiting;
    waiting.self_ = "b";
    EXPECT_TRUE(on_lease_read(waiting, 7, "a", begin).empty());
    EXPECT_TRUE(
        on_lease_read(waiting, 7, "a", begin + milliseconds(5'999)).empty());
    EXPECT_EQ(on_lease_read(waiting, 7, "a", begin + milliseconds(6'000)),
              lease_actions{(write_lease{7, "b"})});
}

TEST(lease, a_released_lease_is_free_at_once_and_stays_given_up)
{
    lease_state holder;
    holder.self_ = "a";
    time_point const begin{seconds(1)};
    on_lease_tick(holder, begin);
    on_lease_read(holder, 0, "", begin);
    on_lease_written(holder, 7, begin);
    ASSERT_EQ(release_lease(holder, begin),
              lease_actions{(write_lease{7, ""})});
    on_lease_written(holder, 8, begin);
    EXPECT_FALSE(held_fencing_number(holder, begin));
    EXPECT_TRUE(on_lease_tick(holder, begin + seconds(60)).empty());
    lease_state waiting;
    waiting.self_ = "b";
    EXPECT_EQ(on_lease_read(waiting, 8, "", begin),
              lease_actions{(write_lease{8, "b"})});
}

TEST(lease, a_lost_renewal_is_read_back_without_losing_the_lease)
{
    lease_state holder;
    holder.self_ = "a";
    time_point const begin{seconds(1)};
    on_lease_tick(holder, begin);
    on_lease_read(holder, 0, "", begin);
    on_lease_written(holder, 7, begin);
    ASSERT_EQ(on_lease_tick(holder, begin + milliseconds(2'000)),
              lease_actions{(write_lease{7, "a"})});
    on_lease_failed(holder, begin + milliseconds(2'500));
    ASSERT_EQ(on_lease_tick(holder, begin + milliseconds(3'500)),
              lease_actions{read_lease{}});
    EXPECT_EQ(on_lease_read(holder, 8, "a", begin + milliseconds(3'500)),
              lease_actions{(write_lease{8, "a"})});
    EXPECT_EQ(held_fencing_number(holder, begin + milliseconds(3'600)), 7U);
}

TEST(order_gate, a_restarted_companion_passes_nothing_before_it_has_read)
{
    order_gate gate;
    EXPECT_EQ(check_order(gate, "plan", 9), order_verdict::unread);
    on_number_read(gate, "plan", 10);
    EXPECT_EQ(check_order(gate, "plan", 9), order_verdict::stale);
    EXPECT_EQ(check_order(gate, "plan", 10), order_verdict::pass);
    EXPECT_EQ(check_order(gate, "plan", 12), order_verdict::pass);
    EXPECT_EQ(check_order(gate, "plan", 11), order_verdict::stale);
    on_number_read(gate, "plan", 11);
    EXPECT_EQ(check_order(gate, "plan", 11), order_verdict::stale);
    EXPECT_EQ(check_order(gate, "other", 99), order_verdict::unread);
}
