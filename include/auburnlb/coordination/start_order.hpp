// Overload control of the wait queue: which request starts next, which ones are
// refused on arrival, and when their callers are to return.
#ifndef AUBURNLB_COORDINATION_START_ORDER_HPP
#define AUBURNLB_COORDINATION_START_ORDER_HPP

#include <cstdint>
#include <limits>
#include <vector>

#include "auburnlb/coordination/wait_queue.hpp"

namespace auburnlb
{

/// Records that a request has arrived from its caller.
void record_arrival(wait_queue& queue, waiting_request const& request,
                    time_point now);

/// Records that a request was started for the first time.
void record_first_start(wait_queue& queue, waiting_request const& request,
                        time_point now);

/// Returns the tickets of the waiting requests in the order in which they are
/// to be started in an overload: requests that have begun, then those of
/// workspaces that need little of their share, then those of workspaces within
/// their share, then the others. Within each group, the more
/// urgent go first; within a priority, callers that have returned at their
/// turn, then the rest by deadline, those that can still be on time before the
/// late ones. As long as others wait, at most every second start is a returned
/// caller's. One request of each priority that is below its floor goes before
/// all that have not begun.
std::vector<std::uint64_t> fair_start_order(wait_queue const& queue,
                                            time_point now);

/// Returns how long a request that is not in the queue is expected to wait.
nanoseconds expected_fair_wait(wait_queue const& queue,
                               waiting_request const& request, time_point now);

/// Returns whether a new request is to be refused: it would expire, or it could
/// not be on time and its caller can return. A caller that has returned at its
/// turn is late already and does not return again; one that has returned
/// earlier is treated as on its first attempt, so that it gains nothing by it.
bool is_refused_on_arrival(wait_queue const& queue,
                           waiting_request const& request, time_point now);

/// Returns after which time the caller of a refused request is to return.
milliseconds take_return_turn(wait_queue& queue, waiting_request const& request,
                              time_point now);

/// One pass over the queue in start order.
struct start_pass
{
    /// No request that needs as many tokens can start.
    double smallest_failed_ = std::numeric_limits<double>::infinity();
    int failures_ = 0;
    bool is_over_ = false;

    bool operator==(start_pass const&) const = default;
};

/// Returns whether the request may find capacity after those before it have
/// not.
bool is_worth_trying(start_pass const& pass, waiting_request const& request);

/// Records that a request found no capacity. Smaller ones behind it may still
/// start, until half of its time has passed; from then on capacity is kept for
/// it, so that a large request is not starved by smaller ones.
void record_failed_start(start_pass& pass, waiting_request const& request,
                         time_point now);

} // namespace auburnlb

#endif
