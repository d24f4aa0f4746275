// State exchange between routers: the configuration and the list of endpoints
// (for routers that do not watch the platform's store), the load that each
// router puts on endpoints, and crashes. A router polls all routers of its own
// data centre and one of each other data centre, so that the number of requests
// grows with the data centre and not with the fleet.
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

/// The leader lease as reported by another router.
struct announced_lease
{
    std::string holder_;
    /// Version of the lease's object in the store.
    store_version version_;

    bool operator==(announced_lease const&) const = default;
};

/// Callbacks through which the exchange reads and updates the rest of the
/// router.
struct peer_exchange_handlers
{
    /// The configuration in force, as stored by the platform; empty if there is
    /// none.
    std::function<std::string const&()> configuration_text_;
    std::function<void(std::string const& value, std::string const& peer)>
        on_configuration_;
    /// The platform's endpoint entries, by identifier.
    std::function<versioned_entries const&()> endpoint_entries_;
    std::function<void(entries_delta const&)> on_endpoints_;
    /// The latest version of the lease that this router has seen.
    std::function<announced_lease()> latest_lease_;
    std::function<void(announced_lease const&)> on_lease_;
    std::function<store_reachability()> store_reachability_;
    /// When the store last answered this router; unset before.
    std::function<std::optional<time_point>()> store_answered_at_;
    /// The store answered another router at this time.
    std::function<void(time_point at)> on_store_answer_;
};

/// Polls the other routers and responds to their requests.
class peer_exchange
{
public:
    peer_exchange(router_core& core, internal_http_client& http_client,
                  peer_exchange_handlers handlers);

    /// Returns the response to another router's request.
    local_response handle_request(std::string const& body);
    /// Adds a router to poll, by its control address. The data centre may be
    /// empty if it is not known yet.
    void add_peer(std::string const& address, std::string const& data_centre);
    void on_tick(time_point now);
    /// Polls all routers at the next tick, so that they learn of a change at
    /// once.
    void poll_now(time_point now);
    /// Routers of the same data centre that answered recently.
    std::vector<watch_candidate> watch_candidates(time_point now) const;
    /// Addresses of the polled routers that answered the last request.
    std::vector<std::string> responding_routers() const;

private:
    struct peer
    {
        /// Empty until known.
        std::string data_centre_;
        bool is_request_pending_ = false;
        /// Requests that failed since the last response.
        std::uint32_t failed_polls_ = 0;
        /// The router with the highest rank in another data centre is polled.
        std::uint64_t rank_ = 0;
        /// Unset before the first response.
        std::optional<time_point> last_response_at_;
        time_point next_call_{};
        /// Set during a planned stop: the latest time at which it ends.
        std::optional<time_point> stop_end_;
        std::map<std::string, endpoint_load> loads_;
        /// Tokens a second that arrive there, by service.
        std::map<std::string, double> demands_;
        /// Revision of this router's crash causes that the peer has, and of
        /// the peer's that this router has.
        std::uint64_t sent_causes_ = 0;
        std::uint64_t known_causes_ = 0;
        /// Routers that send to each endpoint with a rate limit: the peer, or
        /// its data centre.
        std::map<std::string, std::uint32_t> senders_;
        store_reachability reachability_ = store_reachability::none;
        /// When the store last answered it, at the earliest.
        std::optional<time_point> store_answered_at_;
        /// When the last request was sent to it.
        time_point asked_at_{};
    };

    /// All routers of the same or of an unknown data centre, and one of each
    /// other data centre.
    std::vector<std::string> peers_to_poll() const;
    bool is_local(peer const& peer) const;
    /// Whether the last reported load of the peer still counts.
    static bool is_load_recent(peer const& peer, time_point now);
    /// Peers whose reports are summed: those of the same data centre, and the
    /// one of each other that answered last.
    std::vector<peer const*> counted_peers(time_point now) const;
    milliseconds poll_interval_for(peer const& peer, std::size_t polled) const;
    /// Whether to request changes of the endpoint list from the peer.
    bool should_request_endpoints(peer const& peer, time_point now) const;
    nlohmann::json endpoints_since(nlohmann::json const& request) const;
    /// Throws nlohmann::json::exception if the response is not one of a router.
    void read_state(std::string const& address, peer& peer,
                    nlohmann::json const& state, time_point now);
    void read_endpoints(nlohmann::json const& state, time_point now);
    void read_store_answer(peer& peer, nlohmann::json const& state);
    void read_peers(nlohmann::json const& state);
    void update_peer_stops(time_point now);
    void send_request(std::string const& address, peer& peer,
                      milliseconds interval, time_point now);
    /// @param sent_causes revision that the peer has if it replied
    void on_reply(std::string const& address, std::uint64_t sent_causes,
                  result<http_reply> const& reply);
    /// Reads what the peer reports of the use of endpoints.
    void read_use(peer& peer, nlohmann::json const& state, time_point now);
    /// Adds the crash causes that the other router lacks.
    void add_crash_causes(nlohmann::json& state,
                          nlohmann::json const& request) const;
    /// Merges the crash causes in a message, if there are any.
    void read_causes(nlohmann::json const& message);
    /// Endpoints that failed this router's last probe.
    nlohmann::json unresponsive_endpoints() const;
    void apply_unresponsive(nlohmann::json const& state, time_point now);
    /// Endpoints that have just rejected requests of this router for want of
    /// room.
    nlohmann::json full_endpoints() const;
    void apply_full(nlohmann::json const& state, time_point now);
    /// Sums the loads and demands of the other routers.
    void sum_use(time_point now);
    /// Demand on each service at this router alone, or in its whole data
    /// centre.
    nlohmann::json demands(bool of_data_centre) const;
    std::string make_state(nlohmann::json const& request);
    /// Loads of this router alone, or of its whole data centre.
    nlohmann::json loads(bool of_data_centre) const;
    /// Senders to each endpoint with a rate limit: this router alone, or its
    /// whole data centre.
    nlohmann::json senders(bool of_data_centre) const;
    void sum_senders(time_point now);

    router_core& core_;
    internal_http_client& http_client_;
    peer_exchange_handlers handlers_;
    std::map<std::string, peer> peers_;
    /// Latest version of the endpoint list that another router has.
    store_version newest_version_;
    /// Since when this router's version has been older than that.
    std::optional<time_point> behind_since_;
};

} // namespace auburnlb

#endif
