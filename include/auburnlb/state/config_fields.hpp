// Access to the fields of a service configuration by name.
#ifndef AUBURNLB_STATE_CONFIG_FIELDS_HPP
#define AUBURNLB_STATE_CONFIG_FIELDS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "auburnlb/state/error.hpp"
#include "auburnlb/state/service_config.hpp"

namespace auburnlb
{

/// The value of one field. A duration is a count in the unit that the field
/// name ends with.
using config_value = std::variant<bool, std::uint64_t, double, std::string>;

/// Values keyed by field name, such as "max_tokens",
/// "workspaces.<workspace>.weight" or
/// "operations[POST /bookings].is_idempotent".
using config_fields = std::map<std::string, config_value>;

/// A difference in one field. A value is absent if the field does not exist on
/// that side.
struct field_change
{
    std::string field_;
    std::optional<config_value> before_;
    std::optional<config_value> after_;

    bool operator==(field_change const&) const = default;
};

/// Returns all fields of a configuration except name, kind and version.
config_fields fields_of(service_config const& config);

/// Sets one field. Returns an error with the field, the value and the allowed
/// values if the field does not exist or the value has the wrong type or is out
/// of range.
std::optional<error> set_field(service_config& config, std::string const& field,
                               config_value const& value);

/// Sets several fields. Ignores names that the configuration does not have.
/// Returns the error of the first field whose value is not allowed.
std::optional<error> set_known_fields(service_config& config,
                                      config_fields const& fields);

/// Returns the fields in which two configurations differ.
std::vector<field_change> compare_fields(config_fields const& before,
                                         config_fields const& after);

/// Whether operators may amend the field. Layers, claim shards and the keys of
/// workspaces are determined by the questionnaire alone.
bool is_amendable(std::string const& field);

/// Renders the value as JSON.
std::string to_string(config_value const& value);

/// Parses a value from JSON. The field name is only used in errors.
result<config_value> parse_config_value(std::string const& field,
                                        std::string const& json);

} // namespace auburnlb

#endif
