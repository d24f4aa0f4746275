// Writes to the log what changes among the endpoints.
#ifndef AUBURNLB_TRANSPORT_PEER_LOG_HPP
#define AUBURNLB_TRANSPORT_PEER_LOG_HPP

#include "auburnlb/coordination/peer_changes.hpp"

namespace auburnlb
{

/// Writes the endpoints that joined, leave or were replaced since the last
/// call, and remembers them.
void log_peer_changes(seen_peers& seen,
                      std::vector<endpoint_description> const& endpoints);

} // namespace auburnlb

#endif
