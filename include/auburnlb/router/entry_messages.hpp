// Decoding of endpoint entries in the messages between routers.
#ifndef AUBURNLB_ROUTER_ENTRY_MESSAGES_HPP
#define AUBURNLB_ROUTER_ENTRY_MESSAGES_HPP

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "auburnlb/coordination/versioned_entries.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Reads the changes of entries. A value that is no text becomes "null", which
/// names no endpoint to use.
/// @throws nlohmann::json::exception if the version cannot be read
entries_delta read_entries_delta(nlohmann::json const& value);

/// Reads how many routers send to each endpoint; counts that cannot be read are
/// left out.
std::map<std::string, std::uint32_t> read_senders(nlohmann::json const& value);

/// Reads a time in the near future or past, in ms, cut at an hour.
milliseconds read_short_time(nlohmann::json const& value);

} // namespace auburnlb

#endif
