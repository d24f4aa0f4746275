// Numbered log events over Boost.Log. docs/EVENTS.md is their catalogue.
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

/// The numbers are stable; docs/EVENTS.md describes each.
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
    peer_joined = 300,
    peer_leaving = 301,
    peer_lost = 302,
    peer_replaced = 303,
    peer_silent = 304,
    frame_rejected = 305,
    request_refused = 400,
    stream_resumed = 401,
    stream_failed = 402,
    stream_cancelled = 403,
    request_quarantined = 404,
    request_ended = 405,
    engine_lost = 500,
    engine_back = 501,
    claim_home_taken = 600,
    claim_home_fenced = 601,
    claim_write_failed = 602,
    duty_taken = 700,
    duty_lost = 701,
    layers_ordered = 702,
    order_failed = 703,
};

/// A named field of an event, such as {"request", "1f-3"} or {"peer", ...}.
using log_field = std::pair<std::string_view, std::string>;

enum class log_target
{
    standard_output,
    standard_error,
};

/// Sets level, format and target of all events. Call it before other threads
/// log. Lines are written without waiting: a target that is blocked, closed or
/// slow loses lines, which are counted and told, and nothing else. Each event
/// has a limit of lines a second by the clock, which must outlive all logging;
/// errors and warnings have room of their own.
void configure_log(log_level lowest, log_format format, std::string process,
                   clock_source const& clock,
                   log_target target = log_target::standard_output);

/// Keeps lines until flush_log(), for a process that calls it often; otherwise
/// each line is written when it is logged.
void set_log_batched(bool is_batched);

/// Writes the lines kept, as far as the target takes them at once.
void flush_log();

/// Writes one event. Thread-safe. An event below the lowest level costs one
/// comparison.
void log(log_level level, log_event event,
         std::initializer_list<log_field> fields, std::string_view message);

/// The lower-case enumerator name.
char const* to_string(log_event event);
char const* to_string(log_level level);

/// Every event, by ascending number.
std::span<log_event const> all_log_events();

/// One line without its end, as configure_log's format asks for it. time is the
/// already rendered time stamp.
std::string render_event(log_format format, std::string_view process,
                         std::string_view time, log_level level,
                         log_event event,
                         std::initializer_list<log_field> fields,
                         std::string_view message);

} // namespace auburnlb

#endif
