// The platform object of one service: answers, generated values, amendments.
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

/// Largest value that the platform holds, in bytes.
inline constexpr std::size_t max_object_bytes = 1U << 20U;
/// Earlier versions that an object names and that stay readable.
inline constexpr std::size_t max_history_entries = 50;

/// Who changed an object, and why.
struct change_note
{
    /// Unique for each change; by it an answer that was lost is settled.
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

/// The content of a service's object. Its version is the platform's.
struct service_object
{
    questionnaire answers_;
    /// As generated when the change was accepted; a newer program does not
    /// change what is in force by generating differently.
    generated_fields generated_;
    /// What operators set over the generated values.
    config_fields amendments_;
    change_note note_;
    /// Newest first, at most max_history_entries.
    std::vector<history_entry> history_;

    bool operator==(service_object const&) const = default;
};

/// Where the value of a field comes from.
struct effective_value
{
    config_value value_;
    bool is_amended_ = false;
    /// The reason of a generated value.
    std::string reason_;

    bool operator==(effective_value const&) const = default;
};

result<service_object> parse_service_object(std::string const& name,
                                            std::string const& json);

std::string render_service_object(service_object const& object);

/// Generated values with the amendments over them.
config_fields effective_fields(service_object const& object);

/// The same with the origin of each value.
std::map<std::string, effective_value>
explain_fields(service_object const& object);

/// The configuration that the object puts in force.
result<service_config> config_from_object(std::string const& json,
                                          std::uint64_t version);

/// Checks an object before it is offered to the platform: contradictions,
/// amendments that fit no field, size. Gives the first error.
std::optional<error> check_service_object(service_object const& object);

} // namespace auburnlb

#endif
