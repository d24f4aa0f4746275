// Reading and checking of settings files, and the documents made from the
// catalogue.
#include "auburnlb/state/settings.hpp"

#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "auburnlb/state/json_depth.hpp"
#include "auburnlb/state/json_schema.hpp"

namespace auburnlb
{

namespace
{

using nlohmann::ordered_json;

template <class Value>
std::string type_name()
{
    return std::is_floating_point_v<Value> ? "number" : "integer";
}

template <class Value>
std::string render(Value value)
{
    if constexpr (std::is_arithmetic_v<Value>)
    {
        return ordered_json(value).dump();
    }
    else
    {
        return ordered_json(value.count()).dump();
    }
}

template <class Value>
setting_description describe(setting<Value> const& which)
{
    return {std::string(which.section_),
            std::string(which.key_),
            type_name<Value>(),
            render(which.default_),
            render(which.min_),
            render(which.max_),
            {},
            std::string(which.description_)};
}

setting_description describe(setting<std::string> const& which)
{
    return {std::string(which.section_),
            std::string(which.key_),
            "string",
            ordered_json(which.default_).dump(),
            "",
            "",
            {which.choices_.begin(), which.choices_.end()},
            std::string(which.description_)};
}

setting_description describe(setting<bool> const& which)
{
    return {std::string(which.section_),
            std::string(which.key_),
            "boolean",
            which.default_ ? "true" : "false",
            "",
            "",
            {},
            std::string(which.description_)};
}

std::vector<setting_description> describe_all()
{
    using namespace settings_catalogue;
    return {
        describe(node_name),
        describe(node_data_centre),
        describe(node_region),
        describe(peers_address),
        describe(peers_advertised_address),
        describe(callers_address),
        describe(callers_port),
        describe(callers_threads),
        describe(callers_max_body_bytes),
        describe(admin_enabled),
        describe(admin_address),
        describe(admin_port),
        describe(admin_token),
        describe(platform_url),
        describe(endpoint_url),
        describe(endpoint_kind),
        describe(endpoint_service),
        describe(endpoint_tokens_per_second),
        describe(endpoint_kv_tokens),
        describe(log_lowest_level),
        describe(log_line_format),
        describe(log_output),
        describe(timing_heartbeat),
        describe(timing_probe_timeout),
        describe(timing_stream_silence),
        describe(timing_drain_limit),
        describe(timing_hosts_poll),
        describe(timing_watch_wait),
        describe(timing_resume_grace),
        describe(router_callers),
        describe(router_ready),
        describe(router_control),
        describe(router_store),
        describe(router_seeds),
        describe(router_retry_ratio),
        describe(router_retry_slack),
        describe(router_retry_window),
        describe(router_store_silence),
        describe(router_stop_limit),
    };
}

std::string field_name(std::string_view section, std::string_view key)
{
    std::string name(section);
    name += '.';
    name += key;
    return name;
}

std::string join(std::vector<std::string> const& parts)
{
    std::string text;
    for (std::string const& part : parts)
    {
        text += (text.empty() ? "" : ", ") + part;
    }
    return text;
}

std::string allowed_values(setting_description const& which)
{
    if (!which.choices_.empty())
    {
        return "one of " + join(which.choices_);
    }
    if (!which.min_.empty())
    {
        return which.type_ + " from " + which.min_ + " to " + which.max_;
    }
    return which.type_ == "string" ? "any string" : "true or false";
}

setting_description const* find_description(std::string const& field)
{
    for (setting_description const& which : describe_settings())
    {
        if (field_name(which.section_, which.key_) == field)
        {
            return &which;
        }
    }
    return nullptr;
}

std::vector<std::string> sections()
{
    std::vector<std::string> names;
    for (setting_description const& which : describe_settings())
    {
        if (names.empty() || names.back() != which.section_)
        {
            names.push_back(which.section_);
        }
    }
    return names;
}

std::vector<std::string> keys_of(std::string const& section)
{
    std::vector<std::string> names;
    for (setting_description const& which : describe_settings())
    {
        if (which.section_ == section)
        {
            names.push_back(which.key_);
        }
    }
    return names;
}

error invalid_field(std::string const& file_name, std::string const& field,
                    std::string const& value, std::string const& allowed)
{
    return {error_code::invalid_input, "check settings", file_name,
            "field " + field + " has the value " + value +
                "; allowed is: " + allowed};
}

error unknown_field(std::string const& file_name, std::string const& field,
                    std::string const& value,
                    std::vector<std::string> const& known)
{
    return {error_code::invalid_input, "check settings", file_name,
            "field " + field + " with the value " + value +
                " is unknown; allowed are: " + join(known)};
}

// Finds an unknown section or key, for a more helpful error than the schema
// check gives.
std::optional<error> find_unknown(std::string const& file_name,
                                  ordered_json const& document)
{
    for (auto const& [section, content] : document.items())
    {
        std::vector<std::string> const known = keys_of(section);
        if (known.empty())
        {
            return unknown_field(file_name, section, content.dump(),
                                 sections());
        }
        if (!content.is_object())
        {
            return invalid_field(file_name, section, content.dump(),
                                 "an object");
        }
        for (auto const& [key, value] : content.items())
        {
            std::string const field = field_name(section, key);
            if (find_description(field) == nullptr)
            {
                return unknown_field(file_name, field, value.dump(), known);
            }
        }
    }
    return std::nullopt;
}

std::optional<error> find_violation(std::string const& file_name,
                                    std::string const& json)
{
    auto const violations =
        check_against_schema(settings_schema(), file_name, json);
    if (!violations)
    {
        return violations.error();
    }
    if (violations.value().empty())
    {
        return std::nullopt;
    }
    schema_violation const& first = violations.value().front();
    setting_description const* which = find_description(first.field_);
    return invalid_field(
        file_name, first.field_.empty() ? "(document)" : first.field_,
        first.value_,
        which == nullptr ? first.reason_ : allowed_values(*which));
}

ordered_json property_schema(setting_description const& which)
{
    ordered_json property;
    property["description"] = which.description_;
    property["type"] = which.type_;
    property["default"] = ordered_json::parse(which.default_);
    if (!which.min_.empty())
    {
        property["minimum"] = ordered_json::parse(which.min_);
        property["maximum"] = ordered_json::parse(which.max_);
    }
    if (!which.choices_.empty())
    {
        property["enum"] = which.choices_;
    }
    return property;
}

result<ordered_json> parse_object(std::string const& file_name,
                                  std::string const& json)
{
    ordered_json document = is_nested_too_deep(json)
                                ? ordered_json(ordered_json::value_t::discarded)
                                : ordered_json::parse(json, nullptr, false);
    if (document.is_discarded())
    {
        auto const reason = check_against_schema("{}", file_name, json);
        return error{error_code::invalid_input, "parse settings", file_name,
                     reason ? "no JSON" : reason.error().detail_};
    }
    if (!document.is_object())
    {
        return invalid_field(file_name, "(document)", document.dump(),
                             "an object");
    }
    return document;
}

} // namespace

std::vector<setting_description> const& describe_settings()
{
    static std::vector<setting_description> const all = describe_all();
    return all;
}

std::string settings_schema()
{
    ordered_json schema;
    schema["$schema"] = "http://json-schema.org/draft-07/schema#";
    schema["title"] = "Settings of auburnlb's daemons";
    schema["type"] = "object";
    schema["additionalProperties"] = false;
    for (setting_description const& which : describe_settings())
    {
        ordered_json& section = schema["properties"][which.section_];
        section["type"] = "object";
        section["additionalProperties"] = false;
        section["properties"][which.key_] = property_schema(which);
    }
    return schema.dump(2) + "\n";
}

std::string settings_reference()
{
    std::string text;
    std::string section;
    for (setting_description const& which : describe_settings())
    {
        if (which.section_ != section)
        {
            section = which.section_;
            text += (text.empty() ? "### " : "\n### ") + section +
                    "\n\n| key | default | allowed | meaning |\n"
                    "|---|---|---|---|\n";
        }
        text += "| `" + which.key_ + "` | `" + which.default_ + "` | " +
                allowed_values(which) + " | " + which.description_ + " |\n";
    }
    return text;
}

result<settings> settings::parse(std::string const& file_name,
                                 std::string const& json)
{
    auto const document = parse_object(file_name, json);
    if (!document)
    {
        return document.error();
    }
    if (auto failure = find_unknown(file_name, document.value()))
    {
        return *failure;
    }
    if (auto failure = find_violation(file_name, json))
    {
        return *failure;
    }
    settings parsed;
    parsed.file_name_ = file_name;
    for (auto const& [section, content] : document.value().items())
    {
        for (auto const& [key, value] : content.items())
        {
            std::string const& type =
                find_description(field_name(section, key))->type_;
            stored_value& stored = parsed.values_[{section, key}];
            if (type == "string")
            {
                stored = value.get<std::string>();
            }
            else if (type == "integer")
            {
                stored = value.get<std::uint64_t>();
            }
            else if (type == "number")
            {
                stored = value.get<double>();
            }
            else
            {
                stored = value.get<bool>();
            }
        }
    }
    using namespace settings_catalogue;
    if (parsed.get(admin_enabled) && parsed.get(admin_token).empty())
    {
        return invalid_field(file_name, "admin.token", "\"\"",
                             "a non-empty string while admin.enabled is true");
    }
    return parsed;
}

result<settings> settings::load(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
    {
        return error{error_code::not_found, "read settings", path,
                     "the file cannot be read"};
    }
    return parse(path, text.str());
}

std::optional<error> settings::require(setting<std::string> const& which) const
{
    if (!get(which).empty())
    {
        return std::nullopt;
    }
    return invalid_field(
        file_name_, std::string(which.section_) + "." + std::string(which.key_),
        "\"\"", "a non-empty string");
}

std::optional<error> settings::require_all(
    std::initializer_list<setting<std::string> const*> required) const
{
    for (setting<std::string> const* const each : required)
    {
        if (auto missing = require(*each))
        {
            return missing;
        }
    }
    return std::nullopt;
}

} // namespace auburnlb
