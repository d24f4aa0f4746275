// Metrics and log lines of callers' connections.
#include "auburnlb/router/caller_events.hpp"

#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

void record_dropped_bytes(metrics_registry& metrics, char const* reason,
                          std::string const& peer)
{
    metrics.add("auburnlb_router_caller_bytes_dropped_total",
                "reason=\"" + std::string(reason) + "\"");
    log(log_level::info, log_event::caller_bytes_dropped,
        {{"peer", peer}, {"reason", reason}},
        "bytes of a caller, perhaps a request, were dropped");
}

void record_eviction(metrics_registry& metrics, char const* reason,
                     std::string const& peer)
{
    metrics.add("auburnlb_router_evicted_bodies_total",
                "reason=\"" + std::string(reason) + "\"");
    log(log_level::info, log_event::caller_evicted,
        {{"peer", peer}, {"reason", reason}},
        "an unfinished request of a caller was ended");
}

void record_connection(metrics_registry& metrics, char const* counter,
                       char const* reason, std::string const& peer)
{
    metrics.add(counter);
    log(log_level::info, log_event::caller_evicted,
        {{"peer", peer}, {"reason", reason}},
        "a connection of a caller was closed, as all were in use");
}

void count_caller_left(metrics_registry& metrics, char const* how)
{
    metrics.add("auburnlb_router_callers_left_total",
                "how=\"" + std::string(how) + "\"");
}

} // namespace

void record_caller_event(metrics_registry& metrics, caller_event event,
                         std::string const& peer)
{
    switch (event)
    {
    case caller_event::idle_close:
        metrics.add("auburnlb_router_idle_closes_total");
        return;
    case caller_event::bytes_after_close:
        record_dropped_bytes(metrics, "after_close", peer);
        return;
    case caller_event::read_ahead_dropped:
        record_dropped_bytes(metrics, "read_ahead", peer);
        return;
    case caller_event::left_closed:
        count_caller_left(metrics, "closed");
        return;
    case caller_event::left_reset:
        count_caller_left(metrics, "reset");
        return;
    case caller_event::left_timed_out:
        count_caller_left(metrics, "timed_out");
        return;
    case caller_event::body_refused:
        metrics.count_refusal(refusal_reason::overloaded);
        metrics.add("auburnlb_router_refused_bodies_total");
        return;
    case caller_event::body_stalled:
        record_eviction(metrics, "stalled", peer);
        return;
    case caller_event::body_evicted_silent:
        record_eviction(metrics, "silent", peer);
        return;
    case caller_event::body_evicted_over_share:
        record_eviction(metrics, "over_share", peer);
        return;
    case caller_event::body_evicted_for_connection:
        record_eviction(metrics, "connection", peer);
        return;
    case caller_event::connection_evicted:
        record_connection(metrics, "auburnlb_router_evicted_connections_total",
                          "silent_connection", peer);
        return;
    case caller_event::connection_refused:
        record_connection(metrics, "auburnlb_router_refused_connections_total",
                          "no_connection_left", peer);
        return;
    }
}

} // namespace auburnlb
