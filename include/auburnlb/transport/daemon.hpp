// What the daemons' mains share: command line, settings, log and signals.
#ifndef AUBURNLB_TRANSPORT_DAEMON_HPP
#define AUBURNLB_TRANSPORT_DAEMON_HPP

#include <functional>
#include <optional>
#include <string>

#include "auburnlb/state/settings.hpp"
#include "auburnlb/transport/companion.hpp"
#include "auburnlb/transport/entry.hpp"

namespace auburnlb
{

/// Exit codes of the daemons.
enum class exit_code
{
    success = 0,
    failure = 1,
    usage = 2,
};

/// What the command line asks for.
struct daemon_command
{
    /// Set when the process is to end at once, for example after --help.
    std::optional<exit_code> exit_;
    settings settings_;
};

/// Reads "--settings FILE", "--check-settings FILE", "--help" and "--version",
/// prints what they ask for and sets up the log.
daemon_command read_daemon_command(int argc, char** argv,
                                   std::string const& program);

/// Blocks SIGTERM and SIGINT in this and all later threads. Call it before the
/// first thread starts.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT, calls begin_leaving for each, and returns when
/// the wait function does.
void run_until_stopped(std::function<void()> const& begin_leaving,
                       std::function<void()> const& wait);

/// Options from settings; an error names the field that is missing.
result<entry_options> read_entry_options(settings const& values);
result<companion_options> read_companion_options(settings const& values);

} // namespace auburnlb

#endif
