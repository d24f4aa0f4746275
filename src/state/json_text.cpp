// Writing of JSON texts that may hold strings from other processes.
#include "auburnlb/state/json_text.hpp"

#include <nlohmann/json.hpp>

namespace auburnlb
{

namespace
{

template <class Json>
std::string dump(Json const& value)
{
    constexpr int no_line_breaks = -1;
    constexpr bool is_ascii_only = false;
    return value.dump(no_line_breaks, ' ', is_ascii_only,
                      Json::error_handler_t::replace);
}

} // namespace

std::string dump_text(nlohmann::json const& value)
{
    return dump(value);
}

std::string dump_text(nlohmann::ordered_json const& value)
{
    return dump(value);
}

} // namespace auburnlb
