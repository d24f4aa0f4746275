// The operators' command line, apart from the process that it runs in.
#ifndef AUBURNLB_COMMAND_LINE_COMMAND_LINE_HPP
#define AUBURNLB_COMMAND_LINE_COMMAND_LINE_HPP

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/admin_api.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// Exit codes of the command line.
enum class exit_status
{
    ok = 0,
    failure = 1,
    usage = 2,
    /// Another operator was faster.
    conflict = 3,
};

/// What the command line needs of its process.
struct command_environment
{
    std::ostream& out_;
    std::ostream& err_;
    /// An environment variable; absent if not set.
    std::function<std::optional<std::string>(std::string const& name)>
        variable_;
    /// Asks the operator a question. Empty if there is no terminal.
    std::function<bool(std::string const& question)> confirm_;
    /// A text that is unique for each change.
    std::function<std::string()> new_change_id_;
    /// Calls the administration API at a base URL.
    std::function<result<admin_response>(std::string const& base_url,
                                         admin_request const& request)>
        call_;
};

/// Runs one command; arguments begin with the program's name. Not thread-safe,
/// because getopt_long is not.
exit_status run_command_line(std::vector<std::string> arguments,
                             command_environment const& environment);

} // namespace auburnlb

#endif
