// Writing of JSON texts that may hold strings from other processes.
#ifndef AUBURNLB_STATE_JSON_TEXT_HPP
#define AUBURNLB_STATE_JSON_TEXT_HPP

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace auburnlb
{

/// Returns the JSON text. Bytes that are no UTF-8 are replaced: the library's
/// own default throws, which would end the process.
std::string dump_text(nlohmann::json const& value);
std::string dump_text(nlohmann::ordered_json const& value);

} // namespace auburnlb

#endif
