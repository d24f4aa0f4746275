// Tests of the limit of repeats in a sliding window.
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

TEST(retry_window, requests_earn_repeats)
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

TEST(retry_window, what_left_the_window_counts_no_more)
{
    retry_window window;
    int const taken = take_all(window, 1, later);
    EXPECT_EQ(take_all(window, 1, later + seconds(5)), 0);
    EXPECT_EQ(take_all(window, 1, later + seconds(11)), taken);
}

TEST(retry_window, a_new_process_does_not_use_the_slack_again)
{
    retry_window before;
    int const all = take_all(before, 1, later);
    retry_window after;
    after.began_ = later;
    int const at_once = take_all(after, 1, later);
    EXPECT_LE(at_once, all / 4);
    EXPECT_GT(at_once, 0);
}

RC_GTEST_PROP(retry_window, holds_in_every_window, ())
{
    struct moment
    {
        time_point at_;
        bool is_repeat_;
    };
    retry_window window;
    std::vector<moment> history;
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
        double repeats = 0;
        for (std::size_t index = first;
             index < history.size() &&
             history[index].at_ - history[first].at_ <= limits.window_;
             ++index)
        {
            (history[index].is_repeat_ ? repeats : requests) += 1;
        }
        // A request counts for the window before it as well, so the requests
        // of the window that ended here are added.
        for (std::size_t index = 0; index < first; ++index)
        {
            if (history[first].at_ - history[index].at_ <= limits.window_ &&
                !history[index].is_repeat_)
            {
                requests += 1;
            }
        }
        RC_ASSERT(repeats <= limits.ratio_ * requests + limits.slack_ / 2);
    }
}
