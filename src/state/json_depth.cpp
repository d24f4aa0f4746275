// Measures the nesting depth of a JSON text before it is parsed.
#include "auburnlb/state/json_depth.hpp"

#include <nlohmann/json.hpp>

namespace auburnlb
{

bool is_nested_too_deep(std::string_view json)
{
    std::size_t depth = 0;
    bool is_in_string = false;
    bool is_escaped = false;
    for (char const character : json)
    {
        if (is_in_string)
        {
            is_in_string = is_escaped || character != '"';
            is_escaped = !is_escaped && character == '\\';
            continue;
        }
        if (character == '"')
        {
            is_in_string = true;
        }
        else if (character == '[' || character == '{')
        {
            ++depth;
        }
        else if ((character == ']' || character == '}') && depth > 0)
        {
            --depth;
        }
        if (depth > max_json_depth)
        {
            return true;
        }
    }
    return false;
}

nlohmann::json parse_shallow_json(std::string_view text)
{
    return is_nested_too_deep(text)
               ? nlohmann::json(nlohmann::json::value_t::discarded)
               : nlohmann::json::parse(text, nullptr, false);
}

} // namespace auburnlb
