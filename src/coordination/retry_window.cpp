// Counts requests and retries in short slots, each of which leaves the window
// as a whole.
#include "auburnlb/coordination/retry_window.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

/// Length of a slot.
constexpr milliseconds slot_length{250};

/// Fraction of the limit that is used. The rest allows for differences between
/// the routers' clocks and for requests in transit.
constexpr double used_share = 0.8;

retry_window::slot& current_slot(retry_window& window,
                                 retry_limits const& limits, time_point now)
{
    // A slot is counted until its end has left the window.
    while (!window.slots_.empty() &&
           now - window.slots_.front().begin_ > limits.window_ + slot_length)
    {
        window.slots_.pop_front();
    }
    if (window.slots_.empty() ||
        now - window.slots_.back().begin_ >= slot_length)
    {
        window.slots_.push_back({now, 0, 0});
    }
    return window.slots_.back();
}

} // namespace

void record_request(retry_window& window, retry_limits const& limits,
                    time_point now)
{
    ++current_slot(window, limits, now).requests_;
}

double retries_left(retry_window& window, retry_limits const& limits,
                    std::uint32_t routers, time_point now)
{
    current_slot(window, limits, now);
    double requests = 0;
    double retries = 0;
    for (retry_window::slot const& each : window.slots_)
    {
        requests += each.requests_;
        retries += each.retries_;
    }
    double const age = std::chrono::duration<double>(now - window.began_) /
                       std::chrono::duration<double>(limits.window_);
    double const shared =
        limits.slack_ / std::max(routers, 1U) * std::clamp(age, 0.0, 1.0);
    return (limits.ratio_ * requests + shared) * used_share - retries;
}

bool try_acquire_retry(retry_window& window, retry_limits const& limits,
                       std::uint32_t routers, time_point now)
{
    if (retries_left(window, limits, routers, now) < 1)
    {
        return false;
    }
    ++current_slot(window, limits, now).retries_;
    return true;
}

} // namespace auburnlb
