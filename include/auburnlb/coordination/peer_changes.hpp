// Detection of endpoints that join, leave or are replaced, as reported to
// operators.
#ifndef AUBURNLB_COORDINATION_PEER_CHANGES_HPP
#define AUBURNLB_COORDINATION_PEER_CHANGES_HPP

#include <map>
#include <string>
#include <vector>

#include "auburnlb/state/fleet.hpp"

namespace auburnlb
{

/// How an endpoint differs from the last comparison.
enum class peer_change_kind
{
    /// The endpoint accepts work and did not before.
    joined,
    /// The endpoint no longer accepts new work.
    leaving,
    /// Another incarnation answers at the endpoint's address.
    replaced,
};

struct peer_change
{
    peer_change_kind kind_ = peer_change_kind::joined;
    std::string address_;
    std::string service_;

    bool operator==(peer_change const&) const = default;
};

/// Last known incarnation and state of an endpoint.
struct seen_peer
{
    incarnation_id incarnation_ = 0;
    host_state state_ = host_state::dead;
};

/// Endpoints of the last comparison, by address.
using seen_peers = std::map<std::string, seen_peer>;

/// Compares the endpoints with those seen before, and replaces these by them.
/// Does not report lost endpoints, because the peer table does.
std::vector<peer_change>
detect_peer_changes(seen_peers& seen,
                    std::vector<endpoint_description> const& endpoints);

} // namespace auburnlb

#endif
