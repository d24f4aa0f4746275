// State of the gate and the functions that its two source files share.
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

/// What is known of one address of the service.
struct known_endpoint
{
    incarnation_id incarnation_ = 0;
    host_state state_ = host_state::live;
    /// Since when it is dead or missing.
    std::optional<time_point> dead_since_;
};

/// What an answer of the platform says of a write.
put_status to_put_status(result<std::uint64_t> const& answer);

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

    /// Runs a function under the lock, then sends what it wanted to send.
    template <class Function>
    void locked(Function const& function)
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
        changed_.notify_one();
        for (auto& [peer, body] : outbox)
        {
            send_(peer, std::move(body));
        }
    }

    /// A handler for the HTTP client that outlives neither gate nor lock.
    template <class Value, class Function>
    auto handler(Function function)
    {
        return [weak = weak_from_this(),
                function = std::move(function)](result<Value> answer)
        {
            if (auto const self = weak.lock())
            {
                self->locked([&] { function(*self, answer); });
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
    void answer(call_request const& call, call_reply reply);
    void send_unclaimed(call_request call);
    void send_claimed(run_call const& run);
    void send_to_endpoint(call_request const& call, milliseconds timeout,
                          std::function<void(impl&, result<http_response>&)>);
    void on_answer(respond_to_call const& action);

    // The claim home and its table.
    bool ensure_home();
    void feed(claim_event const& event);
    void act(claim_action const& action);
    void feed(takeover_event const& event);
    void act(takeover_action const& action);
    void act_on(put_segment const& action, bool is_seal);
    void act_on(read_segment const& action);
    void act_on(read_table const& action);
    void act_on(list_log const& action);
    void read_listed_log(result<std::vector<platform_object>> const& answer);
    void act_on(put_table const& action);
    void act_on(takeover_ended const& ended);
    void maintain();
    bool is_work_pending() const;
    void rotate_old_log();
    void release_shards();
    void release_all();
    void clean_up();
    void on_fleet_update(std::vector<endpoint_description> const& endpoints);
    void note_unknown_homes();
    claim_view view() const;
    std::vector<std::string> live_addresses() const;
    std::vector<incarnation_id> gone_incarnations() const;
    load_report load() const;

    http_client& http_;
    platform_client& platform_;
    call_proxy_options const options_;
    send_function const send_;
    clock_source& clock_;
    metrics_registry& metrics_;
    config_function const config_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    // All below is guarded by mutex_.
    bool is_stopped_ = false;
    std::optional<time_point> leaving_since_;
    std::vector<std::pair<std::string, message>> outbox_;
    /// Keyed calls without an answer.
    std::unordered_map<request_id, call_request> calls_;
    std::size_t in_progress_ = 0;
    double step_time_us_ = 0;
    std::optional<shard_owner> home_;
    time_point log_started_;
    takeover takeover_;
    std::optional<claim_table> table_;
    std::vector<std::uint32_t> released_;
    std::map<std::string, known_endpoint> fleet_;
    bool is_fleet_known_ = false;
    bool is_table_due_ = true;
    time_point fleet_changed_at_;
    /// Incarnations that the table names and the fleet does not.
    std::map<incarnation_id, time_point> unknown_since_;
    time_point next_look_;
    time_point next_cleanup_;
    std::size_t cleanup_at_ = 0;
    std::uint64_t looks_ = 0;
    /// A list of a log that the gate's thread has not read yet.
    std::optional<result<std::vector<platform_object>>> listed_;
    std::thread thread_;
};

} // namespace auburnlb

#endif
