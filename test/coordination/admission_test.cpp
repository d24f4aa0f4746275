// Tests of admission: limits, fairness, early refusal and the adaptive limit.
#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/admission.hpp"

using namespace auburnlb;

namespace
{

time_point const start{};

service_config config_with(std::vector<workspace_limits> workspaces)
{
    service_config config;
    config.workspaces_ = std::move(workspaces);
    return config;
}

workspace_limits workspace(std::string name, double tokens_per_second = 0,
                           std::uint32_t max_in_flight = 0)
{
    workspace_limits limits;
    limits.name_ = std::move(name);
    limits.tokens_per_second_ = tokens_per_second;
    limits.max_in_flight_ = max_in_flight;
    return limits;
}

admission_request request_of(std::uint64_t ticket, std::string name,
                             time_point now, double cost = 1)
{
    admission_request request;
    request.ticket_ = ticket;
    request.workspace_ = std::move(name);
    request.token_cost_ = cost;
    request.deadline_ = now + seconds(60);
    return request;
}

/// Fills the service so that further requests wait.
admission_state full_state(std::vector<workspace_limits> workspaces,
                           std::uint32_t in_progress)
{
    admission_state state =
        make_admission(config_with(std::move(workspaces)), {}, 0, start);
    state.limit_ = in_progress;
    for (std::uint64_t ticket = 1; ticket <= in_progress; ++ticket)
    {
        admit(state, request_of(ticket, "a", start), start);
    }
    return state;
}

std::vector<std::uint64_t> admitted(std::vector<admission_decision> const& all)
{
    std::vector<std::uint64_t> tickets;
    for (admission_decision const& decision : all)
    {
        if (decision.verdict_ == admission_verdict::admit)
        {
            tickets.push_back(decision.ticket_);
        }
    }
    return tickets;
}

} // namespace

RC_GTEST_PROP(admission, keeps_limits_and_decides_each_request_once, ())
{
    std::vector<workspace_limits> const limits{
        workspace("a", 50, 3), workspace("b", 0, 2), workspace("c", 20, 0),
        workspace("d")};
    admission_state state = make_admission(config_with(limits), {}, 0, start);
    state.limit_ = *rc::gen::inRange(1, 8);
    time_point now = start;
    std::map<std::uint64_t, std::string> workspace_of;
    std::map<std::uint64_t, double> cost_of;
    std::set<std::uint64_t> waiting;
    std::set<std::uint64_t> running;
    std::map<std::string, double> begun_cost;
    double largest = 0;
    auto const take = [&](admission_decision const& decision)
    {
        RC_ASSERT(!running.contains(decision.ticket_));
        if (decision.verdict_ == admission_verdict::queue)
        {
            RC_ASSERT(waiting.insert(decision.ticket_).second);
            return;
        }
        waiting.erase(decision.ticket_);
        if (decision.verdict_ == admission_verdict::admit)
        {
            running.insert(decision.ticket_);
            begun_cost[workspace_of[decision.ticket_]] +=
                cost_of[decision.ticket_];
        }
    };
    int const steps = *rc::gen::inRange(1, 150);
    for (std::uint64_t ticket = 1; ticket <= static_cast<unsigned>(steps);
         ++ticket)
    {
        now += milliseconds(*rc::gen::inRange(0, 100));
        int const action = *rc::gen::inRange(0, 6);
        if (action < 3)
        {
            double const cost = *rc::gen::inRange(1, 30);
            largest = std::max(largest, cost);
            std::string const name(1, *rc::gen::inRange('a', 'e'));
            workspace_of[ticket] = name;
            cost_of[ticket] = cost;
            take(admit(state, request_of(ticket, name, now, cost), now));
        }
        else if (action == 3 && !running.empty())
        {
            std::uint64_t const ended = *running.begin();
            running.erase(running.begin());
            on_finish(state, ended, cost_of[ended], milliseconds(500));
        }
        else if (action == 4 && !waiting.empty())
        {
            on_caller_disconnect(state, *waiting.begin());
            waiting.erase(waiting.begin());
        }
        else
        {
            for (admission_decision const& decision : on_tick(state, now))
            {
                RC_ASSERT(waiting.contains(decision.ticket_));
                take(decision);
            }
        }
        std::map<std::string, std::uint32_t> in_flight;
        for (std::uint64_t const runs : running)
        {
            ++in_flight[workspace_of[runs]];
        }
        RC_ASSERT(static_cast<double>(running.size()) <=
                  state.limit_ * (1 + limit_headroom));
        RC_ASSERT(in_flight["a"] <= 3U && in_flight["b"] <= 2U);
        double const elapsed =
            std::chrono::duration<double>(now - start).count();
        RC_ASSERT(begun_cost["a"] <= 50 * (elapsed + 2) + largest);
        RC_ASSERT(begun_cost["c"] <= 20 * (elapsed + 2) + largest);
        RC_ASSERT(state.waiting_.size() == waiting.size());
        // Every weight is 1.
        RC_ASSERT(state.active_weight_ ==
                  static_cast<double>(state.round_.size()));
    }
    // Everything that still waits is decided once its time has passed.
    for (admission_decision const& decision : on_tick(state, now + seconds(90)))
    {
        take(decision);
    }
    RC_ASSERT(waiting.empty());
}

RC_GTEST_PROP(admission, parts_of_the_entries_add_up_to_the_limits, ())
{
    auto const entries = *rc::gen::inRange<std::uint32_t>(1, 20);
    auto const in_flight = *rc::gen::inRange<std::uint32_t>(1, 100);
    std::uint32_t sum = 0;
    double rate = 0;
    for (std::uint32_t index = 0; index < entries; ++index)
    {
        admission_state const state =
            make_admission(config_with({workspace("a", 100, in_flight)}),
                           {index, entries}, 0, start);
        sum += state.workspaces_[0].max_in_flight_;
        rate += state.workspaces_[0].tokens_per_second_;
    }
    RC_ASSERT(sum == in_flight);
    RC_ASSERT(std::abs(rate - 100) < 1e-6);
    std::vector<double> demand(entries);
    for (double& part : demand)
    {
        part = *rc::gen::inRange(0, 50);
    }
    double total = 0;
    for (double const part : split_by_demand(demand))
    {
        RC_ASSERT(part > 0);
        total += part;
    }
    RC_ASSERT(std::abs(total - 1) < 1e-9);
}

TEST(admission, a_workspace_at_twenty_times_its_share_pushes_no_other_below_its)
{
    constexpr int small_workspaces = 9;
    constexpr int limit = 40;
    std::vector<workspace_limits> limits{workspace("large")};
    for (int number = 0; number < small_workspaces; ++number)
    {
        limits.push_back(workspace("small-" + std::to_string(number)));
    }
    admission_state state = make_admission(config_with(limits), {}, 0, start);
    state.limit_ = limit;
    state.max_limit_ = limit;
    state.min_limit_ = limit;
    std::map<std::uint64_t, std::string> owner;
    std::deque<std::pair<std::uint64_t, time_point>> running;
    std::map<std::string, double> served;
    std::uint64_t ticket = 0;
    auto const begin = [&](std::uint64_t which, time_point now)
    {
        running.emplace_back(which, now);
    };
    // The service ends 400 requests a second, 40 for each workspace. Small
    // workspaces offer 50 a second each, the large one 800.
    for (int tick = 0; tick < 3'000; ++tick)
    {
        time_point const now = start + milliseconds(10 * tick);
        while (!running.empty() &&
               now - running.front().second >= milliseconds(100))
        {
            std::uint64_t const ended = running.front().first;
            served[owner[ended]] += 1;
            running.pop_front();
            on_finish(state, ended, 1, milliseconds(100));
        }
        for (admission_decision const& decision : on_tick(state, now))
        {
            if (decision.verdict_ == admission_verdict::admit)
            {
                begin(decision.ticket_, now);
            }
        }
        std::vector<std::string> arrivals(8, "large");
        for (int number = 0; number < small_workspaces; ++number)
        {
            if ((tick + number) % 2 == 0)
            {
                arrivals.push_back("small-" + std::to_string(number));
            }
        }
        for (std::string const& name : arrivals)
        {
            owner[++ticket] = name;
            if (admit(state, request_of(ticket, name, now), now).verdict_ ==
                admission_verdict::admit)
            {
                begin(ticket, now);
            }
        }
    }
    double sum = 0;
    double squares = 0;
    double least = served["large"];
    for (workspace_limits const& each : limits)
    {
        double const count = served[each.name_];
        sum += count;
        squares += count * count;
        least = std::min(least, count);
    }
    double const jain =
        sum * sum / (static_cast<double>(limits.size()) * squares);
    double const fair = sum / static_cast<double>(limits.size());
    RecordProperty("jain", std::to_string(jain));
    RecordProperty("least_of_fair", std::to_string(least / fair));
    EXPECT_GE(sum, 0.95 * 400 * 30);
    EXPECT_GE(jain, 0.99);
    EXPECT_GE(least, 0.95 * fair);
}

TEST(admission, shares_the_service_by_weight)
{
    workspace_limits heavy = workspace("b");
    heavy.weight_ = 3;
    admission_state state = full_state({workspace("a"), heavy}, 1);
    std::map<std::uint64_t, std::string> owner;
    for (std::uint64_t ticket = 2; ticket < 802; ++ticket)
    {
        owner[ticket] = ticket % 2 == 0 ? "a" : "b";
        admit(state, request_of(ticket, owner[ticket], start), start);
    }
    std::map<std::string, int> served;
    std::uint64_t running = 1;
    for (int round = 0; round < 400; ++round)
    {
        on_finish(state, running, 1, milliseconds(0));
        auto const next = admitted(on_tick(state, start));
        ASSERT_EQ(next.size(), 1U);
        running = next.front();
        ++served[owner[running]];
    }
    EXPECT_NEAR(served["b"], 300, 25);
}

TEST(admission, charges_a_workspace_for_what_a_request_really_took)
{
    admission_state state =
        make_admission(config_with({workspace("a", 10)}), {}, 0, start);
    admit(state, request_of(1, "a", start, 50), start);
    on_finish(state, 1, 5, milliseconds(10));
    EXPECT_EQ(admit(state, request_of(2, "a", start), start).verdict_,
              admission_verdict::admit);
}

TEST(admission, serves_a_workspace_by_priority_then_deadline)
{
    admission_state state = full_state({workspace("a")}, 1);
    auto const ask = [&](std::uint64_t ticket, int priority, int deadline_s)
    {
        admission_request request = request_of(ticket, "a", start);
        request.priority_ = priority;
        request.deadline_ = start + seconds(deadline_s);
        EXPECT_EQ(admit(state, request, start).verdict_,
                  admission_verdict::queue);
    };
    ask(10, 0, 60);
    ask(11, 0, 30);
    ask(12, 5, 60);
    on_finish(state, 1, 1, milliseconds(100));
    state.limit_ = 3;
    EXPECT_EQ(admitted(on_tick(state, start)),
              (std::vector<std::uint64_t>{12, 11, 10}));
}

TEST(admission, refuses_early_what_cannot_start_in_time)
{
    admission_state state = full_state({workspace("a")}, 10);
    // Ten requests of one second each: ten end in a second.
    state.service_time_s_ = 1;
    std::uint64_t ticket = 100;
    int queued = 0;
    admission_decision decision;
    do
    {
        decision = admit(state, request_of(++ticket, "a", start), start);
        ++queued;
    } while (decision.verdict_ == admission_verdict::queue && queued < 100);
    EXPECT_EQ(decision.verdict_, admission_verdict::refuse);
    EXPECT_EQ(decision.reason_, refusal_reason::overloaded);
    EXPECT_GE(decision.retry_after_, milliseconds(100));
    EXPECT_LE(decision.retry_after_, milliseconds(1'000));
    EXPECT_LE(queued, 10);

    admission_request hurried = request_of(++ticket, "a", start);
    hurried.deadline_ = start + milliseconds(50);
    EXPECT_EQ(admit(state, hurried, start).reason_,
              refusal_reason::deadline_unreachable);
}

TEST(admission, refuses_what_waited_beyond_its_use)
{
    admission_state state = full_state({workspace("a")}, 1);
    ASSERT_EQ(admit(state, request_of(2, "a", start), start).verdict_,
              admission_verdict::queue);
    EXPECT_TRUE(on_tick(state, start + milliseconds(900)).empty());
    auto const late = on_tick(state, start + milliseconds(941));
    ASSERT_EQ(late.size(), 1U);
    EXPECT_EQ(late[0].verdict_, admission_verdict::refuse);
}

TEST(admission, a_full_queue_gives_way_to_a_workspace_with_less_waiting)
{
    admission_state state = full_state({workspace("a"), workspace("b")}, 1);
    state.max_queue_ = 2;
    admit(state, request_of(2, "a", start), start);
    admit(state, request_of(3, "a", start), start);
    EXPECT_EQ(admit(state, request_of(4, "a", start), start).verdict_,
              admission_verdict::refuse);
    EXPECT_EQ(admit(state, request_of(5, "b", start), start).verdict_,
              admission_verdict::queue);
    auto const decisions = on_tick(state, start);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].ticket_, 3U);
    EXPECT_EQ(decisions[0].verdict_, admission_verdict::refuse);
}

TEST(admission, limits_of_a_workspace_say_when_to_come_back)
{
    admission_state state =
        make_admission(config_with({workspace("a", 10, 2)}), {}, 0, start);
    admit(state, request_of(1, "a", start, 50), start);
    admission_decision const over =
        admit(state, request_of(2, "a", start), start);
    EXPECT_EQ(over.reason_, refusal_reason::workspace_rate_limit);
    EXPECT_EQ(over.retry_after_, milliseconds(3'000));
    time_point const later = start + over.retry_after_ + milliseconds(1);
    EXPECT_EQ(admit(state, request_of(3, "a", later), later).verdict_,
              admission_verdict::admit);
    time_point const last = later + seconds(10);
    EXPECT_EQ(admit(state, request_of(4, "a", last), last).reason_,
              refusal_reason::workspace_in_flight_limit);
    EXPECT_EQ(admit(state, request_of(5, "b", last), last).reason_,
              refusal_reason::unauthorized);
}

TEST(admission, limit_follows_lateness_and_spares_streams_that_run)
{
    admission_state state = full_state({workspace("a")}, 100);
    auto const sample = [&](int count, milliseconds interval)
    {
        for (int number = 0; number < count; ++number)
        {
            on_token_interval(state, interval);
        }
    };
    time_point now = start + seconds(1);
    sample(100, milliseconds(60));
    EXPECT_TRUE(on_tick(state, now).empty());
    EXPECT_LT(state.limit_, 100);
    EXPECT_EQ(state.in_progress_.size(), 100U);

    double const lowered = state.limit_;
    admit(state, request_of(1'000, "a", now), now);
    sample(100, milliseconds(20));
    now += seconds(1);
    on_tick(state, now);
    EXPECT_GT(state.limit_, lowered);

    double const raised = state.limit_;
    sample(100, milliseconds(20));
    on_tick(state, now + seconds(1));
    EXPECT_EQ(state.limit_, raised) << "nothing was held back";
}

TEST(admission, starts_at_the_concurrency_of_the_bound)
{
    admission_state const state =
        make_admission(config_with({workspace("a")}), {0, 4}, 10'000, start);
    // 10,000 tokens/s at 44 ms each over 4 entries.
    EXPECT_NEAR(state.limit_, 110, 1e-6);
}

TEST(admission, reconfiguration_keeps_what_runs_and_waits)
{
    admission_state state = full_state({workspace("a")}, 2);
    admit(state, request_of(9, "a", start), start);
    reconfigure(state, config_with({workspace("a", 0, 1), workspace("b")}), {},
                0, start);
    EXPECT_EQ(state.in_progress_.size(), 2U);
    on_finish(state, 1, 1, milliseconds(100));
    EXPECT_TRUE(on_tick(state, start).empty()) << "one still runs";
    on_finish(state, 2, 1, milliseconds(100));
    EXPECT_EQ(admitted(on_tick(state, start)), std::vector<std::uint64_t>{9});
}
