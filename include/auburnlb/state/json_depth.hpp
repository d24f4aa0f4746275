// Limit on the nesting depth of untrusted JSON. Code that traverses a parsed
// document is recursive, and a text of nothing but brackets could overflow its
// stack.
#ifndef AUBURNLB_STATE_JSON_DEPTH_HPP
#define AUBURNLB_STATE_JSON_DEPTH_HPP

#include <cstddef>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace auburnlb
{

/// Far deeper than any document of this system.
inline constexpr std::size_t max_json_depth = 32;

/// Whether arrays and objects are nested deeper than max_json_depth. Ignores
/// brackets inside strings.
bool is_nested_too_deep(std::string_view json);

/// Parses a text from another process. Returns a discarded value if it is not
/// JSON, or nested too deep to be rendered or read again.
nlohmann::json parse_shallow_json(std::string_view text);

} // namespace auburnlb

#endif
