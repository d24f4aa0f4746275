// Queue of requests that wait for capacity at the endpoints of a service: their
// order, and which of them are refused.
#ifndef AUBURNLB_COORDINATION_WAIT_QUEUE_HPP
#define AUBURNLB_COORDINATION_WAIT_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/decaying_sum.hpp"
#include "auburnlb/coordination/return_schedule.hpp"
#include "auburnlb/coordination/workspace_share.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// A request in the queue.
struct waiting_request
{
    /// Unique at this router.
    std::uint64_t ticket_ = 0;
    /// 0 is the highest priority.
    std::int32_t priority_ = 0;
    time_point arrived_{};
    /// Latest start at which the response can still be on time.
    time_point latest_on_time_start_{};
    /// When the caller will have disconnected, or it is too late to start.
    time_point expires_at_{};

    // Used by overload control only.
    /// When the caller stops waiting for the response.
    time_point deadline_{};
    /// Empty if the route needs no key.
    std::string workspace_{};
    /// Prompt and expected output; 1 for a plain service.
    double tokens_ = 1;
    /// Its caller was refused before and has returned as late as it was told
    /// to.
    bool has_turn_ = false;
    /// It was sent to an endpoint before, so that only some may be left.
    bool is_repeat_ = false;
    /// It may have run, so that it must not be refused.
    bool has_begun_ = false;

    bool operator==(waiting_request const&) const = default;
};

/// Requests of one priority in the last seconds.
struct priority_counts
{
    /// Without returned callers, which were counted on their first attempts.
    decaying_sum arrived_;
    decaying_sum started_;
    /// The same over a shorter time, for expected waits.
    decaying_sum started_lately_;

    bool operator==(priority_counts const&) const = default;
};

/// The queue of one service at one router.
struct wait_queue
{
    /// In order of arrival.
    std::vector<waiting_request> waiting_;
    /// Since when requests have been waiting. Meaningless if none waits.
    time_point busy_since_{};
    /// Moving average of the time between two starts. Zero if no interval was
    /// measured recently.
    nanoseconds start_interval_{0};
    time_point measured_at_{};
    time_point last_start_{};

    // Used by overload control only.
    workspace_shares shares_;
    std::map<std::int32_t, priority_counts> priorities_;
    return_schedule returns_;
    /// Whether the last request that started was a returning caller's turn.
    bool was_last_start_turn_ = false;

    bool operator==(wait_queue const&) const = default;
};

/// Appends a request to the queue.
void add_waiting(wait_queue& queue, waiting_request const& request);

/// Removes a request from the queue, if it is there.
void remove_waiting(wait_queue& queue, std::uint64_t ticket);

/// Returns the request with this ticket, if it is in the queue.
std::optional<waiting_request> find_waiting(wait_queue const& queue,
                                            std::uint64_t ticket);

/// Records that a request was started. The start interval is measured only
/// while requests wait, because an empty queue does not show how fast the
/// endpoints could start more requests.
void record_start(wait_queue& queue, time_point now);

/// Returns the tickets of the waiting requests in the order in which they are
/// to be started: first the requests that can still be on time, by priority and
/// then by age, then the late ones in the same order. So in an overload some
/// requests are late or refused instead of all.
std::vector<std::uint64_t> start_order(wait_queue const& queue, time_point now);

/// Removes the requests that have expired and returns their tickets.
std::vector<std::uint64_t> take_expired(wait_queue& queue, time_point now);

/// Returns the expected wait of a new request with this priority.
nanoseconds expected_wait(wait_queue const& queue, std::int32_t priority);

/// Returns whether a new request is expected to expire while it waits, so that
/// it is better refused at once.
bool would_expire(wait_queue const& queue, waiting_request const& request);

/// Returns whether a request is to be refused rather than wait until the first
/// of its endpoints' backoffs ends.
/// @param may_come_back whether the caller may send it again, so that it need
/// not be late
bool is_backoff_too_long(waiting_request const& request, time_point backoff_end,
                         bool may_come_back);

/// Returns after which time a refused caller should retry: when the requests
/// that wait now are expected to have been started.
milliseconds retry_after(wait_queue const& queue);

} // namespace auburnlb

#endif
