// What an operator is told of the endpoints: which joined, which leave and
// which were replaced.
#ifndef AUBURNLB_COORDINATION_PEER_CHANGES_HPP
#define AUBURNLB_COORDINATION_PEER_CHANGES_HPP

#include <map>
#include <string>
#include <vector>

#include "auburnlb/state/fleet.hpp"

namespace auburnlb
{

/// How an endpoint differs from what was known of it.
enum class peer_change_kind
{
    /// It takes work and did not before.
    joined,
    /// It takes no new work any more.
    leaving,
    /// Another incarnation answers at its address.
    replaced,
};

struct peer_change
{
    peer_change_kind kind_ = peer_change_kind::joined;
    std::string address_;
    std::string service_;

    bool operator==(peer_change const&) const = default;
};

/// What was last known of an endpoint.
struct seen_peer
{
    incarnation_id incarnation_ = 0;
    host_state state_ = host_state::dead;
};

/// By address. Invariant: holds exactly the endpoints of the last comparison.
using seen_peers = std::map<std::string, seen_peer>;

/// Compares the endpoints with those seen before and remembers them. The loss
/// of a peer is no change here, because the peer table reports it itself.
std::vector<peer_change>
detect_peer_changes(seen_peers& seen,
                    std::vector<endpoint_description> const& endpoints);

} // namespace auburnlb

#endif
