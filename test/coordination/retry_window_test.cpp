// Tests of the retry limit in a sliding window.
#include <algorithm>
#include <limits>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/retry_window.hpp"

using namespace auburnlb;

namespace
{

retry_limits const limits{0.2, 90, milliseconds(10'000)};
time_point const start{};
time_point const later = start + seconds(100);

int take_all(retry_window& window, std::uint32_t routers, time_point now)
{
    int taken = 0;
    while (try_acquire_retry(window, limits, routers, now))
    {
        ++taken;
    }
    return taken;
}

} // namespace

TEST(retry_window, routers_share_the_slack)
{
    for (std::uint32_t const routers : {1U, 3U, 10U})
    {
        retry_window window;
        EXPECT_LE(take_all(window, routers, later) * routers, 90U);
        EXPECT_GT(take_all(window, routers, later + seconds(20)), 0);
    }
}

TEST(retry_window, each_request_allows_further_retries)
{
    retry_window window;
    for (int index = 0; index < 1'000; ++index)
    {
        record_request(window, limits, later);
    }
    int const taken = take_all(window, 3, later);
    EXPECT_GT(taken, 150);
    EXPECT_LE(taken, 230);
}

TEST(retry_window, retries_that_left_the_window_no_longer_count)
{
    retry_window window;
    int const taken = take_all(window, 1, later);
    EXPECT_EQ(take_all(window, 1, later + seconds(5)), 0);
    EXPECT_EQ(take_all(window, 1, later + seconds(11)), taken);
}

TEST(retry_window, a_new_process_gets_the_slack_over_one_window)
{
    retry_window before;
    int const all = take_all(before, 1, later);
    retry_window after;
    after.began_ = later;
    EXPECT_EQ(take_all(after, 1, later), 0);
    int const soon = take_all(after, 1, later + seconds(2));
    EXPECT_GT(soon, 0);
    EXPECT_LE(soon, all / 4);
}

// Two processes used to spend up to twice the limit of the window with both.
TEST(retry_window, a_process_and_the_one_before_it_stay_within_the_limit)
{
    retry_window before;
    auto const used = static_cast<double>(take_all(before, 1, later));
    for (double const inherited :
         {used, used / 2, 0.0, std::numeric_limits<double>::infinity()})
    {
        retry_window after;
        after.began_ = later;
        after.inherited_ = inherited;
        int taken = 0;
        for (int second = 0; second < 10; ++second)
        {
            taken += take_all(after, 1, later + seconds(second));
        }
        double const earlier = std::min(used, inherited);
        EXPECT_LE(earlier + taken, limits.slack_ * 0.95);
        EXPECT_GE(taken, limits.slack_ * 0.1);
    }
}

TEST(retry_window, retries_of_earlier_processes_leave_the_window)
{
    retry_window window;
    window.began_ = later;
    window.inherited_ = std::numeric_limits<double>::infinity();
    EXPECT_LE(take_all(window, 1, later + seconds(9)), 14);
    EXPECT_GE(take_all(window, 1, later + seconds(10)), 50);
    EXPECT_LE(used_retries(window, limits, later + seconds(10)), 72);
}

TEST(retry_window, many_restarts_in_a_row_stay_within_the_limit)
{
    retry_window first;
    int taken = take_all(first, 1, later);
    double inherited = taken;
    for (int restart = 0; restart < 5; ++restart)
    {
        retry_window window;
        window.began_ = later + seconds(2 * restart);
        window.inherited_ = inherited;
        time_point const end = window.began_ + milliseconds(1'900);
        taken += take_all(window, 1, end);
        inherited = used_retries(window, limits, end);
    }
    EXPECT_LE(taken, limits.slack_);
}

TEST(retry_window, a_fleet_that_restarts_at_once_stays_within_the_limit)
{
    constexpr int routers = 100;
    constexpr int requests_each = 60;
    // Each router finds the others within a second of its start.
    auto const known = [](int second) -> std::uint32_t
    {
        return second == 0 ? 1 : routers;
    };
    int retries = 0;
    for (int router = 0; router < routers; ++router)
    {
        retry_window window;
        window.began_ = later;
        for (int second = 0; second < 10; ++second)
        {
            time_point const now = later + seconds(second);
            for (int count = 0; count < requests_each / 10; ++count)
            {
                record_request(window, limits, now);
            }
            retries += take_all(window, known(second), now);
        }
    }
    EXPECT_LE(retries, limits.ratio_ * routers * requests_each + limits.slack_);
}

RC_GTEST_PROP(retry_window, retries_stay_within_the_limit_in_every_window, ())
{
    struct event
    {
        time_point at_;
        bool is_retry_;
    };
    retry_window window;
    std::vector<event> history;
    time_point now = later;
    for (int step = 0; step < 400; ++step)
    {
        now += milliseconds(*rc::gen::inRange(0, 120));
        if (*rc::gen::inRange(0, 3) == 0)
        {
            record_request(window, limits, now);
            history.push_back({now, false});
        }
        else if (try_acquire_retry(window, limits, 2, now))
        {
            history.push_back({now, true});
        }
    }
    for (std::size_t first = 0; first < history.size(); ++first)
    {
        double requests = 0;
        double retries = 0;
        for (std::size_t index = first;
             index < history.size() &&
             history[index].at_ - history[first].at_ <= limits.window_;
             ++index)
        {
            (history[index].is_retry_ ? retries : requests) += 1;
        }
        // Requests of the preceding window also allow retries in this one, so
        // they are added.
        for (std::size_t index = 0; index < first; ++index)
        {
            if (history[first].at_ - history[index].at_ <= limits.window_ &&
                !history[index].is_retry_)
            {
                requests += 1;
            }
        }
        RC_ASSERT(retries <= limits.ratio_ * requests + limits.slack_ / 2);
    }
}

TEST(retry_window, a_router_lends_half_of_what_is_left)
{
    retry_window lender;
    retry_window borrower;
    double const before = retries_left(lender, limits, 2, later);
    double const own = retries_left(borrower, limits, 2, later);
    std::uint32_t const lent = lend_retries(lender, limits, 2, 1'000, later);
    EXPECT_EQ(lent, static_cast<std::uint32_t>(before / 2));
    EXPECT_EQ(retries_left(lender, limits, 2, later), before - lent);
    borrow_retries(borrower, lent, later);
    EXPECT_EQ(retries_left(borrower, limits, 2, later), own + lent);
    EXPECT_EQ(take_all(borrower, 2, later), static_cast<int>(own + lent));
}

TEST(retry_window, a_router_lends_no_more_than_is_wanted_and_keeps_the_last)
{
    retry_window lender;
    EXPECT_EQ(lend_retries(lender, limits, 2, 3, later), 3U);
    take_all(lender, 2, later);
    EXPECT_EQ(lend_retries(lender, limits, 2, 3, later), 0U);
}

TEST(retry_window, a_loan_that_is_not_used_in_time_is_lost)
{
    retry_window borrower;
    borrow_retries(borrower, 5, later);
    double const with_loan = retries_left(borrower, limits, 2, later);
    double const after = retries_left(borrower, limits, 2, later + seconds(2));
    EXPECT_EQ(after, with_loan - 5);
}

TEST(retry_window, a_lender_gets_its_retries_back_after_a_window)
{
    retry_window lender;
    double const before = retries_left(lender, limits, 2, later);
    lend_retries(lender, limits, 2, 10, later);
    EXPECT_EQ(retries_left(lender, limits, 2, later + seconds(11)),
              before - 10);
    EXPECT_EQ(retries_left(lender, limits, 2, later + seconds(12)), before);
}

RC_GTEST_PROP(retry_window, loans_keep_the_fleet_within_the_limit, ())
{
    constexpr std::size_t routers = 3;
    std::vector<retry_window> windows(routers);
    std::vector<time_point> requests;
    std::vector<time_point> retries;
    time_point now = later;
    for (int step = 0; step < 600; ++step)
    {
        now += milliseconds(*rc::gen::inRange(0, 100));
        retry_window& own = windows[*rc::gen::inRange<std::size_t>(0, routers)];
        retry_window& other =
            windows[*rc::gen::inRange<std::size_t>(0, routers)];
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            record_request(own, limits, now);
            requests.push_back(now);
            break;
        case 1:
            // The reply takes as long as the lender's answer may.
            borrow_retries(own,
                           &own == &other
                               ? 0
                               : lend_retries(other, limits, routers, 10, now),
                           now - milliseconds(*rc::gen::inRange(0, 200)));
            break;
        default:
            if (try_acquire_retry(own, limits, routers, now))
            {
                retries.push_back(now);
            }
        }
    }
    auto const count = [](std::vector<time_point> const& times,
                          time_point first, time_point last)
    {
        return static_cast<double>(std::count_if(times.begin(), times.end(),
                                                 [first, last](time_point at) {
                                                     return first <= at &&
                                                            at <= last;
                                                 }));
    };
    for (time_point const first : retries)
    {
        time_point const last = first + limits.window_;
        double const allowed =
            limits.ratio_ * count(requests, first - limits.window_, last) +
            limits.slack_;
        RC_ASSERT(count(retries, first, last) <= allowed);
    }
}
