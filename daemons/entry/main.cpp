// The entry host's daemon.
#include <cstdio>

#include "auburnlb/entry/entry_options.hpp"
#include "auburnlb/state/log.hpp"
#include "auburnlb/transport/daemon_command.hpp"
#include "auburnlb/transport/stop_signals.hpp"

int main(int argc, char** argv)
{
    using namespace auburnlb;
    block_signals();
    daemon_command const command =
        read_daemon_command(argc, argv, "auburnlb-entry");
    if (command.exit_)
    {
        return static_cast<int>(*command.exit_);
    }
    auto options = read_entry_options(command.settings_);
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
    auto started = entry::start(std::move(options).value());
    if (!started)
    {
        log(log_level::error, log_event::port_unavailable,
            {{"peer", started.error().peer_}}, to_string(started.error()));
        return static_cast<int>(exit_code::failure);
    }
    entry& process = *started.value();
    // A supervisor or script learns the free ports that were taken from here.
    std::printf("bus=%s callers=%u admin=%u\n", process.bus_address().c_str(),
                unsigned{process.callers_port()},
                unsigned{process.admin_port()});
    std::fflush(stdout);
    log(log_level::info, log_event::process_started, {}, "entry is up");
    run_until_stopped([&process] { process.begin_leaving(); },
                      [&process] { process.wait(); });
    log(log_level::info, log_event::process_stopped, {}, "entry has stopped");
    return static_cast<int>(exit_code::success);
}
