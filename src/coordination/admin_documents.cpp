// Rendering and reading of the administration API's bodies.
#include "admin_documents.hpp"

#include <utility>

#include "auburnlb/state/json_depth.hpp"

namespace auburnlb::admin
{

namespace
{

using nlohmann::json;
using nlohmann::ordered_json;

int status_of(error_code code)
{
    switch (code)
    {
    case error_code::invalid_input:
        return 400;
    case error_code::not_found:
        return 404;
    case error_code::conflict:
        return 409;
    case error_code::timeout:
    case error_code::response_lost:
        return 504;
    case error_code::unreachable:
    case error_code::refused:
        return 503;
    case error_code::internal:
        return 500;
    }
    return 500;
}

ordered_json value_of(std::optional<config_value> const& value)
{
    return value ? ordered_json::parse(to_string(*value)) : ordered_json();
}

error bad_field(std::string const& field, json const& body,
                std::string const& allowed)
{
    auto const found = body.find(field);
    return {error_code::invalid_input, "read request", "",
            "field " + field + " has the value " +
                (found == body.end() ? "(absent)" : found->dump()) +
                "; allowed is: " + allowed};
}

// Gives null if the body is no JSON object, or one that is nested too deep.
json parse_object(std::string const& text)
{
    if (is_nested_too_deep(text))
    {
        return {};
    }
    json body = json::parse(text, nullptr, false);
    return body.is_object() ? body : json();
}

error not_an_object()
{
    return {error_code::invalid_input, "read request", "",
            "the body is no JSON object, or is nested too deep"};
}

result<std::uint64_t> read_version(json const& body, char const* field)
{
    auto const found = body.find(field);
    if (found == body.end() || !found->is_number_unsigned())
    {
        return bad_field(field, body, "a version number");
    }
    return found->get<std::uint64_t>();
}

std::optional<error> read_amendments(json const& body, change_request& change)
{
    auto const found = body.find("amendments");
    if (found == body.end())
    {
        return std::nullopt;
    }
    if (!found->is_object())
    {
        return bad_field("amendments", body, "an object");
    }
    for (auto const& [field, value] : found->items())
    {
        if (value.is_null())
        {
            change.amendments_[field] = std::nullopt;
            continue;
        }
        auto parsed = parse_config_value(field, value.dump());
        if (!parsed)
        {
            return parsed.error();
        }
        change.amendments_[field] = std::move(parsed).value();
    }
    return std::nullopt;
}

std::optional<error> find_unknown_field(json const& body)
{
    for (auto const& [field, value] : body.items())
    {
        if (field != "expected_version" && field != "change_id" &&
            field != "comment" && field != "questionnaire" &&
            field != "amendments" && field != "to_version")
        {
            return error{error_code::invalid_input, "read request", "",
                         "field " + field + " with the value " + value.dump() +
                             " is unknown; allowed are: expected_version, "
                             "change_id, comment, questionnaire, amendments, "
                             "to_version"};
        }
    }
    return std::nullopt;
}

} // namespace

admin_response json_response(int status, ordered_json const& body)
{
    return {status,
            body.dump(2, ' ', false, ordered_json::error_handler_t::replace) +
                "\n"};
}

admin_response failure_response(error const& failure)
{
    ordered_json body;
    body["error"]["code"] = to_string(failure.code_);
    body["error"]["step"] = failure.step_;
    body["error"]["peer"] = failure.peer_;
    body["error"]["detail"] = failure.detail_;
    return json_response(status_of(failure.code_), body);
}

ordered_json describe_note(change_note const& note)
{
    ordered_json body;
    body["change_id"] = note.change_id_;
    body["author"] = note.author_;
    body["comment"] = note.comment_;
    return body;
}

ordered_json describe_changes(std::vector<field_change> const& changes)
{
    ordered_json list = ordered_json::array();
    for (field_change const& change : changes)
    {
        ordered_json entry;
        entry["field"] = change.field_;
        entry["before"] = value_of(change.before_);
        entry["after"] = value_of(change.after_);
        list.push_back(std::move(entry));
    }
    return list;
}

ordered_json summarise_service(current_service const& current)
{
    questionnaire const& answers = current.object_.answers_;
    ordered_json body;
    body["service"] = answers.service_;
    body["version"] = current.version_;
    body["kind"] = answers.kind_ == service_kind::model ? "model" : "plain";
    body["workspaces"] = answers.callers_.size();
    body["amendments"] = current.object_.amendments_.size();
    body["author"] = current.object_.note_.author_;
    body["comment"] = current.object_.note_.comment_;
    return body;
}

ordered_json describe_service(current_service const& current)
{
    ordered_json body;
    body["service"] = current.object_.answers_.service_;
    body["version"] = current.version_;
    body["note"] = describe_note(current.object_.note_);
    body["questionnaire"] =
        ordered_json::parse(render_questionnaire(current.object_.answers_));
    body["fields"] = ordered_json::object();
    for (auto const& [field, entry] : explain_fields(current.object_))
    {
        ordered_json& line = body["fields"][field];
        line["value"] = value_of(entry.value_);
        line["origin"] = entry.is_amended_ ? "amended" : "generated";
        line["reason"] = entry.reason_;
    }
    body["amendments"] = ordered_json::object();
    for (auto const& [field, value] : current.object_.amendments_)
    {
        body["amendments"][field] = value_of(value);
    }
    return body;
}

ordered_json describe_history(current_service const& current)
{
    ordered_json list = ordered_json::array();
    ordered_json newest = describe_note(current.object_.note_);
    newest["version"] = current.version_;
    list.push_back(std::move(newest));
    for (history_entry const& entry : current.object_.history_)
    {
        ordered_json line = describe_note(entry.note_);
        line["version"] = entry.version_;
        list.push_back(std::move(line));
    }
    ordered_json body;
    body["service"] = current.object_.answers_.service_;
    body["versions"] = std::move(list);
    return body;
}

admin_response conflict_response(std::uint64_t expected_version,
                                 current_service const& newer,
                                 std::vector<field_change> const& changes)
{
    change_note const& note = newer.object_.note_;
    ordered_json body;
    body["error"]["code"] = to_string(error_code::conflict);
    body["error"]["detail"] =
        "version " + std::to_string(newer.version_) + " by " + note.author_ +
        " is in force, not version " + std::to_string(expected_version);
    body["expected_version"] = expected_version;
    body["version"] = newer.version_;
    body["note"] = describe_note(note);
    body["changes"] = describe_changes(changes);
    return json_response(409, body);
}

result<change_request> parse_change(admin_request const& request)
{
    json const body = parse_object(request.body_);
    if (body.is_null())
    {
        return not_an_object();
    }
    if (auto failure = find_unknown_field(body))
    {
        return *failure;
    }
    auto const expected = read_version(body, "expected_version");
    if (!expected)
    {
        return expected.error();
    }
    json const change_id = body.value("change_id", json());
    json const comment = body.value("comment", json(""));
    if (!change_id.is_string() || change_id.empty())
    {
        return bad_field("change_id", body,
                         "a text that is unique for each change");
    }
    if (!comment.is_string())
    {
        return bad_field("comment", body, "a text");
    }
    change_request change;
    change.expected_version_ = expected.value();
    change.note_ = {change_id, request.author_, comment};
    if (body.contains("questionnaire"))
    {
        auto answers = parse_questionnaire("questionnaire",
                                           body.at("questionnaire").dump());
        if (!answers)
        {
            return answers.error();
        }
        change.answers_ = std::move(answers).value();
    }
    if (auto failure = read_amendments(body, change))
    {
        return *failure;
    }
    return change;
}

result<std::uint64_t> parse_rollback_target(std::string const& text)
{
    json const body = parse_object(text);
    if (body.is_null())
    {
        return not_an_object();
    }
    return read_version(body, "to_version");
}

} // namespace auburnlb::admin
