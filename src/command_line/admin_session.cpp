// Calls of the administration API and the evaluation of its answers.
#include "admin_session.hpp"

#include <ostream>

#include "commands.hpp"
#include "tables.hpp"

namespace auburnlb::cli
{

using nlohmann::ordered_json;

namespace
{

constexpr int max_attempts = 3;

constexpr int status_success_begin = 200;
constexpr int status_success_end = 300;
constexpr int status_conflict = 409;
constexpr int status_gateway_timeout = 504;

bool is_uncertain(result<admin_response> const& answer)
{
    if (answer)
    {
        return answer.value().status_ == status_gateway_timeout;
    }
    return answer.error().code_ == error_code::response_lost ||
           answer.error().code_ == error_code::timeout;
}

} // namespace

result<admin_response> admin_session::send(std::string const& method,
                                           std::string const& path,
                                           std::string const& body) const
{
    return environment_.call_(
        where_.base_url_,
        {method, "/admin/v1/" + path, body, where_.token_, where_.author_});
}

result<admin_response>
admin_session::send_change(std::string const& method, std::string const& path,
                           ordered_json const& body) const
{
    result<admin_response> answer = send(method, path, body.dump());
    for (int attempt = 1; attempt < max_attempts && is_uncertain(answer);
         ++attempt)
    {
        answer = send(method, path, body.dump());
    }
    return answer;
}

call_result admin_session::evaluate(result<admin_response> const& answer) const
{
    if (!answer)
    {
        return {report(environment_, answer.error()), {}};
    }
    ordered_json body =
        ordered_json::parse(answer.value().body_, nullptr, false);
    int const status = answer.value().status_;
    if (body.is_discarded())
    {
        return {report(environment_,
                       {error_code::internal, "read response", where_.base_url_,
                        "status " + std::to_string(status) +
                            " with a body that is no JSON"}),
                {}};
    }
    if (status >= status_success_begin && status < status_success_end)
    {
        return {exit_status::ok, std::move(body)};
    }
    return {print_failure(status, body), std::move(body)};
}

bool admin_session::print_json(ordered_json const& body) const
{
    if (given_.is_json_)
    {
        environment_.out_ << body.dump(2) << '\n';
    }
    return given_.is_json_;
}

exit_status admin_session::confirm(std::string const& question) const
{
    if (given_.is_yes_)
    {
        return exit_status::ok;
    }
    if (!environment_.confirm_)
    {
        return report(environment_,
                      {error_code::invalid_input, "ask for confirmation", "",
                       "there is no terminal; give --yes"});
    }
    if (environment_.confirm_(question))
    {
        return exit_status::ok;
    }
    environment_.err_ << "Nothing was changed.\n";
    return exit_status::failure;
}

ordered_json admin_session::change_body(ordered_json const& version) const
{
    ordered_json body;
    body["expected_version"] = given_.expected_version_
                                   ? ordered_json(*given_.expected_version_)
                                   : version;
    body["change_id"] =
        given_.change_id_ ? *given_.change_id_ : environment_.new_change_id_();
    body["comment"] = given_.comment_.value_or("");
    return body;
}

exit_status admin_session::finish(std::string const& method,
                                  std::string const& path,
                                  ordered_json const& body) const
{
    auto const answer = send_change(method, path, body);
    bool const is_lost = is_uncertain(answer);
    call_result const accepted = evaluate(answer);
    if (accepted.code_ != exit_status::ok)
    {
        if (is_lost)
        {
            environment_.err_
                << "It is not known whether the change was accepted. Give "
                   "the command again with --change-id "
                << cell_text(body.at("change_id")) << " --expect "
                << cell_text(body.at("expected_version")) << ".\n";
        }
        return accepted.code_;
    }
    if (!print_json(accepted.body_))
    {
        environment_.out_ << "Accepted as version "
                          << cell_text(accepted.body_.at("version")) << ".\n";
    }
    return exit_status::ok;
}

void admin_session::print_diff(ordered_json const& changes) const
{
    if (!given_.is_json_)
    {
        print_changes(environment_.out_, changes);
    }
}

exit_status admin_session::print_failure(int status,
                                         ordered_json const& body) const
{
    bool const is_conflict = status == status_conflict;
    if (given_.is_json_)
    {
        environment_.out_ << body.dump(2) << '\n';
    }
    ordered_json const failure = body.value("error", ordered_json::object());
    environment_.err_ << "auburnlb: "
                      << cell_text(
                             failure.value("detail", ordered_json("refused")))
                      << " (status " << status << ")\n";
    if (is_conflict && !given_.is_json_)
    {
        environment_.err_ << "Changed meanwhile:\n";
        print_changes(environment_.err_,
                      body.value("changes", ordered_json::array()));
        environment_.err_ << "Nothing was changed. Look at the newer "
                             "version and give the command again.\n";
    }
    return is_conflict ? exit_status::conflict : exit_status::failure;
}

} // namespace auburnlb::cli
