// Parsing, rendering and validation of service objects.
#include "auburnlb/state/service_object.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "auburnlb/state/json_depth.hpp"

namespace auburnlb
{

namespace
{

using nlohmann::json;
using nlohmann::ordered_json;

json value_to_json(config_value const& value)
{
    return std::visit([](auto const& content) { return json(content); }, value);
}

// Throws json::exception if the value is no boolean, number or string.
config_value value_from_json(json const& value)
{
    if (value.is_boolean())
    {
        return value.get<bool>();
    }
    if (value.is_number_unsigned())
    {
        return value.get<std::uint64_t>();
    }
    if (value.is_number())
    {
        return value.get<double>();
    }
    return value.get<std::string>();
}

change_note note_from_json(json const& value)
{
    return {value.at("change_id"), value.at("author"), value.at("comment")};
}

ordered_json note_to_json(change_note const& note)
{
    ordered_json value;
    value["change_id"] = note.change_id_;
    value["author"] = note.author_;
    value["comment"] = note.comment_;
    return value;
}

service_object object_from_json(json const& value, questionnaire answers)
{
    service_object object;
    object.answers_ = std::move(answers);
    for (auto const& [field, entry] : value.at("generated").items())
    {
        object.generated_[field] = {value_from_json(entry.at("value")),
                                    entry.at("reason")};
    }
    for (auto const& [field, entry] : value.at("amendments").items())
    {
        object.amendments_[field] = value_from_json(entry);
    }
    object.note_ = note_from_json(value);
    for (auto const& entry : value.at("history"))
    {
        object.history_.push_back({entry.at("version"), note_from_json(entry)});
    }
    return object;
}

} // namespace

result<service_object> parse_service_object(std::string const& name,
                                            std::string const& text)
{
    if (is_nested_too_deep(text))
    {
        return error{error_code::invalid_input, "parse service object", name,
                     "the text is nested too deeply"};
    }
    try
    {
        json const value = json::parse(text);
        auto answers =
            parse_questionnaire(name, value.at("questionnaire").dump());
        if (!answers)
        {
            return answers.error();
        }
        return object_from_json(value, std::move(answers).value());
    }
    catch (json::exception const& failure)
    {
        return error{error_code::invalid_input, "parse service object", name,
                     failure.what()};
    }
}

std::string render_service_object(service_object const& object)
{
    ordered_json value = note_to_json(object.note_);
    value["questionnaire"] =
        ordered_json::parse(render_questionnaire(object.answers_));
    value["generated"] = ordered_json::object();
    for (auto const& [field, generated] : object.generated_)
    {
        ordered_json& entry = value["generated"][field];
        entry["value"] = value_to_json(generated.value_);
        entry["reason"] = generated.reason_;
    }
    value["amendments"] = ordered_json::object();
    for (auto const& [field, amended] : object.amendments_)
    {
        value["amendments"][field] = value_to_json(amended);
    }
    value["history"] = ordered_json::array();
    for (history_entry const& entry : object.history_)
    {
        ordered_json earlier = note_to_json(entry.note_);
        earlier["version"] = entry.version_;
        value["history"].push_back(std::move(earlier));
    }
    // The author's name may come from an HTTP header in any encoding.
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

config_fields effective_fields(service_object const& object)
{
    config_fields fields = object.amendments_;
    for (auto const& [field, generated] : object.generated_)
    {
        fields.emplace(field, generated.value_);
    }
    return fields;
}

std::map<std::string, effective_value>
explain_fields(service_object const& object)
{
    std::map<std::string, effective_value> fields;
    for (auto const& [field, generated] : object.generated_)
    {
        fields[field] = {generated.value_, false, generated.reason_};
    }
    for (auto const& [field, value] : object.amendments_)
    {
        effective_value& entry = fields[field];
        entry.value_ = value;
        entry.is_amended_ = true;
    }
    return fields;
}

result<service_config> config_from_object(std::string const& text,
                                          std::uint64_t version)
{
    auto const object = parse_service_object("service object", text);
    if (!object)
    {
        return object.error();
    }
    auto config =
        build_config(object.value().answers_, effective_fields(object.value()));
    if (config)
    {
        config.value().version_ = version;
    }
    return config;
}

std::optional<error> check_service_object(service_object const& object)
{
    auto contradictions = find_contradictions(object.answers_);
    if (!contradictions.empty())
    {
        return std::move(contradictions.front());
    }
    auto config = build_config(object.answers_, effective_fields(object));
    if (!config)
    {
        return config.error();
    }
    for (auto const& [field, value] : object.amendments_)
    {
        if (!is_amendable(field))
        {
            return error{error_code::invalid_input, "check amendments", "",
                         "field " + field + " has the value " +
                             to_string(value) +
                             "; it cannot be amended, because it is determined "
                             "by the questionnaire alone"};
        }
        if (auto failure = set_field(config.value(), field, value))
        {
            return failure;
        }
    }
    std::size_t const size = render_service_object(object).size();
    if (size > max_object_bytes)
    {
        return error{error_code::invalid_input, "check service object", "",
                     "the object has " + std::to_string(size) +
                         " bytes; the maximum is " +
                         std::to_string(max_object_bytes)};
    }
    return std::nullopt;
}

} // namespace auburnlb
