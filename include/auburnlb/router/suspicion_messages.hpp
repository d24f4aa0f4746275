// Prompt suspicion in the JSON messages between routers. Times are sent as
// ages, because the routers' clocks differ.
#ifndef AUBURNLB_ROUTER_SUSPICION_MESSAGES_HPP
#define AUBURNLB_ROUTER_SUSPICION_MESSAGES_HPP

#include <nlohmann/json_fwd.hpp>

#include "auburnlb/coordination/prompt_suspicion.hpp"

namespace auburnlb
{

nlohmann::json write_prompt_suspicion(prompt_suspicion_update const& update,
                                      time_point now);

/// Throws nlohmann::json::exception if the value is not of a router.
prompt_suspicion_update read_prompt_suspicion(nlohmann::json const& value,
                                              time_point now);

} // namespace auburnlb

#endif
