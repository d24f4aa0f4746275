// Limit on the nesting depth of untrusted JSON. Code that traverses a parsed
// document is recursive, and a text of nothing but brackets could overflow its
// stack.
#ifndef AUBURNLB_STATE_JSON_DEPTH_HPP
#define AUBURNLB_STATE_JSON_DEPTH_HPP

#include <cstddef>
#include <string_view>

namespace auburnlb
{

/// Far deeper than any document of this system.
inline constexpr std::size_t max_json_depth = 32;

/// Whether arrays and objects are nested deeper than max_json_depth. Ignores
/// brackets inside strings.
bool is_nested_too_deep(std::string_view json);

} // namespace auburnlb

#endif
