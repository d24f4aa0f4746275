// The router's daemon: serves callers on the users' platform.
#include <csignal>
#include <cstdio>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include "auburnlb/router/boot_clock.hpp"
#include "auburnlb/router/router.hpp"
#include "auburnlb/state/log.hpp"
#include "auburnlb/transport/daemon_command.hpp"
#include "protocol.hpp"

namespace
{

using namespace auburnlb;

void follow_signals(asio::signal_set& signals, router& process,
                    std::string const& settings_path)
{
    signals.async_wait(
        [&signals, &process, settings_path](asio::error_code const& failure,
                                            int signal)
        {
            if (failure)
            {
                return;
            }
            if (signal == SIGHUP)
            {
                auto const values = settings::load(settings_path);
                auto const options =
                    values ? read_router_options(values.value())
                           : result<router_options>(values.error());
                if (options)
                {
                    process.reload(options.value());
                }
                else
                {
                    log(log_level::error, log_event::settings_rejected, {},
                        options.error().detail_);
                }
            }
            else
            {
                process.begin_stop();
            }
            follow_signals(signals, process, settings_path);
        });
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    daemon_command const command =
        read_daemon_command(argc, argv, "auburnlb-router");
    if (command.exit_)
    {
        return static_cast<int>(*command.exit_);
    }
    auto options = read_router_options(command.settings_);
    if (!options)
    {
        log(log_level::error, log_event::settings_rejected, {},
            options.error().detail_);
        return static_cast<int>(exit_code::usage);
    }
    constexpr int single_thread = 1;
    asio::io_context io(single_thread);
    boot_clock const clock;
    router process(io, clock, platform::protocol(), std::move(options).value());
    asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    follow_signals(signals, process, command.settings_path_);
    if (auto started = process.start(); !started)
    {
        log(log_level::error, log_event::port_unavailable,
            {{"peer", started.error().peer_}}, to_string(started.error()));
        return static_cast<int>(exit_code::failure);
    }
    log(log_level::info, log_event::process_started, {}, "the router is up");
    io.run();
    return static_cast<int>(exit_code::success);
}
