// The command line of the daemons.
#ifndef AUBURNLB_TRANSPORT_DAEMON_COMMAND_HPP
#define AUBURNLB_TRANSPORT_DAEMON_COMMAND_HPP

#include <optional>
#include <string>

#include "auburnlb/state/settings.hpp"

namespace auburnlb
{

/// Exit codes of the daemons.
enum class exit_code
{
    success = 0,
    failure = 1,
    usage = 2,
};

/// The parsed command line.
struct daemon_command
{
    /// Set if the process must exit immediately, for example after --help.
    std::optional<exit_code> exit_;
    settings settings_;
    /// File that the settings were read from.
    std::string settings_path_;
};

/// Handles "--settings FILE", "--check-settings FILE", "--help" and
/// "--version": loads the settings, prints the requested output and configures
/// the log.
daemon_command read_daemon_command(int argc, char** argv,
                                   std::string const& program);

} // namespace auburnlb

#endif
