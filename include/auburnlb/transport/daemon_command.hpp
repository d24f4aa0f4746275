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

/// What the command line asks for.
struct daemon_command
{
    /// Set when the process is to end at once, for example after --help.
    std::optional<exit_code> exit_;
    settings settings_;
    /// File that the settings came from.
    std::string settings_path_;
};

/// Reads "--settings FILE", "--check-settings FILE", "--help" and "--version",
/// prints what they ask for and sets up the log.
daemon_command read_daemon_command(int argc, char** argv,
                                   std::string const& program);

} // namespace auburnlb

#endif
