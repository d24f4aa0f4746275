// Commands that call the administration API.
#include "commands.hpp"

#include <algorithm>
#include <ostream>

#include <nlohmann/json.hpp>

#include "auburnlb/state/questionnaire.hpp"
#include "auburnlb/state/service_object.hpp"

#include "admin_session.hpp"
#include "tables.hpp"

namespace auburnlb::cli
{

namespace
{

using nlohmann::ordered_json;

constexpr char program_version[] = "0.1.0";

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
    return command(admin_session(given, environment, where.value()));
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
call_result read_or_new(admin_session const& api, std::string const& service)
{
    auto const answer = api.send("GET", "services/" + service);
    if (answer && answer.value().status_ == 404)
    {
        return {exit_status::ok, ordered_json{{"version", 0}}};
    }
    return api.evaluate(answer);
}

exit_status offer_answers(admin_session const& api, options const& given,
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

exit_status offer_amendments(admin_session const& api,
                             std::string const& service,
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

exit_status show_document(admin_session const& api,
                          command_environment const& to,
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
exit_status show_configurations(admin_session const& api,
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

exit_status show_earlier(admin_session const& api,
                         command_environment const& to, std::string const& path)
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

exit_status roll_back(admin_session const& api, std::string const& service,
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
        [&](admin_session const& api)
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
                        [&](admin_session const& api) {
                            return offer_amendments(api, given.operands_[1],
                                                    amendments.value());
                        });
}

exit_status show_status(options const& given,
                        command_environment const& environment)
{
    return with_session(
        given, environment,
        [&](admin_session const& api)
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
                        [&](admin_session const& api)
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
        [&](admin_session const& api)
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
                        [&](admin_session const& api)
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
