// The platform object of one service: questionnaire, generated values and
// amendments.
#ifndef AUBURNLB_STATE_SERVICE_OBJECT_HPP
#define AUBURNLB_STATE_SERVICE_OBJECT_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/state/config_fields.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/state/questionnaire.hpp"
#include "auburnlb/state/service_config.hpp"

namespace auburnlb
{

/// Maximum size of a value on the platform.
inline constexpr std::size_t max_object_bytes = 1U << 20U;
/// Maximum number of earlier versions that an object lists and that stay
/// readable.
inline constexpr std::size_t max_history_entries = 50;

/// Author and comment of a change.
struct change_note
{
    /// Unique for each change. After a lost response it shows whether the
    /// change was committed.
    std::string change_id_;
    std::string author_;
    std::string comment_;

    bool operator==(change_note const&) const = default;
};

/// One earlier version of a service's object.
struct history_entry
{
    std::uint64_t version_ = 0;
    change_note note_;

    bool operator==(history_entry const&) const = default;
};

/// The content of a service's object. The platform assigns its version.
struct service_object
{
    questionnaire answers_;
    /// Generated when the change was accepted, and stored so that a newer
    /// program that generates other values does not change the active
    /// configuration.
    generated_fields generated_;
    /// Values set by operators, which override the generated ones.
    config_fields amendments_;
    change_note note_;
    /// Newest first, at most max_history_entries.
    std::vector<history_entry> history_;

    bool operator==(service_object const&) const = default;
};

/// The effective value of a field and its origin.
struct effective_value
{
    config_value value_;
    bool is_amended_ = false;
    /// Reason for the generated value; empty if no value was generated.
    std::string reason_;

    bool operator==(effective_value const&) const = default;
};

/// Parses an object. The name is only used in errors.
result<service_object> parse_service_object(std::string const& name,
                                            std::string const& json);

std::string render_service_object(service_object const& object);

/// Returns the generated values, overridden by the amendments.
config_fields effective_fields(service_object const& object);

/// Returns the effective values with their origin.
std::map<std::string, effective_value>
explain_fields(service_object const& object);

/// Parses an object and returns the configuration that it defines.
result<service_config> config_from_object(std::string const& json,
                                          std::uint64_t version);

/// Validates an object before it is written to the platform: contradictory
/// answers, invalid amendments and size. Returns the first error.
std::optional<error> check_service_object(service_object const& object);

} // namespace auburnlb

#endif
