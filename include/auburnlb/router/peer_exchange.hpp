// What routers tell each other: the configuration, for those that the platform
// do not watch it, the list of endpoints, the load that they put on them, and
// crashes. A router asks
// those of its own data centre and one of each other, so that the questions
// grow with a data centre and not with the fleet.
#ifndef AUBURNLB_ROUTER_PEER_EXCHANGE_HPP
#define AUBURNLB_ROUTER_PEER_EXCHANGE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "auburnlb/coordination/store_watchers.hpp"
#include "auburnlb/coordination/versioned_entries.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/local_server.hpp"
#include "auburnlb/router/router_core.hpp"

namespace auburnlb
{

/// The lease of a duty, as its holder tells the others.
struct announced_lease
{
    std::string holder_;
    /// Version of the lease's object in the store.
    std::uint64_t version_ = 0;

    bool operator==(announced_lease const&) const = default;
};

/// What the exchange reads from and writes to the rest of the router.
struct peer_exchange_handlers
{
    /// The configuration in force, as the platform wrote it; empty for none.
    std::function<std::string const&()> configuration_text_;
    std::function<void(std::string const& value, std::string const& peer)>
        on_configuration_;
    /// The platform's entries of endpoints, by identifier.
    std::function<versioned_entries const&()> endpoint_entries_;
    std::function<void(entries_delta const&)> on_endpoints_;
    /// The newest lease that this router knows.
    std::function<announced_lease()> latest_lease_;
    std::function<void(announced_lease const&)> on_lease_;
    std::function<store_reachability()> store_reachability_;
};

/// Asks the other routers in turn and answers their questions.
class peer_exchange
{
public:
    peer_exchange(router_core& core, internal_http_client& http_client,
                  peer_exchange_handlers handlers);

    /// The answer to another router's question.
    local_response handle_query(std::string const& body);
    /// A router that may be asked, by its control address.
    void add_peer(std::string const& address, std::string const& data_centre);
    void on_tick(time_point now);
    /// Routers of the own data centre that answered a moment ago.
    std::vector<watch_candidate> candidates(time_point now) const;

private:
    struct peer
    {
        /// Empty until it is known.
        std::string data_centre_;
        bool is_query_pending_ = false;
        /// Questions without an answer since the last one.
        std::uint32_t failed_queries_ = 0;
        /// Order of asking among the routers of another data centre.
        std::uint64_t rank_ = 0;
        /// Set after its first answer.
        std::optional<time_point> last_response_at_;
        time_point next_call_{};
        /// Set while it is in a planned stop: when that ends at the latest.
        std::optional<time_point> stop_end_;
        std::map<std::string, endpoint_load> loads_;
        store_reachability reachability_ = store_reachability::none;
    };

    /// The routers to ask: all of the own data centre and those whose data
    /// centre is not known, and one of each other.
    std::vector<std::string> peers_to_query() const;
    bool is_local(peer const& peer) const;
    milliseconds query_interval_for(peer const& peer, std::size_t asked) const;
    /// Whether the peer is to tell what has changed in the list of endpoints.
    bool should_request_endpoints(peer const& peer, time_point now) const;
    nlohmann::json endpoints_since(nlohmann::json const& query) const;
    /// Throws if the answer is none of a router's.
    void read_state(std::string const& address, peer& peer,
                    nlohmann::json const& state, time_point now);
    void read_endpoints(nlohmann::json const& state, time_point now);
    void read_peers(nlohmann::json const& state);
    void update_peer_stops(time_point now);
    void send_query(std::string const& address, peer& peer,
                    milliseconds interval, time_point now);
    void on_reply(std::string const& address, result<http_reply> const& reply);
    void read_loads(peer& peer, nlohmann::json const& state);
    void read_crashes(std::string const& address, nlohmann::json const& state);
    /// Endpoints that did not answer this router's last probe.
    nlohmann::json unresponsive_endpoints() const;
    void apply_unresponsive(nlohmann::json const& state, time_point now);
    void sum_loads(time_point now);
    std::string make_state(nlohmann::json const& query);
    /// Loads of this router, or of all of its data centre.
    nlohmann::json loads(bool of_data_centre) const;

    router_core& core_;
    internal_http_client& http_client_;
    peer_exchange_handlers handlers_;
    std::map<std::string, peer> peers_;
    /// Newest revision of the list that another router knows.
    std::uint64_t newest_revision_ = 0;
    /// Since when that is newer than this router's.
    std::optional<time_point> behind_since_;
};

} // namespace auburnlb

#endif
