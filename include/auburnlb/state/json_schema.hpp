// Validation of JSON documents against JSON Schemas, using valijson.
#ifndef AUBURNLB_STATE_JSON_SCHEMA_HPP
#define AUBURNLB_STATE_JSON_SCHEMA_HPP

#include <string>
#include <vector>

#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// A violation of the schema in a document.
struct schema_violation
{
    /// Field path, such as "admin.port" or "callers[2].name"; empty for the
    /// document itself.
    std::string field_;
    /// The value of the field as JSON, truncated if long.
    std::string value_;
    /// Description of the violated constraint.
    std::string reason_;

    bool operator==(schema_violation const&) const = default;
};

/// Validates a document. Returns the violations, most deeply nested field
/// first, or error_code::invalid_input if a text is not valid JSON. The name is
/// only used in errors.
result<std::vector<schema_violation>>
check_against_schema(std::string const& schema, std::string const& name,
                     std::string const& document);

} // namespace auburnlb

#endif
