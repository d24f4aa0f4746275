// The daemon beside an endpoint.
#include <cstdio>

#include "auburnlb/companion/companion_options.hpp"
#include "auburnlb/state/log.hpp"
#include "auburnlb/transport/daemon_command.hpp"
#include "auburnlb/transport/stop_signals.hpp"

int main(int argc, char** argv)
{
    using namespace auburnlb;
    block_signals();
    daemon_command const command =
        read_daemon_command(argc, argv, "auburnlb-companion");
    if (command.exit_)
    {
        return static_cast<int>(*command.exit_);
    }
    auto options = read_companion_options(command.settings_);
    if (!options)
    {
        log(log_level::error, log_event::settings_rejected, {},
            options.error().detail_);
        return static_cast<int>(exit_code::usage);
    }
    if (is_stop_pending())
    {
        log(log_level::info, log_event::process_stopped, {},
            "stopped before it listened");
        return static_cast<int>(exit_code::success);
    }
    auto started = companion::start(std::move(options).value());
    if (!started)
    {
        log(log_level::error, log_event::port_unavailable,
            {{"peer", started.error().peer_}}, to_string(started.error()));
        return static_cast<int>(exit_code::failure);
    }
    companion& process = *started.value();
    std::printf("bus=%s\n", process.address().c_str());
    std::fflush(stdout);
    log(log_level::info, log_event::process_started, {}, "companion is up");
    run_until_stopped([&process] { process.begin_leaving(); },
                      [&process] { process.wait(); });
    log(log_level::info, log_event::process_stopped, {},
        "companion has stopped");
    return static_cast<int>(exit_code::success);
}
