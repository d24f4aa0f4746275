// One command's use of the administration API: who calls, how changes are sent
// and confirmed, and how results are printed.
#ifndef AUBURNLB_COMMAND_LINE_ADMIN_SESSION_HPP
#define AUBURNLB_COMMAND_LINE_ADMIN_SESSION_HPP

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "options.hpp"

namespace auburnlb::cli
{

/// What an answer means for the command. A failure has been printed.
struct call_result
{
    exit_status code_ = exit_status::failure;
    nlohmann::ordered_json body_;
};

/// The calls of one command. Refers to the command's options and environment,
/// which outlive it.
class admin_session
{
public:
    admin_session(options const& given, command_environment const& environment,
                  connection where)
        : given_(given)
        , environment_(environment)
        , where_(std::move(where))
    {
    }

    /// @param path the path below that of the administration API
    result<admin_response> send(std::string const& method,
                                std::string const& path,
                                std::string const& body = "") const;

    /// Returns the body of a success; prints everything else.
    call_result evaluate(result<admin_response> const& answer) const;

    /// Prints the body as JSON if the options say so. Returns whether it did.
    bool print_json(nlohmann::ordered_json const& body) const;

    /// Asks the operator, unless the options have confirmed already.
    exit_status confirm(std::string const& question) const;

    /// Returns the fields that every change has.
    nlohmann::ordered_json
    change_body(nlohmann::ordered_json const& version) const;

    /// Sends a confirmed change and prints the version that it got.
    exit_status finish(std::string const& method, std::string const& path,
                       nlohmann::ordered_json const& body) const;

    /// Prints the changes as a table, unless JSON is wanted.
    void print_diff(nlohmann::ordered_json const& changes) const;

private:
    /// Sends a change, and again if it is not known whether it was accepted: it
    /// carries an id, so that it is idempotent.
    result<admin_response>
    send_change(std::string const& method, std::string const& path,
                nlohmann::ordered_json const& body) const;
    exit_status print_failure(int status,
                              nlohmann::ordered_json const& body) const;

    options const& given_;
    command_environment const& environment_;
    connection const where_;
};

} // namespace auburnlb::cli

#endif
