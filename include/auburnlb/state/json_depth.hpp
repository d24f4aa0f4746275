// A bound on the nesting of JSON texts from outside. Code that walks a parsed
// text recurses, so that a text of brackets alone could exhaust its stack.
#ifndef AUBURNLB_STATE_JSON_DEPTH_HPP
#define AUBURNLB_STATE_JSON_DEPTH_HPP

#include <cstddef>
#include <string_view>

namespace auburnlb
{

/// Far more than any document of this system needs.
inline constexpr std::size_t max_json_depth = 32;

/// Whether arrays and objects of the text are nested deeper than
/// max_json_depth. Brackets within strings do not count.
bool is_nested_too_deep(std::string_view json);

} // namespace auburnlb

#endif
