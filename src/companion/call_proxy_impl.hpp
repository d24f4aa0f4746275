// Implementation class of call_proxy, shared by its source files.
#ifndef AUBURNLB_COMPANION_CALL_PROXY_IMPL_HPP
#define AUBURNLB_COMPANION_CALL_PROXY_IMPL_HPP

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>

#include "auburnlb/companion/call_proxy.hpp"
#include "auburnlb/protocol/claim_shards.hpp"

namespace auburnlb
{

/// Last known state of an endpoint of the service.
struct service_endpoint
{
    incarnation_id incarnation_ = 0;
    host_state state_ = host_state::live;
    /// When the endpoint was first seen dead or missing; empty if it is
    /// neither.
    std::optional<time_point> dead_since_;
};

/// Converts the platform's response to a write into a put status.
put_status to_put_status(result<std::uint64_t> const& response);

struct call_proxy::impl : std::enable_shared_from_this<call_proxy::impl>
{
    impl(http_client& http, platform_client& platform,
         call_proxy_options options, send_function send, clock_source& clock,
         metrics_registry& metrics, config_function config)
        : http_(http)
        , platform_(platform)
        , options_(std::move(options))
        , send_(std::move(send))
        , clock_(clock)
        , metrics_(metrics)
        , config_(std::move(config))
    {
        takeover_.service_ = options_.service_;
    }

    /// Runs a function under the lock, then sends the messages in outbox_. Does
    /// nothing once the proxy is stopped.
    template <class Function>
    void run_locked(Function const& function)
    {
        std::vector<std::pair<std::string, message>> outbox;
        {
            std::lock_guard const lock(mutex_);
            if (is_stopped_)
            {
                return;
            }
            function();
            outbox.swap(outbox_);
        }
        wake_up_.notify_one();
        for (auto& [peer, body] : outbox)
        {
            send_(peer, std::move(body));
        }
    }

    /// Returns a handler for the HTTP client that calls the function under the
    /// lock, or does nothing once the proxy is destroyed.
    template <class Value, class Function>
    auto locked_handler(Function function)
    {
        return [weak = weak_from_this(),
                function = std::move(function)](result<Value> response)
        {
            if (auto const self = weak.lock())
            {
                self->run_locked([&] { function(*self, response); });
            }
        };
    }

    void run();
    time_point next_wake() const;
    void on_tick();

    // Calls.
    void on_call(call_request call);
    void refuse(call_request const& call, refusal_reason reason,
                run_state state);
    void send_reply(call_request const& call, call_reply reply);
    void send_unclaimed(call_request call);
    void send_claimed(run_call const& run);
    void send_to_endpoint(call_request const& call, milliseconds timeout,
                          std::function<void(impl&, result<http_response>&)>);
    void reply_to_keyed_call(respond_to_call const& action);

    // Shard owner and claim table.
    bool ensure_owner();
    void handle_event(claim_event const& event);
    void execute_action(claim_action const& action);
    void handle_event(takeover_event const& event);
    void execute_action(takeover_action const& action);
    void execute(put_segment const& action, bool is_seal);
    void execute(read_segment const& action);
    void execute(read_table const& action);
    void execute(list_log const& action);
    void parse_listed_log(result<std::vector<platform_object>> const& response);
    void execute(put_table const& action);
    void execute(takeover_ended const& ended);
    void run_maintenance();
    bool has_table_work() const;
    void rotate_old_log();
    void release_shards();
    void release_all_shards();
    void remove_old_segments();
    void on_fleet_update(std::vector<endpoint_description> const& endpoints);
    void update_unknown_owners();
    claim_view make_claim_view() const;
    std::vector<std::string> find_live_addresses() const;
    std::vector<incarnation_id> find_dead_incarnations() const;
    load_report load() const;

    http_client& http_;
    platform_client& platform_;
    call_proxy_options const options_;
    send_function const send_;
    clock_source& clock_;
    metrics_registry& metrics_;
    config_function const config_;

    mutable std::mutex mutex_;
    std::condition_variable wake_up_;
    // The members below are guarded by mutex_.
    bool is_stopped_ = false;
    std::optional<time_point> leaving_since_;
    std::vector<std::pair<std::string, message>> outbox_;
    /// Keyed calls that have not been answered.
    std::unordered_map<request_id, call_request> keyed_calls_;
    std::size_t in_progress_ = 0;
    double call_time_us_ = 0;
    std::optional<shard_owner> owner_;
    time_point log_started_at_;
    takeover takeover_;
    std::optional<claim_table> table_;
    std::vector<std::uint32_t> released_;
    std::map<std::string, service_endpoint> endpoints_;
    bool is_fleet_known_ = false;
    bool is_table_check_due_ = true;
    time_point fleet_changed_at_;
    /// Incarnations in the claim table that are missing from the fleet, with
    /// the time at which that was first seen.
    std::map<incarnation_id, time_point> unknown_since_;
    time_point next_table_check_;
    time_point next_cleanup_;
    std::size_t next_cleanup_log_ = 0;
    std::uint64_t table_checks_ = 0;
    /// Listing of a claim log that the proxy's thread has not parsed yet.
    std::optional<result<std::vector<platform_object>>> listed_log_;
    std::thread thread_;
};

} // namespace auburnlb

#endif
