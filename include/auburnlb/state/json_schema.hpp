// Checks JSON documents against JSON Schemas, with valijson.
#ifndef AUBURNLB_STATE_JSON_SCHEMA_HPP
#define AUBURNLB_STATE_JSON_SCHEMA_HPP

#include <string>
#include <vector>

#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// One place at which a document breaks its schema.
struct schema_violation
{
    /// Field path, such as "admin.port" or "callers[2].name"; empty for the
    /// document itself.
    std::string field_;
    /// The value found there, as JSON, shortened when long.
    std::string value_;
    /// What the schema's constraint says.
    std::string reason_;

    bool operator==(schema_violation const&) const = default;
};

/// Checks a document. Gives the violations, most specific first, or
/// error_code::invalid_input when a text is no JSON; name_ is used in errors.
result<std::vector<schema_violation>>
check_against_schema(std::string const& schema, std::string const& name,
                     std::string const& document);

} // namespace auburnlb

#endif
