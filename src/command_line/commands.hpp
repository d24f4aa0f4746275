// The commands of the command line.
#ifndef AUBURNLB_COMMAND_LINE_COMMANDS_HPP
#define AUBURNLB_COMMAND_LINE_COMMANDS_HPP

#include <string>

#include "options.hpp"

namespace auburnlb::cli
{

// Without the administration API.
exit_status print_questionnaire(options const& given,
                                command_environment const& environment);
exit_status generate(options const& given,
                     command_environment const& environment);
exit_status check(options const& given, command_environment const& environment);
exit_status print_schema(options const& given,
                         command_environment const& environment);
exit_status explain(options const& given,
                    command_environment const& environment);

// With the administration API.
exit_status apply(options const& given, command_environment const& environment);
exit_status amend(options const& given, command_environment const& environment);
exit_status show_status(options const& given,
                        command_environment const& environment);
exit_status drain(options const& given, command_environment const& environment);
exit_status history(options const& given,
                    command_environment const& environment);
exit_status show_version(options const& given,
                         command_environment const& environment);

/// Prints the failure and gives the exit code that belongs to it.
exit_status report(command_environment const& environment,
                   error const& failure);

} // namespace auburnlb::cli

#endif
