// The list of configuration fields, read and written through visitors.
#include "auburnlb/state/config_fields.hpp"

#include <chrono>
#include <limits>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

namespace auburnlb
{

namespace
{

template <class Value>
constexpr bool is_duration = false;
template <class Rep, class Period>
constexpr bool is_duration<std::chrono::duration<Rep, Period>> = true;

struct range
{
    double min_;
    double max_;
};

constexpr range ratio_range{0, 1};
constexpr range unused_range{0, 1};
constexpr range duration_ms_range{1, 86'400'000};
constexpr range lifetime_s_range{1, 2'592'000};
constexpr range token_rate_range{0, 1e12};
constexpr range count_range{0, 4'294'967'295};
constexpr range positive_count_range{1, 4'294'967'295};
constexpr range shard_count_range{1, 65'536};
constexpr range body_bytes_range{1'024, 1'073'741'824};

// The only list of these fields; reading and writing both use it. Config is
// service_config or const service_config.
template <class Config, class Visitor>
void visit_service_fields(Config& config, Visitor&& visit)
{
    visit("layers", config.layers_, count_range);
    visit("default_deadline_ms", config.default_deadline_, duration_ms_range);
    visit("first_token_target_ms", config.first_token_target_,
          duration_ms_range);
    visit("token_interval_target_ms", config.token_interval_target_,
          duration_ms_range);
    visit("key_lifetime_s", config.key_lifetime_, lifetime_s_range);
    visit("claim_shards", config.claim_shards_, shard_count_range);
    visit("max_body_bytes", config.max_body_bytes_, body_bytes_range);
    visit("max_tokens", config.max_tokens_, positive_count_range);
    visit("retry_ratio", config.retry_ratio_, ratio_range);
    visit("endpoints_check_fencing", config.endpoints_check_fencing_,
          unused_range);
}

template <class Config, class Visitor>
void visit_fields(Config& config, Visitor&& visit)
{
    visit_service_fields(config, visit);
    for (auto& workspace : config.workspaces_)
    {
        std::string const prefix = "workspaces." + workspace.name_ + ".";
        visit(prefix + "key_sha256", workspace.key_sha256_, unused_range);
        visit(prefix + "weight", workspace.weight_, positive_count_range);
        visit(prefix + "tokens_per_second", workspace.tokens_per_second_,
              token_rate_range);
        visit(prefix + "max_in_flight", workspace.max_in_flight_, count_range);
    }
    for (auto& rule : config.operations_)
    {
        std::string const prefix =
            "operations[" + rule.method_ + " " + rule.path_prefix_ + "].";
        visit(prefix + "is_idempotent", rule.is_idempotent_, unused_range);
        visit(prefix + "is_key_required", rule.is_key_required_, unused_range);
    }
}

template <class Value>
config_value read_value(Value const& value)
{
    if constexpr (is_duration<Value>)
    {
        return static_cast<std::uint64_t>(value.count());
    }
    else if constexpr (std::is_same_v<Value, std::uint32_t>)
    {
        return std::uint64_t{value};
    }
    else
    {
        return value;
    }
}

std::string render_number(double value)
{
    return nlohmann::json(static_cast<std::uint64_t>(value)).dump();
}

template <class Value>
std::string describe_allowed(range allowed)
{
    if constexpr (std::is_same_v<Value, bool>)
    {
        return "true or false";
    }
    else if constexpr (std::is_same_v<Value, std::string>)
    {
        return "a string";
    }
    else
    {
        return (std::is_same_v<Value, double> ? "a number from "
                                              : "an integer from ") +
               render_number(allowed.min_) + " to " +
               render_number(allowed.max_);
    }
}

std::optional<double> to_number(config_value const& value)
{
    if (auto const* count = std::get_if<std::uint64_t>(&value))
    {
        return static_cast<double>(*count);
    }
    if (auto const* number = std::get_if<double>(&value))
    {
        return *number;
    }
    return std::nullopt;
}

// Returns false if the value has the wrong type or is out of range.
template <class Value>
bool write_value(Value& target, range allowed, config_value const& value)
{
    if constexpr (std::is_same_v<Value, bool> ||
                  std::is_same_v<Value, std::string>)
    {
        auto const* typed_value = std::get_if<Value>(&value);
        if (typed_value != nullptr)
        {
            target = *typed_value;
        }
        return typed_value != nullptr;
    }
    else
    {
        auto const number = to_number(value);
        bool const is_fraction = std::holds_alternative<double>(value) &&
                                 !std::is_same_v<Value, double>;
        // The negated comparison also rejects NaN.
        if (!number || is_fraction ||
            !(*number >= allowed.min_ && *number <= allowed.max_))
        {
            return false;
        }
        if constexpr (std::is_same_v<Value, double>)
        {
            target = *number;
        }
        else
        {
            target = Value(std::get<std::uint64_t>(value));
        }
        return true;
    }
}

error invalid_field(std::string const& field, config_value const& value,
                    std::string const& allowed)
{
    return {error_code::invalid_input, "set configuration field", "",
            "field " + field + " has the value " + to_string(value) +
                "; allowed is: " + allowed};
}

bool ends_with(std::string const& text, std::string const& end)
{
    return text.size() >= end.size() &&
           text.compare(text.size() - end.size(), end.size(), end) == 0;
}

} // namespace

config_fields fields_of(service_config const& config)
{
    config_fields fields;
    visit_fields(config, [&](std::string const& name, auto const& value, range)
                 { fields[name] = read_value(value); });
    return fields;
}

std::optional<error> set_known_fields(service_config& config,
                                      config_fields const& fields)
{
    std::optional<error> failure;
    visit_fields(
        config,
        [&](std::string const& name, auto& target, range allowed)
        {
            auto const found = fields.find(name);
            if (failure || found == fields.end())
            {
                return;
            }
            using target_type = std::remove_reference_t<decltype(target)>;
            if (!write_value(target, allowed, found->second))
            {
                failure = invalid_field(name, found->second,
                                        describe_allowed<target_type>(allowed));
            }
        });
    return failure;
}

std::optional<error> set_field(service_config& config, std::string const& field,
                               config_value const& value)
{
    config_fields const known = fields_of(config);
    if (known.contains(field))
    {
        return set_known_fields(config, {{field, value}});
    }
    std::string names;
    for (auto const& [name, current] : known)
    {
        names += (names.empty() ? "" : ", ") + name;
    }
    return error{error_code::invalid_input, "set configuration field", "",
                 "field " + field + " with the value " + to_string(value) +
                     " is unknown; allowed are: " + names};
}

std::vector<field_change> compare_fields(config_fields const& before,
                                         config_fields const& after)
{
    std::vector<field_change> changes;
    for (auto const& [field, value] : before)
    {
        auto const found = after.find(field);
        if (found == after.end())
        {
            changes.push_back({field, value, std::nullopt});
        }
        else if (found->second != value)
        {
            changes.push_back({field, value, found->second});
        }
    }
    for (auto const& [field, value] : after)
    {
        if (!before.contains(field))
        {
            changes.push_back({field, std::nullopt, value});
        }
    }
    return changes;
}

bool is_amendable(std::string const& field)
{
    return field != "layers" && field != "claim_shards" &&
           !ends_with(field, ".key_sha256");
}

std::string to_string(config_value const& value)
{
    return std::visit([](auto const& content)
                      { return nlohmann::json(content).dump(); },
                      value);
}

result<config_value> parse_config_value(std::string const& field,
                                        std::string const& text)
{
    nlohmann::json const value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_boolean())
    {
        return config_value(value.get<bool>());
    }
    if (value.is_number_unsigned())
    {
        return config_value(value.get<std::uint64_t>());
    }
    if (value.is_number())
    {
        return config_value(value.get<double>());
    }
    if (value.is_string())
    {
        return config_value(value.get<std::string>());
    }
    return error{error_code::invalid_input, "read configuration value", "",
                 "field " + field + " has the value " + text +
                     "; allowed is: a JSON boolean, number or string"};
}

} // namespace auburnlb
