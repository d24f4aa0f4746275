// Counts requests and retries in short slots, each of which leaves the window
// as a whole.
#include "auburnlb/coordination/retry_window.hpp"

#include <algorithm>
#include <cmath>

namespace auburnlb
{

namespace
{

/// Length of a slot.
constexpr milliseconds slot_length{250};

/// Fraction of the limit that is used. The rest allows for differences between
/// the routers' clocks and for requests in transit.
constexpr double used_share = 0.8;

/// Fraction of the limit that a process may use in its first window, whatever
/// earlier ones have used: they have left that much.
constexpr double first_window_share = 0.15;

/// A borrower may use a loan for this long after it asked for it. What is lent
/// is lost to the lender until then and for a window after.
constexpr milliseconds loan_lifetime{1'000};

/// Part of the retries left that a router lends.
constexpr double lendable_share = 0.5;

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

void expire_loans(std::vector<retry_loan>& loans, time_point now)
{
    std::erase_if(loans, [now](retry_loan const& loan)
                  { return loan.count_ == 0 || loan.end_ <= now; });
}

double count_of(std::vector<retry_loan> const& loans)
{
    double count = 0;
    for (retry_loan const& each : loans)
    {
        count += each.count_;
    }
    return count;
}

/// Returns the time since the process began, in windows; 1 for a longer one.
double age_of(retry_window const& window, retry_limits const& limits,
              time_point now)
{
    double const age = std::chrono::duration<double>(now - window.began_) /
                       std::chrono::duration<double>(limits.window_);
    return std::clamp(age, 0.0, 1.0);
}

double retries_in(retry_window const& window)
{
    double retries = count_of(window.lent_);
    for (retry_window::slot const& each : window.slots_)
    {
        retries += each.retries_;
    }
    return retries;
}

/// Returns the limit of this router.
/// @param slack_share the part of its slack that is available
double limit_of(retry_window const& window, retry_limits const& limits,
                std::uint32_t routers, double slack_share)
{
    double requests = 0;
    for (retry_window::slot const& each : window.slots_)
    {
        requests += each.requests_;
    }
    return limits.ratio_ * requests +
           limits.slack_ / std::max(routers, 1U) * slack_share;
}

/// Returns the retries left of this router's own.
double own_retries_left(retry_window& window, retry_limits const& limits,
                        std::uint32_t routers, time_point now)
{
    current_slot(window, limits, now);
    expire_loans(window.lent_, now);
    double const age = age_of(window, limits, now);
    double const limit = limit_of(window, limits, routers, age);
    double usable = limit * used_share;
    if (age < 1)
    {
        usable =
            std::max(usable - window.inherited_, limit * first_window_share);
    }
    return usable - retries_in(window);
}

} // namespace

void record_request(retry_window& window, retry_limits const& limits,
                    time_point now)
{
    ++current_slot(window, limits, now).requests_;
}

bool try_acquire_retry(retry_window& window, retry_limits const& limits,
                       std::uint32_t routers, time_point now)
{
    if (own_retries_left(window, limits, routers, now) >= 1)
    {
        ++current_slot(window, limits, now).retries_;
        return true;
    }
    if (retries_left(window, limits, routers, now) < 1)
    {
        return false;
    }
    --window.borrowed_.front().count_;
    return true;
}

std::uint32_t lend_retries(retry_window& window, retry_limits const& limits,
                           std::uint32_t routers, std::uint32_t wanted,
                           time_point now)
{
    double const lendable =
        own_retries_left(window, limits, routers, now) * lendable_share;
    auto const count = std::min(wanted, static_cast<std::uint32_t>(std::max(
                                            0.0, std::floor(lendable))));
    if (count > 0)
    {
        window.lent_.push_back(
            {count, now + loan_lifetime + limits.window_ + slot_length});
    }
    return count;
}

void borrow_retries(retry_window& window, std::uint32_t count,
                    time_point asked_at)
{
    window.borrowed_.push_back({count, asked_at + loan_lifetime});
}

double used_retries(retry_window& window, retry_limits const& limits,
                    time_point now)
{
    current_slot(window, limits, now);
    expire_loans(window.lent_, now);
    bool const is_first_window = age_of(window, limits, now) < 1;
    return retries_in(window) + (is_first_window ? window.inherited_ : 0);
}

double allowed_retries(retry_window& window, retry_limits const& limits,
                       std::uint32_t routers, time_point now)
{
    current_slot(window, limits, now);
    return limit_of(window, limits, routers, 1);
}

double retries_left(retry_window& window, retry_limits const& limits,
                    std::uint32_t routers, time_point now)
{
    expire_loans(window.borrowed_, now);
    return own_retries_left(window, limits, routers, now) +
           count_of(window.borrowed_);
}

} // namespace auburnlb
