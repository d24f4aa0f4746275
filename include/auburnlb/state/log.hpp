// Numbered log events, written through Boost.Log. docs/EVENTS.md lists them.
#ifndef AUBURNLB_STATE_LOG_HPP
#define AUBURNLB_STATE_LOG_HPP

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

enum class log_format
{
    text,
    json,
};

/// The numbers are stable. docs/EVENTS.md describes each event.
enum class log_event
{
    process_started = 100,
    process_stopping = 101,
    process_stopped = 102,
    settings_rejected = 103,
    port_unavailable = 104,
    clock_jumped = 105,
    settings_reloaded = 106,
    log_lines_dropped = 107,
    configuration_in_force = 200,
    platform_unreachable = 202,
    platform_reachable = 203,
    configuration_rejected = 204,
    store_watch_changed = 205,
    store_restored = 206,
    entry_rejected = 207,
    peer_joined = 300,
    peer_leaving = 301,
    peer_lost = 302,
    peer_replaced = 303,
    peer_silent = 304,
    frame_rejected = 305,
    rate_limit_changed = 306,
    endpoint_backoff = 307,
    request_refused = 400,
    stream_resumed = 401,
    stream_failed = 402,
    stream_cancelled = 403,
    request_quarantined = 404,
    request_ended = 405,
    crash_counted = 406,
    superseded_attempt_resumed = 407,
    caller_bytes_dropped = 408,
    caller_evicted = 409,
    run_interrupted = 410,
    crash_cleared = 411,
    engine_lost = 500,
    engine_back = 501,
    claim_home_taken = 600,
    claim_home_fenced = 601,
    claim_write_failed = 602,
    duty_taken = 700,
    duty_lost = 701,
    layers_ordered = 702,
    order_failed = 703,
    layers_missing = 704,
    layers_complete = 705,
};

/// A named field of an event, such as {"request", "1f-3"} or {"peer", ...}.
using log_field = std::pair<std::string_view, std::string>;

enum class log_target
{
    standard_output,
    standard_error,
};

/// Returns a time as the fields that end in _ms have it.
std::string ms_text(nanoseconds value);

/// Sets the level, format and target of all events. Must be called before other
/// threads log. Writing never blocks: if the target is blocked, closed or slow,
/// lines are dropped, and a log_lines_dropped event reports their number. The
/// lines of each event are also limited per second. Part of the output buffer
/// is reserved for errors and warnings. The clock must outlive all logging.
void configure_log(log_level lowest, log_format format, std::string process,
                   clock_source const& clock,
                   log_target target = log_target::standard_output);

/// Sets whether lines are buffered until flush_log() instead of being written
/// at once. Meant for a process that calls flush_log() often.
void set_log_batched(bool is_batched);

/// Writes buffered lines as far as the target accepts them without blocking.
void flush_log();

/// Writes one event. Thread-safe. An event below the lowest level costs only
/// one comparison.
void log(log_level level, log_event event,
         std::initializer_list<log_field> fields, std::string_view message);

/// The name of the enumerator.
char const* to_string(log_event event);
char const* to_string(log_level level);

/// All events, in ascending order of their numbers.
std::span<log_event const> all_log_events();

/// Renders an event as one line in the given format, without a line break.
/// @param time the rendered time stamp
std::string render_event(log_format format, std::string_view process,
                         std::string_view time, log_level level,
                         log_event event,
                         std::initializer_list<log_field> fields,
                         std::string_view message);

} // namespace auburnlb

#endif
