// Comparison of the endpoints with those seen before.
#include "auburnlb/coordination/peer_changes.hpp"

#include <optional>

namespace auburnlb
{

namespace
{

/// A replacement is named once, also when the new process takes work at once.
std::optional<peer_change_kind> find_change(seen_peer const* before,
                                            endpoint_description const& now)
{
    if (before != nullptr && before->incarnation_ != now.incarnation_)
    {
        return peer_change_kind::replaced;
    }
    host_state const state =
        before == nullptr ? host_state::dead : before->state_;
    if (state == now.state_ || now.state_ == host_state::dead)
    {
        return std::nullopt;
    }
    return now.state_ == host_state::live ? peer_change_kind::joined
                                          : peer_change_kind::leaving;
}

} // namespace

std::vector<peer_change>
detect_peer_changes(seen_peers& seen,
                    std::vector<endpoint_description> const& endpoints)
{
    std::vector<peer_change> changes;
    seen_peers fresh;
    for (endpoint_description const& endpoint : endpoints)
    {
        auto const before = seen.find(endpoint.address_);
        auto const kind = find_change(
            before == seen.end() ? nullptr : &before->second, endpoint);
        if (kind)
        {
            changes.push_back({*kind, endpoint.address_, endpoint.service_});
        }
        fresh[endpoint.address_] = {endpoint.incarnation_, endpoint.state_};
    }
    seen = std::move(fresh);
    return changes;
}

} // namespace auburnlb
