// Commands that work on files alone.
#include "commands.hpp"

#include <ostream>

#include <nlohmann/json.hpp>

#include "auburnlb/state/questionnaire.hpp"
#include "auburnlb/state/service_object.hpp"
#include "auburnlb/state/settings.hpp"

#include "tables.hpp"

namespace auburnlb::cli
{

namespace
{

using nlohmann::ordered_json;

// A questionnaire to fill in: valid but for the key, which nobody has yet.
questionnaire sample_questionnaire(service_kind kind)
{
    questionnaire answers;
    answers.service_ = "my-service";
    answers.kind_ = kind;
    answers.data_centres_ = {"my data centre"};
    answers.endpoint_count_ = 3;
    answers.callers_ = {
        {"my-workspace", std::string(64, '0'), workspace_size::small}};
    answers.requests_.peak_requests_per_second_ = 1;
    answers.requests_.deadline_ms_ = 60'000;
    answers.key_lifetime_s_ = 3'600;
    if (kind == service_kind::model)
    {
        answers.model_layers_ = 32;
        answers.requests_.prompt_tokens_ = 500;
        answers.requests_.answer_tokens_ = 200;
        answers.requests_.first_token_ms_ = 940;
        answers.requests_.token_interval_ms_ = 44;
        return answers;
    }
    answers.operations_ = {{"GET", "/", true, false},
                           {"POST", "/", false, true}};
    return answers;
}

result<questionnaire> read_questionnaire(std::string const& path)
{
    auto const text = read_text(path);
    if (!text)
    {
        return text.error();
    }
    return parse_questionnaire(path, text.value());
}

ordered_json describe_generated(questionnaire const& answers)
{
    ordered_json body;
    body["service"] = answers.service_;
    body["fields"] = ordered_json::object();
    for (auto const& [field, generated] : generate_fields(answers))
    {
        ordered_json& entry = body["fields"][field];
        entry["value"] = ordered_json::parse(to_string(generated.value_));
        entry["reason"] = generated.reason_;
    }
    return body;
}

// Counts the faults of one file and prints each.
std::size_t check_file(std::string const& path,
                       command_environment const& environment)
{
    auto const answers = read_questionnaire(path);
    if (!answers)
    {
        environment.err_ << to_string(answers.error()) << '\n';
        return 1;
    }
    std::vector<error> faults = find_contradictions(answers.value());
    for (error& fault : faults)
    {
        fault.peer_ = path;
        environment.err_ << to_string(fault) << '\n';
    }
    return faults.size();
}

} // namespace

exit_status print_questionnaire(options const& given,
                                command_environment const& environment)
{
    std::string const kind = given.kind_.value_or("model");
    if (kind != "model" && kind != "plain")
    {
        return report(environment,
                      {error_code::invalid_input, "read command line", "",
                       "the option --kind has the value " + kind +
                           "; allowed are: model, plain"});
    }
    environment.out_ << render_questionnaire(sample_questionnaire(
        kind == "model" ? service_kind::model : service_kind::plain));
    return exit_status::ok;
}

exit_status generate(options const& given,
                     command_environment const& environment)
{
    auto const answers = read_questionnaire(given.operands_[1]);
    if (!answers)
    {
        return report(environment, answers.error());
    }
    if (check_file(given.operands_[1], environment) != 0)
    {
        return exit_status::failure;
    }
    ordered_json const body = describe_generated(answers.value());
    if (given.is_json_)
    {
        environment.out_ << body.dump(2) << '\n';
        return exit_status::ok;
    }
    std::vector<table_row> rows;
    for (auto const& [field, entry] : body.at("fields").items())
    {
        rows.push_back({field, short_cell_text(entry.at("value")),
                        cell_text(entry.at("reason"))});
    }
    print_table(environment.out_, {"FIELD", "VALUE", "REASON"}, rows);
    return exit_status::ok;
}

exit_status check(options const& given, command_environment const& environment)
{
    std::size_t faults = 0;
    for (std::size_t index = 1; index < given.operands_.size(); ++index)
    {
        std::string const& path = given.operands_[index];
        std::size_t const found = check_file(path, environment);
        environment.out_ << path << ": "
                         << (found == 0 ? "consistent"
                                        : std::to_string(found) + " fault(s)")
                         << '\n';
        faults += found;
    }
    return faults == 0 ? exit_status::ok : exit_status::failure;
}

exit_status print_schema(options const& given,
                         command_environment const& environment)
{
    std::string const& which = given.operands_[1];
    if (which == "settings")
    {
        environment.out_ << settings_schema();
        return exit_status::ok;
    }
    if (which == "settings-tables")
    {
        environment.out_ << settings_reference();
        return exit_status::ok;
    }
    if (which == "questionnaire")
    {
        environment.out_ << questionnaire_schema();
        return exit_status::ok;
    }
    return report(environment,
                  {error_code::invalid_input, "read command line", "",
                   "the schema has the name " + which +
                       "; allowed are: settings, settings-tables, "
                       "questionnaire"});
}

} // namespace auburnlb::cli
