// Limits the retries of a service within a sliding time window.
#ifndef AUBURNLB_COORDINATION_RETRY_WINDOW_HPP
#define AUBURNLB_COORDINATION_RETRY_WINDOW_HPP

#include <cstdint>
#include <deque>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Limits on the retries of all routers together.
struct retry_limits
{
    /// Retries allowed for each request in the window.
    double ratio_ = 0.1;
    /// Further retries allowed in a window.
    double slack_ = 100;
    milliseconds window_{10'000};

    bool operator==(retry_limits const&) const = default;
};

/// Retries of one router that another router may use.
struct retry_loan
{
    std::uint32_t count_ = 0;
    /// Until then the borrower may use them, or the lender may not.
    time_point end_{};

    bool operator==(retry_loan const&) const = default;
};

/// Requests and retries of one service at one router.
/// Invariant: in any window, the retries, those lent to other routers and those
/// of earlier processes are at most ratio * requests + slack / routers.
/// Borrowed retries are in addition to that, as their lender counts them.
struct retry_window
{
    /// Counts of a short period that starts at begin_.
    struct slot
    {
        time_point begin_{};
        std::uint32_t requests_ = 0;
        std::uint32_t retries_ = 0;

        bool operator==(slot const&) const = default;
    };
    std::deque<slot> slots_;
    /// Start of the process. The slack becomes available over one window from
    /// then, since a new process does not know yet how many routers share it.
    time_point began_{};
    /// Retries of earlier processes of this router that may be in the window
    /// together with those of this one; infinite while they are not known.
    double inherited_ = 0;
    std::vector<retry_loan> lent_;
    std::vector<retry_loan> borrowed_;

    bool operator==(retry_window const&) const = default;
};

/// Counts a request.
void record_request(retry_window& window, retry_limits const& limits,
                    time_point now);

/// Counts a retry and returns true if the limits allow it, else returns false.
/// @param routers number of routers that share the slack, at least 1
bool try_acquire_retry(retry_window& window, retry_limits const& limits,
                       std::uint32_t routers, time_point now);

/// Lends retries to another router, at most half of those that are left, so
/// that the lender can still repeat requests of its own.
/// @return the number lent, at most wanted
std::uint32_t lend_retries(retry_window& window, retry_limits const& limits,
                           std::uint32_t routers, std::uint32_t wanted,
                           time_point now);

/// Adds retries that another router has lent.
/// @param asked_at time of this router's request, before they were lent
void borrow_retries(retry_window& window, std::uint32_t count,
                    time_point asked_at);

/// Returns the retries that a process which follows this one inherits: those in
/// the window, with those lent and those inherited.
double used_retries(retry_window& window, retry_limits const& limits,
                    time_point now);

/// Returns the retries that may be used in a window.
/// @param routers number of routers that share the slack, at least 1
double allowed_retries(retry_window& window, retry_limits const& limits,
                       std::uint32_t routers, time_point now);

/// Returns the number of retries that are left now, with the borrowed ones.
double retries_left(retry_window& window, retry_limits const& limits,
                    std::uint32_t routers, time_point now);

} // namespace auburnlb

#endif
