// The router process, which forwards requests from callers to endpoints on the
// users' platform.
#ifndef AUBURNLB_ROUTER_ROUTER_HPP
#define AUBURNLB_ROUTER_ROUTER_HPP

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include "auburnlb/coordination/pause_record.hpp"
#include "auburnlb/coordination/store_contact.hpp"
#include "auburnlb/coordination/versioned_entries.hpp"
#include "auburnlb/router/caller_connection.hpp"
#include "auburnlb/router/crash_store.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/local_server.hpp"
#include "auburnlb/router/peer_exchange.hpp"
#include "auburnlb/router/placement_controller.hpp"
#include "auburnlb/router/retry_exchange.hpp"
#include "auburnlb/router/router_core.hpp"
#include "auburnlb/router/router_registration.hpp"
#include "auburnlb/router/store_feed.hpp"

namespace auburnlb
{

/// The router, single-threaded. Must be destroyed after the io_context has
/// stopped.
class router final : public request_service
{
public:
    router(asio::io_context& io, clock_source const& clock,
           platform_protocol const& protocol, router_options options);
    ~router() override;

    /// Opens the ports and starts to watch the store.
    result<void> start();

    /// Applies new settings. Those of addresses and names need a restart.
    void reload(router_options const& options);

    /// Begins a planned stop; stops the io_context when it is complete.
    void begin_stop();

    void serve(std::shared_ptr<caller_connection> caller, http_head head,
               std::string body, time_point received) override;
    caller_limits limits() const override;
    bool is_closing() const override { return core_.is_stopping_; }
    time_point now() const override { return core_.clock_.now(); }
    void on_connection_closed(caller_connection& connection) override;
    std::shared_ptr<memory_budgets> memory() override { return core_.memory_; }
    void on_caller_event(caller_event event, std::string const& peer) override
    {
        record_caller_event(core_.metrics_, event, peer);
    }
    void make_room(caller_connection const& needing,
                   std::size_t missing) override;
    milliseconds body_stall() const override
    {
        return core_.options_.body_stall_;
    }

private:
    void on_accepted(asio::ip::tcp::socket socket);
    /// Whether another connection may be open, for which others may be closed.
    bool find_connection();
    /// Removes the closed connections whose sockets are closed as well.
    void forget_closed_connections();
    void schedule_tick();
    void on_tick();
    void update_gauges();
    /// Gauges of the capacity of models and of this router's share.
    void update_share_gauges(time_point now);
    /// Removes the endpoints that are still not listed.
    void drop_missing_endpoints(time_point now);
    void start_waiting_requests(time_point now);
    void start_in_order(service_runtime& service, time_point now);
    /// The same under overload control.
    void start_in_fair_order(service_runtime& service, time_point now);
    /// Returns false if the request found no capacity and waits on.
    bool try_waiting(service_runtime& service, std::uint64_t ticket,
                     time_point now);
    void detect_suspension(time_point now);
    void check_stop(time_point now);
    void close_idle_connections(time_point now);
    /// Ends the requests that the planned stop leaves no time.
    void end_requests_for_stop(time_point now);
    /// Whether nothing is left to answer or to write.
    bool has_finished() const;
    void log_stop() const;
    bool is_ready() const;

    void on_configuration(store_object const& object,
                          std::string const& source);
    void on_endpoint(std::string const& id, std::string const& value,
                     record_age age);
    void on_record(endpoint_record const& record, record_age age);
    /// Called when a run of an endpoint is known to have ended.
    void on_run_ended(std::string const& endpoint_run);
    /// Counts interrupted runs of which it is known whether a crash cut them.
    void count_resolved_runs(char const* how, std::size_t runs);
    /// Probes the endpoints that cut requests off after their last probe.
    void probe_interrupted_runs();
    /// Counts a crash and tells the other routers at once, before what caused
    /// it reaches more endpoints.
    void on_crash(std::string const& endpoint_run, endpoint_crash const& crash);
    /// Logs what is refused from now on, and refuses the requests that wait.
    void apply_refused_traits();
    void refuse_crashing_requests(time_point now);
    void on_endpoint_removed(std::string const& id);
    void on_endpoint_delta(entries_delta const& delta);
    /// Starts or stops watching the store, as the other routers require.
    void update_watch_role(time_point now);
    void publish_watch_role();
    store_reachability current_store_reachability() const;
    /// Handles the outcome of a call to the store. Missing entries are kept for
    /// a while if they may have lapsed because it was out of reach.
    void on_store_outcome(bool is_answered);
    /// Handles an answer of the store to this router or to another one.
    void on_store_answer(time_point at);
    std::optional<time_point> store_answered_at() const;
    void on_store_reachable(char const* kind, bool is_reachable,
                            std::string const& reason);
    void on_entries_rejected(char const* kind, std::string const& name,
                             std::size_t count, std::string const& reason);
    void on_store_restored(char const* kind, std::uint64_t epoch,
                           std::uint64_t revision);
    store_feed_handlers configuration_handlers();
    store_feed_handlers endpoint_handlers();
    peer_exchange_handlers exchange_handlers();
    local_response handle_control_request(http_head const& head,
                                          std::string const& body);
    /// Adds a router from the store's list. A malformed entry is logged and
    /// ignored.
    void add_listed_router(nlohmann::json const& value);

    router_core core_;
    /// The configuration as stored by the platform, for routers that do not
    /// watch the store.
    std::string configuration_text_;
    versioned_entries endpoint_entries_;
    store_contact store_contact_;
    /// The refused traits that were applied to the queues.
    std::vector<request_traits> applied_refusals_;
    store_feed configuration_feed_;
    store_feed endpoint_feed_;
    peer_exchange peers_;
    retry_exchange retries_;
    placement_controller placement_;
    crash_store crash_store_;
    router_registration registration_;
    listener caller_listener_;
    local_server ready_server_;
    local_server control_server_;
    std::set<std::shared_ptr<caller_connection>> connections_;
    /// Closed connections whose sockets are still open.
    std::vector<std::shared_ptr<caller_connection>> closing_connections_;
    /// The requests that the planned stop has ended.
    std::map<stop_ending, std::size_t> stop_endings_;
    asio::steady_timer timer_;
    pause_record pauses_;
    time_point last_tick_{};
    std::chrono::steady_clock::time_point last_steady_{};
    time_point next_slow_tick_{};
    /// All connections were in use when this was last checked.
    bool has_no_connection_left_ = false;
    bool has_endpoints_ = false;
    /// The store was restored from a copy during the life of this process.
    bool was_store_restored_ = false;
    bool is_watching_ = true;
};

} // namespace auburnlb

#endif
