// Loads and demands in the messages between routers.
#ifndef AUBURNLB_ROUTER_LOAD_MESSAGES_HPP
#define AUBURNLB_ROUTER_LOAD_MESSAGES_HPP

#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "auburnlb/coordination/endpoint_directory.hpp"

namespace auburnlb
{

/// Writes the loads by endpoint; endpoints without requests are left out.
nlohmann::json write_loads(std::map<std::string, endpoint_load> const& loads);

/// Reads the loads of a message; those that are no amounts are left out.
std::map<std::string, endpoint_load> read_loads(nlohmann::json const& state);

/// Writes the tokens a second by service; services without are left out.
nlohmann::json write_demands(std::map<std::string, double> const& demands);

/// Reads the demands of a message; values that are no amounts are left out.
std::map<std::string, double> read_demands(nlohmann::json const& state);

} // namespace auburnlb

#endif
