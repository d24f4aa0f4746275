// The commands of the command line.
#ifndef AUBURNLB_TRANSPORT_CLI_COMMANDS_HPP
#define AUBURNLB_TRANSPORT_CLI_COMMANDS_HPP

#include <string>

#include "options.hpp"

namespace auburnlb::cli
{

// Without the administration API.
exit_code print_questionnaire(options const& given,
                              command_environment const& environment);
exit_code generate(options const& given,
                   command_environment const& environment);
exit_code check(options const& given, command_environment const& environment);
exit_code print_schema(options const& given,
                       command_environment const& environment);

// With the administration API.
exit_code apply(options const& given, command_environment const& environment);
exit_code amend(options const& given, command_environment const& environment);
exit_code show_status(options const& given,
                      command_environment const& environment);
exit_code drain(options const& given, command_environment const& environment);
exit_code history(options const& given, command_environment const& environment);
exit_code show_version(options const& given,
                       command_environment const& environment);

/// Prints the failure and gives the exit code that belongs to it.
exit_code report(command_environment const& environment, error const& failure);

} // namespace auburnlb::cli

#endif
