// Rendering and output of log events through Boost.Log.
#include "auburnlb/state/log.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>

#include <unistd.h>

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include "auburnlb/state/log_output.hpp"

namespace auburnlb
{

namespace
{

struct named_event
{
    log_event event_;
    char const* name_;
};

constexpr std::array event_names = std::to_array<named_event>({
    {log_event::process_started, "process_started"},
    {log_event::process_stopping, "process_stopping"},
    {log_event::process_stopped, "process_stopped"},
    {log_event::settings_rejected, "settings_rejected"},
    {log_event::port_unavailable, "port_unavailable"},
    {log_event::clock_jumped, "clock_jumped"},
    {log_event::settings_reloaded, "settings_reloaded"},
    {log_event::log_lines_dropped, "log_lines_dropped"},
    {log_event::configuration_in_force, "configuration_in_force"},
    {log_event::platform_unreachable, "platform_unreachable"},
    {log_event::platform_reachable, "platform_reachable"},
    {log_event::configuration_rejected, "configuration_rejected"},
    {log_event::store_watch_changed, "store_watch_changed"},
    {log_event::store_restored, "store_restored"},
    {log_event::entry_rejected, "entry_rejected"},
    {log_event::peer_joined, "peer_joined"},
    {log_event::peer_leaving, "peer_leaving"},
    {log_event::peer_lost, "peer_lost"},
    {log_event::peer_replaced, "peer_replaced"},
    {log_event::peer_silent, "peer_silent"},
    {log_event::frame_rejected, "frame_rejected"},
    {log_event::rate_limit_changed, "rate_limit_changed"},
    {log_event::endpoint_backoff, "endpoint_backoff"},
    {log_event::request_refused, "request_refused"},
    {log_event::stream_resumed, "stream_resumed"},
    {log_event::stream_failed, "stream_failed"},
    {log_event::stream_cancelled, "stream_cancelled"},
    {log_event::request_quarantined, "request_quarantined"},
    {log_event::request_ended, "request_ended"},
    {log_event::crash_counted, "crash_counted"},
    {log_event::superseded_attempt_resumed, "superseded_attempt_resumed"},
    {log_event::caller_bytes_dropped, "caller_bytes_dropped"},
    {log_event::caller_evicted, "caller_evicted"},
    {log_event::run_interrupted, "run_interrupted"},
    {log_event::crash_cleared, "crash_cleared"},
    {log_event::engine_lost, "engine_lost"},
    {log_event::engine_back, "engine_back"},
    {log_event::claim_home_taken, "claim_home_taken"},
    {log_event::claim_home_fenced, "claim_home_fenced"},
    {log_event::claim_write_failed, "claim_write_failed"},
    {log_event::duty_taken, "duty_taken"},
    {log_event::duty_lost, "duty_lost"},
    {log_event::layers_ordered, "layers_ordered"},
    {log_event::order_failed, "order_failed"},
    {log_event::layers_missing, "layers_missing"},
    {log_event::layers_complete, "layers_complete"},
});

constexpr auto event_list = []
{
    std::array<log_event, event_names.size()> events{};
    std::transform(event_names.begin(), event_names.end(), events.begin(),
                   [](named_event const& each) { return each.event_; });
    return events;
}();

struct log_settings
{
    std::atomic<log_level> lowest_{log_level::info};
    log_format format_ = log_format::text;
    std::string process_;
    /// Null until configure_log() is called; no rate limit applies until then.
    clock_source const* clock_ = nullptr;
};

log_settings& settings()
{
    static log_settings instance;
    return instance;
}

/// Capacity of the buffer for lines that a slow target has not accepted yet.
constexpr std::size_t buffer_bytes = std::size_t{256} * 1024;

/// A Boost.Log sink backend that keeps lines in a bounded buffer.
class bounded_sink_backend final
    : public boost::log::sinks::basic_formatted_sink_backend<
          char, boost::log::sinks::synchronized_feeding>
{
public:
    explicit bounded_sink_backend(int descriptor)
        : writer_(descriptor, buffer_bytes)
    {
    }

    void consume(boost::log::record_view const& record, string_type const& line)
    {
        auto const severity = record["Severity"].extract<log_level>();
        bool const is_important = severity && *severity >= log_level::warning;
        writer_.add(line, is_important);
        if (!is_batched_)
        {
            writer_.drain();
        }
    }

    void drain() { writer_.drain(); }
    void set_batched(bool is_batched) { is_batched_ = is_batched; }
    std::uint64_t take_dropped() { return writer_.take_dropped(); }

private:
    bounded_line_writer writer_;
    bool is_batched_ = false;
};

using bounded_sink = boost::log::sinks::synchronous_sink<bounded_sink_backend>;

/// The sink of all events; null until make_sink() is called. Lines are rendered
/// before they reach it, so its formatter outputs only the message.
boost::shared_ptr<bounded_sink>& sink()
{
    static boost::shared_ptr<bounded_sink> instance;
    return instance;
}

void make_sink(int descriptor)
{
    if (sink() != nullptr)
    {
        boost::log::core::get()->remove_sink(sink());
    }
    sink() = boost::make_shared<bounded_sink>(
        boost::make_shared<bounded_sink_backend>(descriptor));
    sink()->set_formatter(boost::log::expressions::stream
                          << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink());
}

void ensure_sink()
{
    static bool const is_initialized = []
    {
        if (sink() == nullptr)
        {
            make_sink(STDOUT_FILENO);
        }
        return true;
    }();
    static_cast<void>(is_initialized);
}

/// The rate limit of the log, shared by all threads.
struct shared_rate_limit
{
    std::mutex mutex_;
    log_rate_limit limit_;
};

shared_rate_limit& rate_limit()
{
    static shared_rate_limit instance;
    return instance;
}

bool is_within_limit(log_event event)
{
    if (settings().clock_ == nullptr)
    {
        return true;
    }
    std::lock_guard const lock(rate_limit().mutex_);
    return admit_line(rate_limit().limit_, static_cast<int>(event),
                      settings().clock_->now());
}

std::string time_stamp()
{
    boost::log::attributes::utc_clock clock;
    auto const value =
        clock.get_value().extract_or_default<boost::posix_time::ptime>({});
    return boost::posix_time::to_iso_extended_string(value) + "Z";
}

std::string event_number(log_event event)
{
    std::array<char, 16> text{};
    int const length = std::snprintf(text.data(), text.size(), "E%04d",
                                     static_cast<int>(event));
    return {text.data(), static_cast<std::size_t>(length)};
}

bool is_safe_unquoted(std::string_view value)
{
    return !value.empty() &&
           std::all_of(value.begin(), value.end(),
                       [](char character)
                       {
                           return character > ' ' && character < 0x7F &&
                                  character != '"' && character != '=';
                       });
}

std::string dump(nlohmann::json const& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Quotes a value that would break the line or make its end ambiguous.
std::string quote_if_needed(std::string_view value)
{
    return is_safe_unquoted(value) ? std::string(value)
                                   : dump(std::string(value));
}

/// Replaces control characters by blanks: a line break inside a message would
/// look like the start of another event.
std::string replace_control_characters(std::string_view message)
{
    std::string line(message);
    std::replace_if(
        line.begin(), line.end(),
        [](unsigned char character)
        { return character < ' ' || character == 0x7F; },
        ' ');
    return line;
}

std::string render_text(std::string_view process, std::string_view time,
                        log_level level, log_event event,
                        std::initializer_list<log_field> fields,
                        std::string_view message)
{
    std::string line(time);
    line += ' ';
    line += to_string(level);
    line += ' ' + event_number(event) + ' ';
    line += to_string(event);
    if (!process.empty())
    {
        line += " process=" + quote_if_needed(process);
    }
    for (auto const& [name, value] : fields)
    {
        line += ' ';
        line += name;
        line += '=' + quote_if_needed(value);
    }
    return line + ' ' + replace_control_characters(message);
}

std::string render_json(std::string_view process, std::string_view time,
                        log_level level, log_event event,
                        std::initializer_list<log_field> fields,
                        std::string_view message)
{
    nlohmann::ordered_json line{{"time", time},
                                {"level", to_string(level)},
                                {"event", event_number(event)},
                                {"name", to_string(event)}};
    if (!process.empty())
    {
        line["process"] = process;
    }
    for (auto const& [name, value] : fields)
    {
        line[std::string(name)] = value;
    }
    line["message"] = message;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

namespace
{

void write_line(log_level level, std::string const& line)
{
    boost::log::sources::severity_logger<log_level> logger;
    BOOST_LOG_SEV(logger, level) << line;
}

/// Logs how many lines the rate limit and the full buffer dropped.
void report_dropped()
{
    std::map<int, std::uint64_t> dropped;
    if (settings().clock_ != nullptr)
    {
        std::lock_guard const lock(rate_limit().mutex_);
        dropped = take_dropped(rate_limit().limit_, settings().clock_->now());
    }
    std::uint64_t const dropped_by_buffer =
        sink()->locked_backend()->take_dropped();
    if (dropped_by_buffer > 0)
    {
        dropped[0] = dropped_by_buffer;
    }
    for (auto const& [event, count] : dropped)
    {
        write_line(log_level::warning,
                   render_event(settings().format_, settings().process_,
                                time_stamp(), log_level::warning,
                                log_event::log_lines_dropped,
                                {{"of_event", std::to_string(event)},
                                 {"lines", std::to_string(count)}},
                                "log lines were dropped"));
    }
}

} // namespace

void configure_log(log_level lowest, log_format format, std::string process,
                   clock_source const& clock, log_target target)
{
    make_sink(target == log_target::standard_output ? STDOUT_FILENO
                                                    : STDERR_FILENO);
    settings().lowest_ = lowest;
    settings().format_ = format;
    settings().process_ = std::move(process);
    settings().clock_ = &clock;
}

void set_log_batched(bool is_batched)
{
    ensure_sink();
    sink()->locked_backend()->set_batched(is_batched);
}

void flush_log()
{
    ensure_sink();
    report_dropped();
    sink()->locked_backend()->drain();
}

std::string ms_text(nanoseconds value)
{
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(value).count());
}

void log(log_level level, log_event event,
         std::initializer_list<log_field> fields, std::string_view message)
{
    if (level < settings().lowest_.load(std::memory_order_relaxed))
    {
        return;
    }
    ensure_sink();
    // Also starts a new window for events that exceeded their limit in the
    // last one.
    report_dropped();
    if (!is_within_limit(event))
    {
        return;
    }
    write_line(level,
               render_event(settings().format_, settings().process_,
                            time_stamp(), level, event, fields, message));
}

char const* to_string(log_event event)
{
    auto const found = std::find_if(event_names.begin(), event_names.end(),
                                    [&](named_event const& each)
                                    { return each.event_ == event; });
    return found == event_names.end() ? "unknown" : found->name_;
}

char const* to_string(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

std::span<log_event const> all_log_events()
{
    return event_list;
}

std::string render_event(log_format format, std::string_view process,
                         std::string_view time, log_level level,
                         log_event event,
                         std::initializer_list<log_field> fields,
                         std::string_view message)
{
    return format == log_format::json
               ? render_json(process, time, level, event, fields, message)
               : render_text(process, time, level, event, fields, message);
}

} // namespace auburnlb
