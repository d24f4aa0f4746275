// Tests of the wait queue: order, expiry, and a simulated overload.
#include <algorithm>
#include <map>

#include <gtest/gtest.h>

#include "auburnlb/coordination/wait_queue.hpp"

using namespace auburnlb;

namespace
{

time_point const start{};

time_point at(int ms)
{
    return start + milliseconds(ms);
}

waiting_request request(std::uint64_t ticket, std::int32_t priority,
                        int arrived_ms)
{
    return {ticket, priority, at(arrived_ms), at(arrived_ms + 333),
            at(arrived_ms + 1'400)};
}

/// Simulates requests that arrive faster than they can be started. Returns the
/// wait of each started request; refused requests are absent.
std::map<std::uint64_t, nanoseconds>
simulate_overload(int arrival_ms, int start_ms, bool in_order_of_arrival)
{
    wait_queue queue;
    std::map<std::uint64_t, nanoseconds> waits;
    std::map<std::uint64_t, time_point> arrivals;
    std::uint64_t ticket = 0;
    for (int now = 0; now < 20'000; ++now)
    {
        if (now % arrival_ms == 0)
        {
            waiting_request const entry = request(++ticket, 1, now);
            arrivals[ticket] = at(now);
            if (!would_expire(queue, entry))
            {
                add_waiting(queue, entry);
            }
        }
        take_expired(queue, at(now));
        if (now % start_ms == 0 && !queue.waiting_.empty())
        {
            std::uint64_t const next =
                in_order_of_arrival ? queue.waiting_.front().ticket_
                                    : start_order(queue, at(now)).front();
            record_start(queue, at(now));
            remove_waiting(queue, next);
            waits[next] = at(now) - arrivals[next];
        }
    }
    return waits;
}

std::size_t count_on_time(std::map<std::uint64_t, nanoseconds> const& waits)
{
    return static_cast<std::size_t>(std::count_if(
        waits.begin(), waits.end(),
        [](auto const& entry) { return entry.second <= milliseconds(333); }));
}

} // namespace

TEST(wait_queue, requests_start_by_priority_then_by_age)
{
    wait_queue queue;
    add_waiting(queue, request(1, 2, 0));
    add_waiting(queue, request(2, 1, 5));
    add_waiting(queue, request(3, 1, 10));
    EXPECT_EQ(start_order(queue, at(20)),
              (std::vector<std::uint64_t>{2, 3, 1}));
}

TEST(wait_queue, late_requests_start_after_those_that_can_be_on_time)
{
    wait_queue queue;
    add_waiting(queue, request(1, 0, 0));
    add_waiting(queue, request(2, 2, 300));
    EXPECT_EQ(start_order(queue, at(400)), (std::vector<std::uint64_t>{2, 1}));
}

TEST(wait_queue, expired_requests_are_removed)
{
    wait_queue queue;
    add_waiting(queue, request(1, 1, 0));
    add_waiting(queue, request(2, 1, 100));
    EXPECT_EQ(take_expired(queue, at(1'400)), (std::vector<std::uint64_t>{1}));
    EXPECT_EQ(queue.waiting_.size(), 1U);
}

TEST(wait_queue, a_request_that_would_wait_too_long_is_refused_at_once)
{
    wait_queue queue;
    queue.start_interval_ = milliseconds(100);
    for (std::uint64_t ticket = 1; ticket <= 15; ++ticket)
    {
        add_waiting(queue, request(ticket, 1, 0));
    }
    EXPECT_TRUE(would_expire(queue, request(20, 1, 0)));
    EXPECT_FALSE(would_expire(queue, request(21, 0, 0)));
}

TEST(wait_queue, retry_after_is_the_time_until_the_queue_is_empty)
{
    wait_queue queue;
    queue.start_interval_ = milliseconds(100);
    for (std::uint64_t ticket = 1; ticket <= 15; ++ticket)
    {
        add_waiting(queue, request(ticket, 1, 0));
    }
    EXPECT_EQ(retry_after(queue), milliseconds(1'500));
    EXPECT_GE(retry_after(wait_queue{}), milliseconds(100));
}

TEST(wait_queue, an_overload_makes_some_requests_late_instead_of_all)
{
    // Requests arrive 1.5 times as fast as they can be started.
    auto const ordered = simulate_overload(20, 30, false);
    auto const by_arrival = simulate_overload(20, 30, true);
    EXPECT_GT(count_on_time(ordered), 500U);
    EXPECT_GT(count_on_time(ordered), 5 * count_on_time(by_arrival));
}

TEST(wait_queue, the_time_before_requests_waited_is_no_wait)
{
    wait_queue queue;
    record_start(queue, at(0));
    add_waiting(queue, request(1, 1, 900));
    record_start(queue, at(910));
    EXPECT_EQ(queue.start_interval_, milliseconds(10));
}

TEST(wait_queue, one_slow_start_of_long_ago_refuses_nobody)
{
    wait_queue queue;
    add_waiting(queue, request(1, 1, 0));
    record_start(queue, at(1'000));
    remove_waiting(queue, 1);
    for (std::uint64_t ticket = 2; ticket <= 20; ++ticket)
    {
        waiting_request const entry = request(ticket, 1, 15'000);
        EXPECT_FALSE(would_expire(queue, entry)) << ticket;
        add_waiting(queue, entry);
    }
}

TEST(wait_queue, a_request_waits_for_the_end_of_a_backoff_while_it_has_time)
{
    waiting_request const waiting = request(1, 0, 0);
    EXPECT_FALSE(is_backoff_too_long(waiting, at(0), true));
    EXPECT_FALSE(is_backoff_too_long(waiting, at(333), true));
    EXPECT_TRUE(is_backoff_too_long(waiting, at(334), true));
    EXPECT_FALSE(is_backoff_too_long(waiting, at(1'399), false));
    EXPECT_TRUE(is_backoff_too_long(waiting, at(1'400), false));
}
