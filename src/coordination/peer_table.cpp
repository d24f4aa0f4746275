// Decisions on the liveness of peers.
#include "auburnlb/coordination/peer_table.hpp"

#include <algorithm>
#include <set>

namespace auburnlb
{

namespace
{

/// The state to act upon: the platform's list may know of a departure that the
/// companion has not announced, and the other way round.
host_state effective_state(peer_state const& peer)
{
    if (!peer.is_alive_)
    {
        return host_state::dead;
    }
    if (peer.host_.state_ == host_state::leaving &&
        peer.endpoint_->state_ == host_state::live)
    {
        return host_state::leaving;
    }
    return peer.endpoint_->state_;
}

bool is_same_but_load(endpoint_description left,
                      endpoint_description const& right)
{
    left.load_ = right.load_;
    return left == right;
}

peer_actions lose(peer_state& peer, retry_reason reason, time_point now,
                  milliseconds retry)
{
    peer.hello_sent_.reset();
    peer.is_reconnected_ = false;
    peer.next_hello_ = now + retry;
    if (!peer.is_alive_)
    {
        return {};
    }
    peer.is_alive_ = false;
    incarnation_id const incarnation =
        peer.endpoint_ ? peer.endpoint_->incarnation_ : 0;
    return {peer_lost{peer.host_.address_, incarnation, reason},
            endpoints_changed{}};
}

/// Takes a description that came from the peer itself.
peer_actions learn(peer_state& peer, endpoint_description const& fresh)
{
    peer_actions actions;
    bool const was_alive = peer.is_alive_;
    bool const is_replaced =
        peer.endpoint_ && peer.endpoint_->incarnation_ != fresh.incarnation_;
    if (is_replaced && was_alive)
    {
        actions.emplace_back(peer_lost{peer.host_.address_,
                                       peer.endpoint_->incarnation_,
                                       retry_reason::stage_died});
    }
    bool const is_engine_lost = was_alive && !is_replaced && peer.endpoint_ &&
                                peer.endpoint_->state_ != host_state::dead &&
                                fresh.state_ == host_state::dead;
    if (is_engine_lost)
    {
        actions.emplace_back(peer_lost{peer.host_.address_, fresh.incarnation_,
                                       retry_reason::engine_failed});
    }
    bool const is_changed = !was_alive || !peer.endpoint_ ||
                            !is_same_but_load(*peer.endpoint_, fresh);
    peer.endpoint_ = fresh;
    peer.is_alive_ = true;
    if (is_changed)
    {
        actions.emplace_back(endpoints_changed{});
    }
    return actions;
}

} // namespace

peer_actions on_hosts(peer_table& table, std::vector<host_entry> const& hosts,
                      time_point now)
{
    peer_actions actions;
    std::set<std::string> listed;
    bool is_changed = false;
    for (host_entry const& host : hosts)
    {
        listed.insert(host.address_);
        auto const [slot, is_new] = table.peers_.try_emplace(host.address_);
        peer_state& peer = slot->second;
        is_changed = is_changed || peer.host_ != host;
        peer.host_ = host;
        if (is_new)
        {
            peer.next_hello_ = now;
        }
    }
    for (auto entry = table.peers_.begin(); entry != table.peers_.end();)
    {
        if (!listed.contains(entry->first) && !entry->second.is_alive_)
        {
            actions.emplace_back(disconnect_peer{entry->first});
            entry = table.peers_.erase(entry);
            continue;
        }
        ++entry;
    }
    if (is_changed)
    {
        actions.emplace_back(endpoints_changed{});
    }
    return actions;
}

peer_actions on_incoming_hello(peer_table& table, std::string const& address,
                               time_point now)
{
    auto const [slot, is_new] = table.peers_.try_emplace(address);
    if (!is_new)
    {
        return {};
    }
    slot->second.host_.address_ = address;
    slot->second.host_.role_ = host_role::entry;
    return probe_peer(table, address, now);
}

peer_actions on_hello_reply(peer_table& table, hello_reply const& reply,
                            incarnation_id sender, time_point now)
{
    auto const found = table.peers_.find(reply.from_address_);
    if (found == table.peers_.end())
    {
        return {};
    }
    peer_state& peer = found->second;
    peer.hello_sent_.reset();
    peer.is_reconnected_ = false;
    peer.next_hello_ = now + table.limits_.hello_interval_;
    peer.versions_ = reply.versions_;
    peer_actions actions;
    if (reply.endpoint_)
    {
        actions = learn(peer, *reply.endpoint_);
    }
    else if (!peer.is_alive_)
    {
        peer.is_alive_ = true;
        actions.emplace_back(endpoints_changed{});
    }
    actions.emplace_back(peer_answered{reply.from_address_, sender});
    return actions;
}

peer_actions on_endpoint_update(peer_table& table,
                                endpoint_update const& update,
                                time_point /*now*/)
{
    auto const found = table.peers_.find(update.endpoint_.address_);
    // An update that comes late must not bring an older incarnation back;
    // only an answer to a hello introduces a new one.
    if (found == table.peers_.end() || !found->second.endpoint_ ||
        found->second.endpoint_->incarnation_ != update.endpoint_.incarnation_)
    {
        return {};
    }
    return learn(found->second, update.endpoint_);
}

peer_actions on_link_down(peer_table& table, std::string const& address,
                          time_point now)
{
    auto const found = table.peers_.find(address);
    if (found == table.peers_.end())
    {
        return {};
    }
    peer_actions actions = probe_peer(table, address, now);
    actions.emplace_back(test_connection{address});
    return actions;
}

peer_actions on_connection_refused(peer_table& table,
                                   std::string const& address, time_point now)
{
    auto const found = table.peers_.find(address);
    return found == table.peers_.end()
               ? peer_actions{}
               : lose(found->second, retry_reason::stage_died, now,
                      table.limits_.dead_retry_);
}

peer_actions probe_peer(peer_table& table, std::string const& address,
                        time_point now)
{
    auto const found = table.peers_.find(address);
    if (found == table.peers_.end() || found->second.hello_sent_)
    {
        return {};
    }
    found->second.hello_sent_ = now;
    return {send_hello{address, false}};
}

peer_actions on_peer_tick(peer_table& table, time_point now)
{
    peer_actions actions;
    for (auto& [address, peer] : table.peers_)
    {
        if (!peer.hello_sent_)
        {
            if (now >= peer.next_hello_)
            {
                peer.hello_sent_ = now;
                // A peer that was dead may have lost our connection with its
                // old process, so it is asked on a new one.
                actions.emplace_back(
                    send_hello{address, peer.endpoint_ && !peer.is_alive_});
            }
            continue;
        }
        nanoseconds const waited = now - *peer.hello_sent_;
        if (waited > table.limits_.silence_)
        {
            peer_actions lost = lose(peer, retry_reason::stage_silent, now,
                                     table.limits_.dead_retry_);
            actions.insert(actions.end(), lost.begin(), lost.end());
        }
        else if (waited > table.limits_.reconnect_ && !peer.is_reconnected_)
        {
            peer.is_reconnected_ = true;
            actions.emplace_back(send_hello{address, true});
        }
    }
    return actions;
}

std::vector<endpoint_description> known_endpoints(peer_table const& table)
{
    std::vector<endpoint_description> endpoints;
    for (auto const& [address, peer] : table.peers_)
    {
        if (!peer.endpoint_)
        {
            continue;
        }
        endpoints.push_back(*peer.endpoint_);
        endpoints.back().state_ = effective_state(peer);
    }
    return endpoints;
}

} // namespace auburnlb
