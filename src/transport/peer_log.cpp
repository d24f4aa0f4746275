// Log events for changes of the set of endpoints.
#include "auburnlb/transport/peer_log.hpp"

#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

log_event to_event(peer_change_kind kind)
{
    switch (kind)
    {
    case peer_change_kind::joined:
        return log_event::peer_joined;
    case peer_change_kind::leaving:
        return log_event::peer_leaving;
    case peer_change_kind::replaced:
        return log_event::peer_replaced;
    }
    return log_event::peer_joined;
}

} // namespace

void log_peer_changes(seen_peers& seen,
                      std::vector<endpoint_description> const& endpoints)
{
    for (peer_change const& change : detect_peer_changes(seen, endpoints))
    {
        log(log_level::info, to_event(change.kind_),
            {{"peer", change.address_}, {"service", change.service_}},
            "an endpoint changed");
    }
}

} // namespace auburnlb
