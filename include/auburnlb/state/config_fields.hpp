// The amendable fields of a service's configuration, by name.
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

/// The value of one field. Durations are counts in the unit that the field's
/// name ends in.
using config_value = std::variant<bool, std::uint64_t, double, std::string>;

/// Values by field name, such as "max_tokens",
/// "workspaces.<workspace>.weight" or
/// "operations[POST /bookings].is_idempotent".
using config_fields = std::map<std::string, config_value>;

/// One field that differs. An absent value means that the field does not exist
/// on that side.
struct field_change
{
    std::string field_;
    std::optional<config_value> before_;
    std::optional<config_value> after_;

    bool operator==(field_change const&) const = default;
};

/// All fields of a configuration except name, kind and version.
config_fields fields_of(service_config const& config);

/// Sets one field. Gives an error that names the field, the value and what is
/// allowed if there is no such field, or its type or range does not fit.
std::optional<error> set_field(service_config& config, std::string const& field,
                               config_value const& value);

/// Sets all fields in one pass. Names that the configuration does not have are
/// passed over.
std::optional<error> set_known_fields(service_config& config,
                                      config_fields const& fields);

/// The fields in which two configurations differ, by name.
std::vector<field_change> compare_fields(config_fields const& before,
                                         config_fields const& after);

/// Whether operators may amend the field. Layers, claim shards and the keys of
/// workspaces follow from the answers alone.
bool is_amendable(std::string const& field);

/// The value as JSON.
std::string to_string(config_value const& value);

/// Reads a value from JSON; field is used in errors only.
result<config_value> parse_config_value(std::string const& field,
                                        std::string const& json);

} // namespace auburnlb

#endif
