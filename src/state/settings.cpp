// Parsing and validation of settings files, and the schema and documentation
// generated from the catalogue.
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
setting_description describe(setting<Value> const& declaration)
{
    return {std::string(declaration.section_),
            std::string(declaration.key_),
            type_name<Value>(),
            render(declaration.default_),
            render(declaration.min_),
            render(declaration.max_),
            {},
            std::string(declaration.description_)};
}

setting_description describe(setting<std::string> const& declaration)
{
    return {std::string(declaration.section_),
            std::string(declaration.key_),
            "string",
            ordered_json(declaration.default_).dump(),
            "",
            "",
            {declaration.choices_.begin(), declaration.choices_.end()},
            std::string(declaration.description_)};
}

setting_description describe(setting<bool> const& declaration)
{
    return {std::string(declaration.section_),
            std::string(declaration.key_),
            "boolean",
            declaration.default_ ? "true" : "false",
            "",
            "",
            {},
            std::string(declaration.description_)};
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
        describe(router_endpoint_heartbeat),
        describe(router_stop_limit),
        describe(router_share_capacity),
        describe(router_bound_prefill),
        describe(router_overload_control),
        describe(router_body_stall),
        describe(router_max_connections),
    };
}

std::string join_field_name(std::string_view section, std::string_view key)
{
    std::string name(section);
    name += '.';
    name += key;
    return name;
}

std::string join_list(std::vector<std::string> const& parts)
{
    std::string text;
    for (std::string const& part : parts)
    {
        text += (text.empty() ? "" : ", ") + part;
    }
    return text;
}

std::string allowed_values(setting_description const& entry)
{
    if (!entry.choices_.empty())
    {
        return "one of " + join_list(entry.choices_);
    }
    if (!entry.min_.empty())
    {
        return entry.type_ + " from " + entry.min_ + " to " + entry.max_;
    }
    return entry.type_ == "string" ? "any string" : "true or false";
}

setting_description const* find_description(std::string const& field)
{
    for (setting_description const& entry : describe_settings())
    {
        if (join_field_name(entry.section_, entry.key_) == field)
        {
            return &entry;
        }
    }
    return nullptr;
}

std::vector<std::string> section_names()
{
    std::vector<std::string> names;
    for (setting_description const& entry : describe_settings())
    {
        if (names.empty() || names.back() != entry.section_)
        {
            names.push_back(entry.section_);
        }
    }
    return names;
}

std::vector<std::string> keys_of_section(std::string const& section)
{
    std::vector<std::string> names;
    for (setting_description const& entry : describe_settings())
    {
        if (entry.section_ == section)
        {
            names.push_back(entry.key_);
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
                " is unknown; allowed are: " + join_list(known)};
}

// Returns an error for the first unknown section or key. It lists the known
// names, which the error of the schema validation does not.
std::optional<error> find_unknown_field(std::string const& file_name,
                                        ordered_json const& document)
{
    for (auto const& [section, content] : document.items())
    {
        std::vector<std::string> const known = keys_of_section(section);
        if (known.empty())
        {
            return unknown_field(file_name, section, content.dump(),
                                 section_names());
        }
        if (!content.is_object())
        {
            return invalid_field(file_name, section, content.dump(),
                                 "an object");
        }
        for (auto const& [key, value] : content.items())
        {
            std::string const field = join_field_name(section, key);
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
    setting_description const* entry = find_description(first.field_);
    return invalid_field(
        file_name, first.field_.empty() ? "(document)" : first.field_,
        first.value_,
        entry == nullptr ? first.reason_ : allowed_values(*entry));
}

ordered_json property_schema(setting_description const& entry)
{
    ordered_json property;
    property["description"] = entry.description_;
    property["type"] = entry.type_;
    property["default"] = ordered_json::parse(entry.default_);
    if (!entry.min_.empty())
    {
        property["minimum"] = ordered_json::parse(entry.min_);
        property["maximum"] = ordered_json::parse(entry.max_);
    }
    if (!entry.choices_.empty())
    {
        property["enum"] = entry.choices_;
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
                     reason ? "not valid JSON" : reason.error().detail_};
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
    for (setting_description const& entry : describe_settings())
    {
        ordered_json& section = schema["properties"][entry.section_];
        section["type"] = "object";
        section["additionalProperties"] = false;
        section["properties"][entry.key_] = property_schema(entry);
    }
    return schema.dump(2) + "\n";
}

std::string settings_reference()
{
    std::string text;
    std::string section;
    for (setting_description const& entry : describe_settings())
    {
        if (entry.section_ != section)
        {
            section = entry.section_;
            text += (text.empty() ? "### " : "\n### ") + section +
                    "\n\n| key | default | allowed | meaning |\n"
                    "|---|---|---|---|\n";
        }
        text += "| `" + entry.key_ + "` | `" + entry.default_ + "` | " +
                allowed_values(entry) + " | " + entry.description_ + " |\n";
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
    if (auto failure = find_unknown_field(file_name, document.value()))
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
                find_description(join_field_name(section, key))->type_;
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

std::optional<error>
settings::require(setting<std::string> const& declaration) const
{
    if (!get(declaration).empty())
    {
        return std::nullopt;
    }
    return invalid_field(file_name_,
                         std::string(declaration.section_) + "." +
                             std::string(declaration.key_),
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
