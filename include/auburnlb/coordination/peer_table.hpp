// What a process knows of its peers: the platform's lagging list of hosts,
// corrected by hellos, closed connections and probes.
#ifndef AUBURNLB_COORDINATION_PEER_TABLE_HPP
#define AUBURNLB_COORDINATION_PEER_TABLE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/fleet.hpp"

namespace auburnlb
{

/// Time limits of the table.
struct peer_limits
{
    /// Time between hellos to a peer that is not suspected.
    milliseconds hello_interval_{1'000};
    /// A hello unanswered for this long is repeated on a new connection.
    milliseconds reconnect_{100};
    /// A hello unanswered for this long makes the peer dead.
    milliseconds silence_{250};
    /// A dead peer is asked again after this long.
    milliseconds dead_retry_{250};
};

/// One peer. Invariant: hello_sent_ is set while a hello is unanswered.
struct peer_state
{
    host_entry host_;
    /// Present once the peer has answered a hello; its state_ is dead while
    /// the peer is.
    std::optional<endpoint_description> endpoint_;
    bool is_alive_ = false;
    bool is_reconnected_ = false;
    std::optional<time_point> hello_sent_;
    time_point next_hello_{};
    std::map<std::string, std::uint64_t> versions_;
};

struct peer_table
{
    peer_limits limits_;
    std::map<std::string, peer_state> peers_;
};

/// Send a hello; on a new connection when is_reconnect_.
struct send_hello
{
    std::string address_;
    bool is_reconnect_ = false;

    bool operator==(send_hello const&) const = default;
};

/// Try a plain TCP connection: refusal proves that the process is gone.
struct test_connection
{
    std::string address_;

    bool operator==(test_connection const&) const = default;
};

/// The incarnation at an address does not run any more, or does not answer.
struct peer_lost
{
    std::string address_;
    incarnation_id incarnation_ = 0;
    retry_reason reason_ = retry_reason::stage_died;

    bool operator==(peer_lost const&) const = default;
};

/// A peer answered a hello.
struct peer_answered
{
    std::string address_;
    incarnation_id incarnation_ = 0;

    bool operator==(peer_answered const&) const = default;
};

/// Drop the connection to a peer that left the table.
struct disconnect_peer
{
    std::string address_;

    bool operator==(disconnect_peer const&) const = default;
};

/// The endpoints changed in more than their load, or an entry came or went.
struct endpoints_changed
{
    bool operator==(endpoints_changed const&) const = default;
};

using peer_action =
    std::variant<send_hello, test_connection, peer_lost, peer_answered,
                 disconnect_peer, endpoints_changed>;
using peer_actions = std::vector<peer_action>;

/// A new list from the platform. A peer that is missing from it stays while it
/// answers, because the list lags.
peer_actions on_hosts(peer_table& table, std::vector<host_entry> const& hosts,
                      time_point now);

/// An entry greeted this process. The platform's list may not name it yet.
peer_actions on_incoming_hello(peer_table& table, std::string const& address,
                               time_point now);

peer_actions on_hello_reply(peer_table& table, hello_reply const& reply,
                            incarnation_id sender, time_point now);

peer_actions on_endpoint_update(peer_table& table,
                                endpoint_update const& update, time_point now);

/// A connection to the peer closed.
peer_actions on_link_down(peer_table& table, std::string const& address,
                          time_point now);

/// Outcome of test_connection.
peer_actions on_connection_refused(peer_table& table,
                                   std::string const& address, time_point now);

/// Asks a peer at once, because a stream through it is silent.
peer_actions probe_peer(peer_table& table, std::string const& address,
                        time_point now);

/// Sends hellos that are due and concludes unanswered ones. Called at least
/// every 50 ms.
peer_actions on_peer_tick(peer_table& table, time_point now);

/// Endpoints that answered, sorted by address; leaving and dead ones included.
std::vector<endpoint_description> known_endpoints(peer_table const& table);

} // namespace auburnlb

#endif
