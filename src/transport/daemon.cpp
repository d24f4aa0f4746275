// Signals and options of entry and companion.
#include "auburnlb/transport/daemon.hpp"

#include <atomic>
#include <csignal>
#include <thread>
#include <utility>

#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// How often the signal thread looks whether the process has finished.
constexpr long signal_poll_ns = 50'000'000;

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
