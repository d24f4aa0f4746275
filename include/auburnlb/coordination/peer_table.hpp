// Liveness of a process's peers: the platform's list of hosts, which lags,
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
    /// A hello that is unanswered for this long is sent again on a new
    /// connection.
    milliseconds reconnect_after_{100};
    /// A peer that does not answer a hello for this long is considered dead.
    milliseconds silence_{250};
    /// Time between hellos to a dead peer.
    milliseconds dead_retry_{250};
};

/// State of one peer. Invariant: hello_sent_ is set while a hello is
/// unanswered.
struct peer_state
{
    host_entry host_;
    /// Present once the endpoint has answered a hello; absent for an entry. May
    /// still say live while is_alive_ is false.
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

/// Send a hello, on a new connection if is_reconnect_ is set.
struct send_hello
{
    std::string address_;
    bool is_reconnect_ = false;

    bool operator==(send_hello const&) const = default;
};

/// Try a plain TCP connection. A refusal shows that the process has ended.
struct test_connection
{
    std::string address_;

    bool operator==(test_connection const&) const = default;
};

/// The incarnation at an address has ended or does not answer.
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

/// Close the connection to a peer that was removed from the table.
struct disconnect_peer
{
    std::string address_;

    bool operator==(disconnect_peer const&) const = default;
};

/// An endpoint changed in more than its load, or an entry joined or left.
struct endpoints_changed
{
    bool operator==(endpoints_changed const&) const = default;
};

using peer_action =
    std::variant<send_hello, test_connection, peer_lost, peer_answered,
                 disconnect_peer, endpoints_changed>;
using peer_actions = std::vector<peer_action>;

/// Handles a new list of hosts from the platform. A peer that is missing from
/// it is kept while it answers hellos, because the list lags.
peer_actions on_hosts(peer_table& table, std::vector<host_entry> const& hosts,
                      time_point now);

/// Handles a hello from an entry. The platform's list may not contain it yet.
peer_actions on_incoming_hello(peer_table& table, std::string const& address,
                               time_point now);

/// Handles a reply to a hello.
peer_actions on_hello_reply(peer_table& table, hello_reply const& reply,
                            incarnation_id sender, time_point now);

/// Handles an update from an endpoint. Ignores one from another incarnation
/// than the one that answered a hello last.
peer_actions on_endpoint_update(peer_table& table,
                                endpoint_update const& update, time_point now);

/// Handles the loss of a connection to a peer.
peer_actions on_link_down(peer_table& table, std::string const& address,
                          time_point now);

/// Handles a refused connection after test_connection.
peer_actions on_connection_refused(peer_table& table,
                                   std::string const& address, time_point now);

/// Sends a hello to a peer at once, such as when a stream through it stalls.
peer_actions probe_peer(peer_table& table, std::string const& address,
                        time_point now);

/// Sends hellos that are due, and handles those that have timed out. To be
/// called at least every 50 ms.
peer_actions on_peer_tick(peer_table& table, time_point now);

/// Returns the endpoints that have ever answered, sorted by address, including
/// those that are leaving or dead.
std::vector<endpoint_description> known_endpoints(peer_table const& table);

} // namespace auburnlb

#endif
