// Logs changes of the set of endpoints.
#ifndef AUBURNLB_TRANSPORT_PEER_LOG_HPP
#define AUBURNLB_TRANSPORT_PEER_LOG_HPP

#include "auburnlb/coordination/peer_changes.hpp"

namespace auburnlb
{

/// Logs the endpoints that joined, started leaving or were replaced since the
/// last call, and updates seen.
void log_peer_changes(seen_peers& seen,
                      std::vector<endpoint_description> const& endpoints);

} // namespace auburnlb

#endif
