// Commands that call the administration API.
#include "commands.hpp"

#include <algorithm>
#include <ostream>

#include <nlohmann/json.hpp>

#include "auburnlb/state/questionnaire.hpp"
#include "auburnlb/state/service_object.hpp"

#include "tables.hpp"

namespace auburnlb::cli
{

namespace
{

using nlohmann::ordered_json;

constexpr char program_version[] = "0.1.0";
constexpr int max_attempts = 3;

// A response whose status is a success; everything else was printed.
struct call_result
{
    exit_status code_ = exit_status::failure;
    ordered_json body_;
};

bool is_uncertain(result<admin_response> const& answer)
{
    if (answer)
    {
        return answer.value().status_ == 504;
    }
    return answer.error().code_ == error_code::response_lost ||
           answer.error().code_ == error_code::timeout;
}

// One command's view of the API: who calls, and how results are printed.
class session
{
public:
    session(options const& given, command_environment const& environment,
            connection where)
        : given_(given)
        , environment_(environment)
        , where_(std::move(where))
    {
    }

    result<admin_response> send(std::string const& method,
                                std::string const& path,
                                std::string const& body = "") const
    {
        return environment_.call_(
            where_.base_url_,
            {method, "/admin/v1/" + path, body, where_.token_, where_.author_});
    }

    // A change carries its id, so that sending it again is safe.
    result<admin_response> send_change(std::string const& method,
                                       std::string const& path,
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

    call_result evaluate(result<admin_response> const& answer) const
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
            return {report(environment_, {error_code::internal, "read response",
                                          where_.base_url_,
                                          "status " + std::to_string(status) +
                                              " with a body that is no JSON"}),
                    {}};
        }
        if (status >= 200 && status < 300)
        {
            return {exit_status::ok, std::move(body)};
        }
        return {print_failure(status, body), std::move(body)};
    }

    // Prints the body as JSON if that is wanted, and says whether it did.
    bool print_json(ordered_json const& body) const
    {
        if (given_.is_json_)
        {
            environment_.out_ << body.dump(2) << '\n';
        }
        return given_.is_json_;
    }

    // Asks the operator, unless --yes was given.
    exit_status confirm(std::string const& question) const
    {
        if (given_.is_yes_)
        {
            return exit_status::ok;
        }
        if (!environment_.confirm_)
        {
            return report(environment_,
                          {error_code::invalid_input, "ask for confirmation",
                           "", "there is no terminal; give --yes"});
        }
        if (environment_.confirm_(question))
        {
            return exit_status::ok;
        }
        environment_.err_ << "Nothing was changed.\n";
        return exit_status::failure;
    }

    // The fields that every change has.
    ordered_json change_body(ordered_json const& version) const
    {
        ordered_json body;
        body["expected_version"] = given_.expected_version_
                                       ? ordered_json(*given_.expected_version_)
                                       : version;
        body["change_id"] = given_.change_id_ ? *given_.change_id_
                                              : environment_.new_change_id_();
        body["comment"] = given_.comment_.value_or("");
        return body;
    }

    // Sends a confirmed change and prints the version that it got.
    exit_status finish(std::string const& method, std::string const& path,
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
                              << cell_text(accepted.body_.at("version"))
                              << ".\n";
        }
        return exit_status::ok;
    }

    void print_diff(ordered_json const& changes) const
    {
        if (!given_.is_json_)
        {
            print_changes(environment_.out_, changes);
        }
    }

private:
    exit_status print_failure(int status, ordered_json const& body) const
    {
        bool const is_conflict = status == 409;
        if (given_.is_json_)
        {
            environment_.out_ << body.dump(2) << '\n';
        }
        ordered_json const failure =
            body.value("error", ordered_json::object());
        environment_.err_ << "auburnlb: "
                          << cell_text(failure.value("detail",
                                                     ordered_json("refused")))
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

    options const& given_;
    command_environment const& environment_;
    connection const where_;
};

template <class Command>
exit_status with_session(options const& given,
                         command_environment const& environment,
                         Command const& command)
{
    auto const where = find_connection(given, environment);
    if (!where)
    {
        return report(environment, where.error());
    }
    return command(session(given, environment, where.value()));
}

ordered_json describe_change(std::string const& field,
                             ordered_json const& before,
                             ordered_json const& after)
{
    return {{"field", field}, {"before", before}, {"after", after}};
}

// The values in force, by field, from the description of a service.
ordered_json values_of(ordered_json const& service)
{
    ordered_json values = ordered_json::object();
    // Named, because items() refers to it.
    ordered_json const fields = service.value("fields", ordered_json::object());
    for (auto const& [field, entry] : fields.items())
    {
        values[field] = entry.at("value");
    }
    return values;
}

// What the answers put in force, with the amendments that are kept.
ordered_json expected_values(questionnaire const& answers,
                             ordered_json const& current)
{
    ordered_json values = ordered_json::object();
    for (auto const& [field, generated] : generate_fields(answers))
    {
        values[field] = ordered_json::parse(to_string(generated.value_));
    }
    values.update(current.value("amendments", ordered_json::object()));
    ordered_json const before = values_of(current);
    if (before.contains("claim_shards"))
    {
        values["claim_shards"] = before["claim_shards"];
    }
    return values;
}

ordered_json compare_values(ordered_json const& before,
                            ordered_json const& after)
{
    ordered_json changes = ordered_json::array();
    for (auto const& [field, value] : before.items())
    {
        ordered_json const now = after.value(field, ordered_json());
        if (now != value)
        {
            changes.push_back(describe_change(field, value, now));
        }
    }
    for (auto const& [field, value] : after.items())
    {
        if (!before.contains(field))
        {
            changes.push_back(describe_change(field, ordered_json(), value));
        }
    }
    return changes;
}

// A new service is an empty description of version 0.
call_result read_or_new(session const& api, std::string const& service)
{
    auto const answer = api.send("GET", "services/" + service);
    if (answer && answer.value().status_ == 404)
    {
        return {exit_status::ok, ordered_json{{"version", 0}}};
    }
    return api.evaluate(answer);
}

exit_status offer_answers(session const& api, options const& given,
                          command_environment const& environment,
                          questionnaire const& answers)
{
    call_result const read = read_or_new(api, answers.service_);
    if (read.code_ != exit_status::ok)
    {
        return read.code_;
    }
    ordered_json const& current = read.body_;
    ordered_json const offered =
        ordered_json::parse(render_questionnaire(answers));
    ordered_json const changes =
        compare_values(values_of(current), expected_values(answers, current));
    bool const is_same =
        current.value("questionnaire", ordered_json()) == offered;
    if (changes.empty() && is_same && !given.change_id_)
    {
        environment.err_ << "The answers are in force already.\n";
        return exit_status::ok;
    }
    api.print_diff(changes);
    exit_status const code = api.confirm("Apply to " + answers.service_ + "?");
    if (code != exit_status::ok)
    {
        return code;
    }
    ordered_json body = api.change_body(current.at("version"));
    body["questionnaire"] = offered;
    return api.finish("PUT", "services/" + answers.service_, body);
}

// Reads "field=value". A value that is no JSON is taken as a text.
result<std::pair<std::string, ordered_json>>
parse_amendment(std::string const& operand)
{
    std::size_t const at = operand.rfind('=');
    if (at == std::string::npos || at == 0)
    {
        return error{error_code::invalid_input, "read command line", "",
                     "the amendment has the value " + operand +
                         "; allowed is: FIELD=VALUE"};
    }
    std::string const text = operand.substr(at + 1);
    ordered_json value = ordered_json::parse(text, nullptr, false);
    if (value.is_discarded())
    {
        value = text;
    }
    return std::pair(operand.substr(0, at), std::move(value));
}

result<ordered_json> parse_amendments(options const& given)
{
    ordered_json amendments = ordered_json::object();
    for (std::size_t index = 2; index < given.operands_.size(); ++index)
    {
        auto parsed = parse_amendment(given.operands_[index]);
        if (!parsed)
        {
            return parsed.error();
        }
        amendments[parsed.value().first] = std::move(parsed.value().second);
    }
    for (std::string const& field : given.withdrawn_)
    {
        amendments[field] = nullptr;
    }
    if (amendments.empty())
    {
        return error{error_code::invalid_input, "read command line", "",
                     "there is nothing to amend; give FIELD=VALUE or "
                     "--withdraw FIELD"};
    }
    return amendments;
}

exit_status offer_amendments(session const& api, std::string const& service,
                             ordered_json const& amendments)
{
    call_result const current =
        api.evaluate(api.send("GET", "services/" + service));
    if (current.code_ != exit_status::ok)
    {
        return current.code_;
    }
    ordered_json const before = values_of(current.body_);
    ordered_json changes = ordered_json::array();
    for (auto const& [field, value] : amendments.items())
    {
        changes.push_back(describe_change(
            field, before.value(field, ordered_json()),
            value.is_null() ? ordered_json("(generated)") : value));
    }
    api.print_diff(changes);
    exit_status const code = api.confirm("Amend " + service + "?");
    if (code != exit_status::ok)
    {
        return code;
    }
    ordered_json body = api.change_body(current.body_.at("version"));
    body["amendments"] = amendments;
    return api.finish("PATCH", "services/" + service, body);
}

exit_status show_document(session const& api, command_environment const& to,
                          std::string const& path)
{
    call_result const document = api.evaluate(api.send("GET", path));
    if (document.code_ == exit_status::ok && !api.print_json(document.body_))
    {
        print_document(to.out_, document.body_);
    }
    return document.code_;
}

// The configurations that the platform holds, beside those in force at a host.
exit_status show_configurations(session const& api,
                                command_environment const& to)
{
    call_result const listed = api.evaluate(api.send("GET", "services"));
    if (listed.code_ == exit_status::ok)
    {
        ordered_json document;
        document["accepted configurations"] = listed.body_.at("services");
        print_document(to.out_, document);
    }
    return listed.code_;
}

exit_status show_earlier(session const& api, command_environment const& to,
                         std::string const& path)
{
    call_result const earlier = api.evaluate(api.send("GET", path));
    if (earlier.code_ != exit_status::ok || api.print_json(earlier.body_))
    {
        return earlier.code_;
    }
    std::vector<table_row> rows;
    for (auto const& [field, entry] : earlier.body_.at("fields").items())
    {
        rows.push_back({field, short_cell_text(entry.at("value")),
                        cell_text(entry.at("origin")),
                        cell_text(entry.at("reason"))});
    }
    print_table(to.out_, {"FIELD", "VALUE", "ORIGIN", "REASON"}, rows);
    return exit_status::ok;
}

exit_status roll_back(session const& api, std::string const& service,
                      std::uint64_t target)
{
    std::string const path = "services/" + service;
    std::string const earlier_path =
        path + "/history/" + std::to_string(target);
    call_result const current = api.evaluate(api.send("GET", path));
    if (current.code_ != exit_status::ok)
    {
        return current.code_;
    }
    call_result const earlier = api.evaluate(api.send("GET", earlier_path));
    if (earlier.code_ != exit_status::ok)
    {
        return earlier.code_;
    }
    api.print_diff(
        compare_values(values_of(current.body_), values_of(earlier.body_)));
    exit_status const code =
        api.confirm("Bring version " + std::to_string(target) + " of " +
                    service + " back?");
    if (code != exit_status::ok)
    {
        return code;
    }
    ordered_json body = api.change_body(current.body_.at("version"));
    body["to_version"] = target;
    return api.finish("POST", path + "/rollback", body);
}

} // namespace

exit_status apply(options const& given, command_environment const& environment)
{
    auto const text = read_text(given.operands_[1]);
    if (!text)
    {
        return report(environment, text.error());
    }
    auto const answers = parse_questionnaire(given.operands_[1], text.value());
    if (!answers)
    {
        return report(environment, answers.error());
    }
    auto const faults = find_contradictions(answers.value());
    if (!faults.empty())
    {
        return report(environment, faults.front());
    }
    return with_session(
        given, environment,
        [&](session const& api)
        { return offer_answers(api, given, environment, answers.value()); });
}

exit_status amend(options const& given, command_environment const& environment)
{
    auto const amendments = parse_amendments(given);
    if (!amendments)
    {
        report(environment, amendments.error());
        return exit_status::usage;
    }
    return with_session(given, environment,
                        [&](session const& api) {
                            return offer_amendments(api, given.operands_[1],
                                                    amendments.value());
                        });
}

exit_status show_status(options const& given,
                        command_environment const& environment)
{
    return with_session(
        given, environment,
        [&](session const& api)
        {
            exit_status const code = show_document(api, environment, "status");
            bool const is_done = given.is_json_ || code != exit_status::ok;
            return is_done ? code : show_configurations(api, environment);
        });
}

exit_status drain(options const& given, command_environment const& environment)
{
    std::string const& endpoint = given.operands_[1];
    return with_session(given, environment,
                        [&](session const& api)
                        {
                            exit_status const code =
                                api.confirm("Drain " + endpoint + "?");
                            if (code != exit_status::ok)
                            {
                                return code;
                            }
                            call_result const drained = api.evaluate(api.send(
                                "POST", "endpoints/" + endpoint + "/drain"));
                            if (drained.code_ == exit_status::ok &&
                                !api.print_json(drained.body_))
                            {
                                print_document(environment.out_, drained.body_);
                            }
                            return drained.code_;
                        });
}

exit_status history(options const& given,
                    command_environment const& environment)
{
    std::string const& service = given.operands_[1];
    return with_session(
        given, environment,
        [&](session const& api)
        {
            if (given.rollback_version_)
            {
                return roll_back(api, service, *given.rollback_version_);
            }
            std::string const path = "services/" + service + "/history";
            if (given.show_version_)
            {
                return show_earlier(api, environment,
                                    path + "/" +
                                        std::to_string(*given.show_version_));
            }
            return show_document(api, environment, path);
        });
}

exit_status show_version(options const& given,
                         command_environment const& environment)
{
    bool const is_remote =
        given.admin_ || environment.variable_("AUBURNLB_ADMIN");
    if (!given.is_json_)
    {
        environment.out_ << "auburnlb " << program_version << '\n';
    }
    if (!is_remote)
    {
        if (given.is_json_)
        {
            environment.out_
                << ordered_json{{"auburnlb", program_version}}.dump(2) << '\n';
        }
        return exit_status::ok;
    }
    return with_session(given, environment,
                        [&](session const& api)
                        { return show_document(api, environment, "version"); });
}

exit_status report(command_environment const& environment, error const& failure)
{
    environment.err_ << "auburnlb: " << to_string(failure) << '\n';
    if (failure.step_ == "read command line")
    {
        return exit_status::usage;
    }
    return failure.code_ == error_code::conflict ? exit_status::conflict
                                                 : exit_status::failure;
}

} // namespace auburnlb::cli
