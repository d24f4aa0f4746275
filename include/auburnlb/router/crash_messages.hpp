// Crash causes in the JSON messages between routers. Times are sent as
// ages, because the routers' clocks differ.
#ifndef AUBURNLB_ROUTER_CRASH_MESSAGES_HPP
#define AUBURNLB_ROUTER_CRASH_MESSAGES_HPP

#include <nlohmann/json_fwd.hpp>

#include "auburnlb/coordination/crash_causes.hpp"

namespace auburnlb
{

nlohmann::json write_crash_causes(crash_causes_update const& update,
                                  time_point now);

/// Throws nlohmann::json::exception if the value is not of a router.
crash_causes_update read_crash_causes(nlohmann::json const& value,
                                      time_point now);

} // namespace auburnlb

#endif
