// Rendering and output of log events through Boost.Log.
#include "auburnlb/state/log.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

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
    {log_event::configuration_in_force, "configuration_in_force"},
    {log_event::platform_unreachable, "platform_unreachable"},
    {log_event::platform_reachable, "platform_reachable"},
    {log_event::configuration_rejected, "configuration_rejected"},
    {log_event::peer_joined, "peer_joined"},
    {log_event::peer_leaving, "peer_leaving"},
    {log_event::peer_lost, "peer_lost"},
    {log_event::peer_replaced, "peer_replaced"},
    {log_event::peer_silent, "peer_silent"},
    {log_event::frame_rejected, "frame_rejected"},
    {log_event::request_refused, "request_refused"},
    {log_event::stream_resumed, "stream_resumed"},
    {log_event::stream_failed, "stream_failed"},
    {log_event::stream_cancelled, "stream_cancelled"},
    {log_event::request_quarantined, "request_quarantined"},
    {log_event::request_ended, "request_ended"},
    {log_event::engine_lost, "engine_lost"},
    {log_event::engine_back, "engine_back"},
    {log_event::claim_home_taken, "claim_home_taken"},
    {log_event::claim_home_fenced, "claim_home_fenced"},
    {log_event::claim_write_failed, "claim_write_failed"},
    {log_event::duty_taken, "duty_taken"},
    {log_event::duty_lost, "duty_lost"},
    {log_event::layers_ordered, "layers_ordered"},
    {log_event::order_failed, "order_failed"},
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
};

log_settings& settings()
{
    static log_settings instance;
    return instance;
}

using stream_sink = boost::log::sinks::synchronous_sink<
    boost::log::sinks::text_ostream_backend>;

/// Registers the sink for standard error on first use. The lines are already
/// rendered, so the sink writes the message alone.
void ensure_sink()
{
    static bool const is_registered = []
    {
        auto backend =
            boost::make_shared<boost::log::sinks::text_ostream_backend>();
        backend->add_stream(
            boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
        backend->auto_flush(true);
        auto sink = boost::make_shared<stream_sink>(backend);
        sink->set_formatter(boost::log::expressions::stream
                            << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(sink);
        return true;
    }();
    static_cast<void>(is_registered);
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

bool is_plain(std::string_view value)
{
    return !value.empty() &&
           std::all_of(value.begin(), value.end(),
                       [](char letter) {
                           return letter > ' ' && letter < 0x7F &&
                                  letter != '"' && letter != '=';
                       });
}

std::string dump(nlohmann::json const& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Quotes what would break the line or the field's borders.
std::string quote_if_needed(std::string_view value)
{
    return is_plain(value) ? std::string(value) : dump(std::string(value));
}

/// Line ends inside a message would look like further events.
std::string on_one_line(std::string_view message)
{
    std::string line(message);
    std::replace_if(
        line.begin(), line.end(),
        [](unsigned char letter) { return letter < ' ' || letter == 0x7F; },
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
    return line + ' ' + on_one_line(message);
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

void configure_log(log_level lowest, log_format format, std::string process)
{
    ensure_sink();
    settings().lowest_ = lowest;
    settings().format_ = format;
    settings().process_ = std::move(process);
}

void log(log_level level, log_event event,
         std::initializer_list<log_field> fields, std::string_view message)
{
    if (level < settings().lowest_.load(std::memory_order_relaxed))
    {
        return;
    }
    ensure_sink();
    std::string const line =
        render_event(settings().format_, settings().process_, time_stamp(),
                     level, event, fields, message);
    boost::log::sources::logger logger;
    BOOST_LOG(logger) << line;
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
