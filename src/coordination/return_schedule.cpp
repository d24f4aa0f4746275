// Turns of refused callers.
#include "auburnlb/coordination/return_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace auburnlb
{

namespace
{

/// Callers follow a Retry-After of up to this part of their remaining time.
constexpr int max_delay_divisor = 3;

/// Time between two turns while the start interval is not known.
constexpr milliseconds default_interval{10};

/// The multiples of the golden ratio, modulo 1, spread evenly for any count.
constexpr double golden_ratio = 0.6180339887498949;

} // namespace

nanoseconds max_return_delay(nanoseconds time_left)
{
    return std::max(time_left, nanoseconds(0)) / max_delay_divisor;
}

bool can_return(nanoseconds time_left)
{
    return max_return_delay(time_left) >= min_return_delay;
}

milliseconds take_turn(return_schedule& schedule,
                       return_conditions const& conditions, time_point now)
{
    nanoseconds const interval = conditions.start_interval_ > nanoseconds(0)
                                     ? conditions.start_interval_
                                     : nanoseconds(default_interval);
    time_point const first =
        now + std::max<nanoseconds>(min_return_delay, conditions.queue_time_);
    time_point const turn = std::max(first, schedule.last_turn_ + interval);
    nanoseconds const longest = max_return_delay(conditions.time_left_);
    if (turn <= now + longest)
    {
        schedule.last_turn_ = turn;
        return std::chrono::floor<milliseconds>(turn - now);
    }
    double unused = 0;
    double const part = std::modf(
        static_cast<double>(++schedule.spread_) * golden_ratio, &unused);
    return std::chrono::floor<milliseconds>(longest / 2 + longest / 2 * part);
}

} // namespace auburnlb
