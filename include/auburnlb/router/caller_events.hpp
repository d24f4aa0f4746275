// What happens on callers' connections beside complete requests, counted so
// that a request without a response can be explained.
#ifndef AUBURNLB_ROUTER_CALLER_EVENTS_HPP
#define AUBURNLB_ROUTER_CALLER_EVENTS_HPP

#include <string>

#include "auburnlb/state/metrics.hpp"

namespace auburnlb
{

enum class caller_event
{
    /// The connection was closed because it was idle for too long.
    idle_close,
    /// Bytes, perhaps of a request, arrived after the last response.
    bytes_after_close,
    /// Bytes behind the last request, perhaps of another one, were dropped.
    read_ahead_dropped,
    /// The caller closed its sending half while its request was in progress.
    left_closed,
    /// The caller reset the connection while its request was in progress.
    left_reset,
    /// Bytes sent to the caller were not acknowledged while its request was in
    /// progress.
    left_timed_out,
    /// A request was refused, as there was no room for its body.
    body_refused,
    /// An unfinished request was ended: it made too little progress.
    body_stalled,
    /// Its room was needed, and it had made no progress.
    body_evicted_silent,
    /// Its room was needed, and its address held more than its share.
    body_evicted_over_share,
    /// Its connection was needed, and it had made no progress.
    body_evicted_for_connection,
    /// A connection without any request was closed for another one.
    connection_evicted,
    /// A connection was closed at once, as all were in use.
    connection_refused,
};

/// Counts the event, and logs those in which a request may have been dropped.
void record_caller_event(metrics_registry& metrics, caller_event event,
                         std::string const& peer);

} // namespace auburnlb

#endif
