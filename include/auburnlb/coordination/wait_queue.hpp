// Requests that wait for room at the endpoints of a service: their order, and
// who is refused.
#ifndef AUBURNLB_COORDINATION_WAIT_QUEUE_HPP
#define AUBURNLB_COORDINATION_WAIT_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// A request that waits.
struct waiting_request
{
    /// Unique at this router.
    std::uint64_t ticket_ = 0;
    /// 0 is the most urgent.
    std::int32_t priority_ = 0;
    time_point arrived_{};
    /// The latest start with which its answer can be on time.
    time_point latest_on_time_start_{};
    /// When its caller will have left, or a start would be in vain.
    time_point expires_at_{};

    bool operator==(waiting_request const&) const = default;
};

/// The queue of one service at one router.
struct wait_queue
{
    /// In the order of arrival.
    std::vector<waiting_request> waiting_;
    /// Moving mean of the time between two starts; zero before the second.
    nanoseconds start_interval_{0};
    time_point last_start_{};

    bool operator==(wait_queue const&) const = default;
};

void add_waiting(wait_queue& queue, waiting_request const& request);
void remove_waiting(wait_queue& queue, std::uint64_t ticket);

/// A request was started. The interval is learnt only while others wait, since
/// an empty queue says nothing about how fast the endpoints could start more.
void record_start(wait_queue& queue, time_point now);

/// The waiting requests in the order in which they should be tried: first those
/// that can still be on time, the urgent and then the older ones first; after
/// them those that are late already, in the same order. So an overload makes
/// some requests late or refused instead of all.
std::vector<std::uint64_t> start_order(wait_queue const& queue, time_point now);

/// Takes out the requests that can no longer be served.
std::vector<std::uint64_t> take_expired(wait_queue& queue, time_point now);

/// How long a new request of that priority would wait.
nanoseconds expected_wait(wait_queue const& queue, std::int32_t priority);

/// Whether a new request would wait until after its time, so that it is better
/// refused at once.
bool would_expire(wait_queue const& queue, waiting_request const& request);

/// When a refused caller has a prospect: when what waits now has been started.
milliseconds retry_after(wait_queue const& queue);

} // namespace auburnlb

#endif
