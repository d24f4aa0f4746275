// Forwarding of one caller's request to endpoints, with retries.
#ifndef AUBURNLB_ROUTER_FORWARDED_REQUEST_HPP
#define AUBURNLB_ROUTER_FORWARDED_REQUEST_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "auburnlb/coordination/attempt_outcome.hpp"
#include "auburnlb/coordination/attempted_endpoints.hpp"
#include "auburnlb/coordination/planned_stop.hpp"
#include "auburnlb/coordination/response_check.hpp"
#include "auburnlb/coordination/stall_decision.hpp"
#include "auburnlb/coordination/stream_backlog.hpp"
#include "auburnlb/protocol/event_splitter.hpp"
#include "auburnlb/router/caller_connection.hpp"
#include "auburnlb/router/connection_pool.hpp"
#include "auburnlb/router/endpoint_attempt.hpp"
#include "auburnlb/router/router_core.hpp"
#include "auburnlb/state/refusal.hpp"

namespace auburnlb
{

/// A request from its arrival until its caller has a response or has
/// disconnected.
/// Invariant: in router_core::active_ until it has ended.
class forwarded_request final
    : public std::enable_shared_from_this<forwarded_request>,
      public disconnect_handler,
      public response_receiver
{
public:
    /// Validates the request, then sends or queues it.
    static void begin(router_core& core,
                      std::shared_ptr<caller_connection> caller, http_head head,
                      std::string body, time_point received);

    forwarded_request(router_core& core,
                      std::shared_ptr<caller_connection> caller, http_head head,
                      std::string body, time_point received);
    forwarded_request(forwarded_request const&) = delete;
    forwarded_request& operator=(forwarded_request const&) = delete;
    ~forwarded_request() override;

    /// Sends the request if an endpoint has capacity. Returns true if it was
    /// sent or has ended.
    bool try_start(time_point now);

    /// Whether the last start failed only because the prompt is long and no
    /// path may take it yet.
    bool is_held() const { return is_held_; }

    /// Refuses the request after it was taken from the queue.
    void refuse_waiting(time_point now);

    /// Returns whether the request is known to crash endpoints.
    bool is_known_to_crash() const;

    void on_tick(time_point now);
    /// Records that the endpoint's run has ended while it was one of the
    /// engines that run the request.
    void record_ended_engine(std::string const& endpoint_run, time_point now);

    /// Ends the request if a planned stop leaves it no time. Returns how it has
    /// ended.
    std::optional<stop_ending> end_for_stop(time_point now);

    void on_caller_left() override;
    bool is_matching_response(http_head const& head) override;
    void on_response_head(http_head const& head) override;
    void on_response_body(std::string_view piece) override;
    void on_response_end() override;
    void on_exchange_failed(exchange_failure failure) override;

private:
    /// An attempt that made no progress and goes on beside the one that was
    /// sent in its place.
    class superseded_attempt;

    /// The failed attempt that another one is to follow.
    struct awaited_retry
    {
        attempt_outcome outcome_ = attempt_outcome::broken;
        /// For the log.
        char const* reason_ = "";
        time_point end_{};
    };

    /// Returns false and responds if the request cannot be served.
    bool admit();
    bool find_route();
    bool find_workspace();
    bool read_caller_request();
    /// Whether the router stops before a new request could complete.
    bool is_too_late_to_begin() const;
    /// Whether the request may be sent during the planned stop.
    bool can_finish_before_stop(time_point now) const;
    /// Returns how long the response is expected to take, with a margin; for a
    /// model, over the chosen path.
    milliseconds expected_time() const;
    /// Returns how long the response takes at sound endpoints at most.
    milliseconds longest_time(time_point now) const;
    /// Returns how long a call takes at most.
    milliseconds call_time() const;
    /// Returns how long a stream of a model takes over the chosen path.
    milliseconds stream_time(double tokens, double event_gap_ms) const;
    /// Whether the length of the longest response is known well enough to be
    /// begun late in a planned stop.
    bool may_estimate_longest_time() const;
    /// Refuses the request for the planned stop, or ends it if it may have run.
    void refuse_for_stop();
    std::int32_t priority() const;
    /// Unset if the workspace has none.
    std::optional<std::int32_t> workspace_priority() const;
    /// Time since the caller was refused here; zero if it was not.
    milliseconds time_since_refusal() const;
    waiting_request make_queue_entry(time_point now);
    /// Whether the request is better refused than queued.
    bool is_refused_by_queue(waiting_request const& entry, time_point now);
    void enqueue(time_point now);
    /// Leaves the queue if the request is in it.
    void stop_waiting();
    /// Records that an endpoint had capacity.
    void record_started(time_point now);

    bool start_on_path(time_point now);
    bool start_on_endpoint(time_point now);
    /// Returns the endpoint of the next attempt at a service without layers.
    /// @param busy_ids endpoints that run the request now
    endpoint_ptr find_endpoint(std::vector<std::string> busy_ids,
                               time_point now) const;
    /// Whether the request was sent to as many endpoints as its route allows.
    bool may_only_return() const;
    /// Whether all endpoints that the request may be sent to are gone.
    bool has_no_endpoint_left() const;
    void send(endpoint_ptr const& first, std::vector<path_part> const& path,
              time_point now);
    /// The urgency that endpoints are told.
    std::uint32_t urgency() const;
    path_demand make_demand(time_point now) const;
    /// The engines of the service, with their load.
    std::vector<path_engine> known_engines(time_point now) const;
    /// Whether a new stream is within this router's share of the service.
    bool has_capacity_share(path_demand const& demand, time_point now) const;
    /// Counts the request when the share holds it back for the first time.
    void record_held_by_share();
    /// @param excluded_first_id may not be the first engine; empty for none
    std::optional<path_choice> find_path(path_demand const& demand,
                                         std::string const& excluded_first_id,
                                         time_point now) const;
    /// The same engines, of which one may not be the first of a path.
    std::vector<path_engine> engines_after(std::string const& excluded_first_id,
                                           time_point now) const;
    /// Finds the path of a new attempt, which for a long prompt has to be
    /// within the bound on prefill.
    std::optional<path_choice> find_bounded_path(path_demand const& demand,
                                                 time_point now);
    /// The shortest latency target of the service.
    milliseconds shortest_target();
    /// Whether all waiting requests are held, so that others may start at once.
    static bool only_held_wait(service_runtime const& runtime);
    /// Records that the prompt is held.
    void record_held();
    /// The first endpoint of the superseded attempt; empty if there is none.
    std::string superseded_endpoint() const;
    double expected_output_tokens() const;

    /// Returns which request a response on the attempt's connection belongs
    /// to.
    response_origin origin_of_response(endpoint_attempt const& attempt,
                                       http_head const& head) const;
    /// Returns whether the response ends the attempt. Any other is skipped.
    bool is_response_of(endpoint_attempt const& attempt, http_head const& head);
    /// Applies what the response says about the endpoint's availability.
    void read_notices(endpoint_attempt const& attempt, time_point now);
    /// Applies the rate limit that the response names.
    void read_rate_limit(endpoint_attempt const& attempt, time_point now);
    /// Sends the head of the attempt's response unless one was sent.
    void begin_stream_response();
    void on_events(event_batch const& batch);
    /// Records that the stream produced events. Comments are no progress: a
    /// stalled engine may go on sending them.
    void record_progress(std::uint32_t events);
    void on_first_event(time_point now);
    /// Counts the incomplete event of the attempt. Returns false if there is no
    /// room for it.
    bool hold_partial_event(endpoint_attempt& attempt,
                            event_splitter const& events);
    /// Reads on or not, depending on what the caller has not taken.
    void check_backlog(time_point now);
    /// Whether the attempt is read no more or the request has ended, because
    /// the caller takes too little.
    bool is_held_back(time_point now);
    stream_backlog current_backlog(time_point now);
    void pause_attempt(time_point now);
    void resume_attempt(time_point now);
    void drop_caller(char const* reason);
    void finish_stream();
    void finish_response();
    response_facts facts_of_response() const;
    /// Returns how long the attempt's connection may have been idle; 0 for a
    /// new one.
    milliseconds max_idle_time(std::string const& endpoint_id) const;
    /// Replaces the attempt by one that has not been sent.
    void begin_attempt(path_choice path);
    void end_attempt(attempt_outcome outcome, char const* reason);
    /// Retries after a failed attempt, or responds.
    void follow_attempt(attempt_outcome outcome, attempt_limits const& limits,
                        char const* reason, time_point now);
    void await_retry(attempt_outcome outcome, char const* reason,
                     time_point now);
    /// Goes on when the wait for a borrowed retry is over.
    void check_awaited_retry(time_point now);
    void stop_awaiting_retry();
    void retry(endpoint_attempt const& last, attempt_outcome outcome,
               char const* reason, time_point now);
    attempt_limits current_limits(attempt_outcome outcome,
                                  time_point now) const;
    void record_attempt_outcome(attempt_outcome outcome, time_point now);
    void record_failure(endpoint_attempt const& attempt,
                        attempt_outcome outcome, time_point now);
    /// Records the engines of the path that have not responded to a probe since
    /// the last progress. Returns whether there are any.
    bool record_unresponsive(time_point now);
    /// Probes the engines of the path that have shown no activity since that
    /// time.
    void probe_unresponsive(time_point since);
    void record_refusal(endpoint_attempt const& attempt, time_point now);
    /// Records that the endpoint to which the attempt was sent cut it off.
    void record_interrupted_run(endpoint_attempt const& attempt,
                                time_point now);
    void record_ended_engine(endpoint_attempt const& attempt,
                             std::string const& endpoint_run, time_point now);
    /// Returns what is kept of a run that was cut off at this endpoint.
    interrupted_runs::run describe_run(endpoint_attempt const& attempt,
                                       endpoint_record const& record,
                                       time_point now) const;
    void log_interrupted_run(endpoint_attempt const& attempt,
                             std::string const& endpoint_id,
                             time_point now) const;
    void record_success_of(request_traits const& traits);
    /// Probes the attempt's endpoint if it may have crashed.
    void probe_interrupted_run(endpoint_attempt const& attempt);
    /// Refuses a request that is known to crash endpoints.
    void refuse_crashing();
    /// Whether another copy of the request is to show first that it crashes no
    /// endpoint.
    bool must_follow_copy() const;
    bool is_copy_in_progress() const;
    void refuse_copy();
    /// Ends a request that may have run, so that it cannot be refused. Returns
    /// whether it may have.
    bool end_if_begun();
    void check_stall(time_point now);
    void follow_stall(stall_decision decision, bool is_lost, time_point now);
    milliseconds stall_timeout() const;
    bool has_alternative(time_point now) const;
    /// Whether another attempt can be sent to another first endpoint than the
    /// one in progress.
    bool has_separate_alternative(time_point now) const;

    /// Sends another attempt while the silent one goes on. The first of the two
    /// that makes progress is kept. If one is superseded already, the attempt
    /// in progress is closed instead.
    void supersede(char const* reason, time_point now);
    /// Returns to the superseded attempt, which replaces the one in progress or
    /// the wait for one. Returns false if there is none.
    bool resume_superseded(char const* cause);
    /// Closes the superseded attempt, if there is one.
    void drop_superseded(char const* cause);
    void fail_superseded(attempt_outcome outcome);
    /// Whether the head of the superseded attempt's response can end the
    /// request.
    bool is_superseded_usable() const;
    void on_superseded_head(http_head const& head);
    void on_superseded_body(std::string_view piece);
    void on_superseded_end();
    /// Returns when the first backoff ends of the endpoints that a new attempt
    /// may be sent to.
    /// @param is_new_request whether the attempts so far do not count
    time_point backoff_end(bool is_new_request, time_point now) const;
    /// Returns the Retry-After time for a refused caller.
    milliseconds retry_delay() const;
    /// The same for a request that found no capacity: gives its caller a turn
    /// of its own, at which it is known when it returns.
    milliseconds schedule_return();

    void send_error(unsigned status, refusal_reason reason,
                    std::optional<milliseconds> retry_after,
                    std::string const& message = {});
    void record_metrics(char const* outcome, time_point now);
    void end_request(char const* outcome, unsigned status);
    /// Records how a caller fares that was refused before.
    void record_return(char const* outcome);
    /// Whether the request may have run, so that it must not be refused.
    bool has_begun() const { return may_have_run_ || event_count_ > 0; }
    bool is_stream() const { return route_->kind_ == route_kind::stream; }
    /// Whether the service is a model that is split over engines.
    bool is_model() const;
    bool is_retryable() const;
    service_runtime& service() { return core_.services_[service_name_]; }

    router_core& core_;
    std::shared_ptr<caller_connection> caller_;
    http_head head_;
    std::string body_;
    time_point received_;
    /// Keeps route_ and service_entry_ alive.
    std::shared_ptr<route_index const> routes_;
    /// Unique within this router process.
    std::uint64_t ticket_ = 0;
    route const* route_ = nullptr;
    std::string service_name_;
    service_entry const* service_entry_ = nullptr;
    caller_request caller_request_;
    workspace_entry const* workspace_ = nullptr;
    time_point deadline_{};
    request_fingerprint fingerprint_ = 0;
    /// The parts of the prompt that other requests may share.
    request_traits prompt_traits_;
    /// The same, and the trait of the request itself.
    request_traits traits_;
    bool is_waiting_ = false;
    /// Whether overload control has counted the start of the request.
    bool is_start_counted_ = false;
    bool was_held_by_share_ = false;
    /// Whether the prompt was long on the last path that was considered, and
    /// whether it is or was held for that.
    bool is_long_ = false;
    bool is_held_ = false;
    bool was_held_ = false;
    /// The expected wait for which the request was refused on arrival.
    std::optional<nanoseconds> refused_wait_;
    /// Set if this router has refused the caller lately.
    std::optional<refused_caller> earlier_refusal_;
    /// Set while the request waits for a retry of another router.
    std::optional<awaited_retry> awaited_retry_;
    bool has_ended_ = false;

    /// The attempt in progress, or the last one. Never null.
    std::unique_ptr<endpoint_attempt> attempt_;
    /// Invariant: nothing of an attempt since was passed on to the caller.
    std::unique_ptr<superseded_attempt> superseded_;

    // Over all attempts.
    attempt_denial last_denial_ = attempt_denial::none;
    /// Why the last failed attempt has ended; for the log.
    char const* last_failure_ = "";
    std::uint32_t send_count_ = 0;
    attempted_endpoints sent_to_;
    bool may_have_run_ = false;
    event_splitter events_;
    std::uint32_t event_count_ = 0;
    std::optional<time_point> first_event_at_;
    /// What the caller of a paused attempt has taken, and when it changed.
    std::uint64_t taken_bytes_ = 0;
    time_point taken_at_{};
    nanoseconds longest_event_gap_{0};
};

} // namespace auburnlb

#endif
