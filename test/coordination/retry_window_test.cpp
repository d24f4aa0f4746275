// Tests of the retry limit in a sliding window.
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

TEST(retry_window, a_new_process_may_use_only_part_of_the_slack_at_once)
{
    retry_window before;
    int const all = take_all(before, 1, later);
    retry_window after;
    after.began_ = later;
    int const at_once = take_all(after, 1, later);
    EXPECT_LE(at_once, all / 4);
    EXPECT_GT(at_once, 0);
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
