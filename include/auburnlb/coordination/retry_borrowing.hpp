// Decides when a router without retries left asks others for some, and which.
#ifndef AUBURNLB_COORDINATION_RETRY_BORROWING_HPP
#define AUBURNLB_COORDINATION_RETRY_BORROWING_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// A request for retries to another router.
struct loan_request
{
    std::string router_;
    std::uint32_t count_ = 0;

    bool operator==(loan_request const&) const = default;
};

/// Search of one service for retries that other routers leave. A round asks a
/// few routers, some at a time; one that finds none is followed by a pause.
struct retry_borrowing
{
    /// Requests that wait for a retry.
    std::uint32_t waiting_ = 0;
    /// Requests to other routers without a reply.
    std::uint32_t pending_ = 0;
    /// Routers asked in this round.
    std::vector<std::string> asked_;
    /// Retries lent in this round.
    std::uint32_t lent_ = 0;
    /// No router is asked before this time.
    time_point pause_end_{};
    /// Position of the next router to ask in the list of all.
    std::size_t next_ = 0;

    bool operator==(retry_borrowing const&) const = default;
};

/// Returns whether a request without a retry may wait for a borrowed one.
bool may_borrow(retry_borrowing const& state, time_point now);

/// Returns the requests to send now.
/// @param left retries that this router still has
/// @param routers all other routers that respond, always in the same order
std::vector<loan_request>
next_loan_requests(retry_borrowing& state, double left,
                   std::vector<std::string> const& routers, time_point now);

/// Handles a reply, or its absence.
/// @param lent retries that the other router lends
void on_loan_reply(retry_borrowing& state, std::uint32_t lent);

} // namespace auburnlb

#endif
