// Command line, settings and signals of the daemons.
#include "auburnlb/transport/daemon.hpp"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <thread>
#include <utility>

#include <getopt.h>

#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

constexpr char const* program_version = "0.1.0";

/// How often the signal thread looks whether the process has finished.
constexpr long signal_poll_ns = 50'000'000;

void print_help(std::string const& program)
{
    std::printf("Usage: %s --settings FILE\n\n"
                "  --settings FILE        read the settings and run\n"
                "  --check-settings FILE  check the settings and exit\n"
                "  --version              print the version and exit\n"
                "  --help                 print this text and exit\n\n"
                "SIGTERM stops the process after the work in progress.\n",
                program.c_str());
}

daemon_command load_settings(std::string const& path, bool is_check,
                             std::string const& program)
{
    auto loaded = settings::load(path);
    if (!loaded)
    {
        // The settings that would choose the format of the log are not valid.
        configure_log(log_level::info, log_format::text, program);
        log(log_level::error, log_event::settings_rejected, {},
            path + ": " + loaded.error().detail_);
        return {exit_code::usage, {}};
    }
    if (is_check)
    {
        std::printf("%s: the settings are valid\n", path.c_str());
        return {exit_code::success, {}};
    }
    return {std::nullopt, std::move(loaded).value()};
}

log_level parse_level(std::string const& name)
{
    if (name == "debug")
    {
        return log_level::debug;
    }
    if (name == "warning")
    {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

std::optional<error>
find_missing(settings const& values,
             std::initializer_list<setting<std::string> const*> required)
{
    for (setting<std::string> const* const each : required)
    {
        if (auto missing = values.require(*each))
        {
            return missing;
        }
    }
    return std::nullopt;
}

} // namespace

daemon_command read_daemon_command(int argc, char** argv,
                                   std::string const& program)
{
    option const long_options[] = {
        {"settings", required_argument, nullptr, 's'},
        {"check-settings", required_argument, nullptr, 'c'},
        {"version", no_argument, nullptr, 'v'},
        {"help", no_argument, nullptr, 'h'},
        {nullptr, 0, nullptr, 0},
    };
    int const chosen = getopt_long(argc, argv, "", long_options, nullptr);
    daemon_command command;
    switch (chosen)
    {
    case 's':
    case 'c':
        command = load_settings(optarg, chosen == 'c', program);
        break;
    case 'v':
        std::printf("%s %s\n", program.c_str(), program_version);
        command.exit_ = exit_code::success;
        break;
    case 'h':
        print_help(program);
        command.exit_ = exit_code::success;
        break;
    default:
        print_help(program);
        command.exit_ = exit_code::usage;
        break;
    }
    if (!command.exit_)
    {
        using namespace settings_catalogue;
        settings const& values = command.settings_;
        configure_log(parse_level(values.get(log_lowest_level)),
                      values.get(log_line_format) == "json" ? log_format::json
                                                            : log_format::text,
                      program);
    }
    return command;
}

void block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void run_until_stopped(std::function<void()> const& begin_leaving,
                       std::function<void()> const& wait)
{
    std::atomic<bool> is_finished{false};
    std::thread signal_thread(
        [&]
        {
            sigset_t signals;
            sigemptyset(&signals);
            sigaddset(&signals, SIGTERM);
            sigaddset(&signals, SIGINT);
            timespec const poll{0, signal_poll_ns};
            while (!is_finished)
            {
                if (sigtimedwait(&signals, nullptr, &poll) > 0)
                {
                    begin_leaving();
                }
            }
        });
    wait();
    is_finished = true;
    signal_thread.join();
}

result<entry_options> read_entry_options(settings const& values)
{
    using namespace settings_catalogue;
    if (auto missing = find_missing(
            values, {&node_name, &node_data_centre, &platform_url}))
    {
        return *missing;
    }
    entry_options options;
    options.name_ = values.get(node_name);
    options.data_centre_ = values.get(node_data_centre);
    options.region_ = values.get(node_region);
    options.bus_address_ = values.get(peers_address);
    options.platform_url_ = values.get(platform_url);
    options.callers_.address_ = values.get(callers_address);
    options.callers_.port_ = values.get(callers_port);
    options.callers_.threads_ = values.get(callers_threads);
    options.callers_.max_body_bytes_ = values.get(callers_max_body_bytes);
    options.is_admin_enabled_ = values.get(admin_enabled);
    if (options.is_admin_enabled_)
    {
        if (auto missing = values.require(admin_token))
        {
            return *missing;
        }
    }
    options.admin_.address_ = values.get(admin_address);
    options.admin_.port_ = values.get(admin_port);
    options.admin_token_ = values.get(admin_token);
    options.peers_.beat_ = values.get(timing_beat);
    options.peers_.silence_ = values.get(timing_probe_timeout);
    options.streams_.silence_ = values.get(timing_stream_silence);
    options.streams_.probe_timeout_ = values.get(timing_probe_timeout);
    options.drain_limit_ = values.get(timing_drain_limit);
    options.resume_grace_ = values.get(timing_resume_grace);
    options.hosts_poll_ = values.get(timing_hosts_poll);
    options.watch_wait_ = values.get(timing_watch_wait);
    return options;
}

result<companion_options> read_companion_options(settings const& values)
{
    using namespace settings_catalogue;
    if (auto missing =
            find_missing(values, {&node_name, &node_data_centre, &platform_url,
                                  &endpoint_url, &endpoint_service}))
    {
        return *missing;
    }
    companion_options options;
    options.name_ = values.get(node_name);
    options.data_centre_ = values.get(node_data_centre);
    options.region_ = values.get(node_region);
    options.bus_address_ = values.get(peers_address);
    options.advertised_address_ = values.get(peers_advertised_address);
    options.platform_url_ = values.get(platform_url);
    options.endpoint_url_ = values.get(endpoint_url);
    options.service_ = values.get(endpoint_service);
    options.kind_ = values.get(endpoint_kind) == "plain" ? service_kind::plain
                                                         : service_kind::model;
    options.tokens_per_second_ = values.get(endpoint_tokens_per_second);
    options.kv_tokens_ = values.get(endpoint_kv_tokens);
    options.drain_limit_ = values.get(timing_drain_limit);
    options.stream_idle_limit_ = values.get(timing_resume_grace);
    return options;
}

} // namespace auburnlb
