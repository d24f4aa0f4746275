// What endpoints say in their responses about their own availability.
#ifndef AUBURNLB_ROUTER_ENDPOINT_NOTICES_HPP
#define AUBURNLB_ROUTER_ENDPOINT_NOTICES_HPP

#include "auburnlb/coordination/endpoint_directory.hpp"
#include "auburnlb/router/platform_protocol.hpp"

namespace auburnlb
{

/// Applies the backoff that a response asks for, or that its endpoint is
/// leaving, and logs them.
void apply_notices(known_endpoint& endpoint, endpoint_response const& response,
                   time_point now);

} // namespace auburnlb

#endif
