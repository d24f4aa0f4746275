// Handling of failed attempts: health records, stall detection and retries.
#include "superseded_attempt.hpp"

#include <algorithm>
#include <utility>

#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// Minimum time from sending a request to its response. An attempt with less
/// time left would fail.
constexpr milliseconds min_attempt_time{30};

/// A stream is stalled after this many expected event gaps without an event,
/// within the bounds below.
constexpr double stall_gap_factor = 4;

constexpr milliseconds min_gap_stall_timeout{120};

constexpr milliseconds max_gap_stall_timeout{700};

/// The same before the first event, in multiples of its expected time.
constexpr double first_event_stall_factor = 3;

constexpr milliseconds min_first_event_stall_timeout{200};

constexpr milliseconds max_first_event_stall_timeout{900};

/// An idempotent call is retried elsewhere after this many latency targets.
constexpr double call_stall_factor = 1.5;

/// Number of stall timeouts after which an attempt is aborted although all its
/// engines respond to probes.
constexpr int max_slow_stalls = 4;

/// Longest wait for a retry of another router. Its callers' streams stand still
/// meanwhile.
constexpr milliseconds max_retry_wait{400};

/// Upper limit of sends per request, including the first one.
constexpr std::uint32_t max_sends = 5;

milliseconds clamp_ms(double value, milliseconds low, milliseconds high)
{
    return std::clamp(milliseconds(static_cast<std::int64_t>(value)), low,
                      high);
}

} // namespace

attempt_limits forwarded_request::current_limits(attempt_outcome outcome,
                                                 time_point now) const
{
    attempt_limits limits;
    limits.may_repeat_ = is_retryable();
    // A stream that was sent to all the endpoints that its route allows can
    // still be sent to one of them again.
    limits.max_sends_ =
        is_stream() ? max_sends : std::min(route_->max_attempts_, max_sends);
    limits.sends_ = send_count_;
    limits.has_time_ = deadline_ - now > min_attempt_time;
    limits.may_have_run_ = may_have_run_;
    limits.is_suspect_ = is_suspected(core_.crash_causes_, traits_);
    limits.has_delivered_ = caller_->has_begun_response();
    auto& runtime = core_.services_[service_name_];
    double const left =
        retries_left(retries_of(core_, service_name_), core_.options_.retries_,
                     core_.router_count_, now);
    limits.has_budget_ = outcome == attempt_outcome::not_sent || left >= 1;
    bool const has_waited = awaited_retry_ && now >= awaited_retry_->end_;
    limits.may_borrow_ = core_.live_router_count_ > 1 && !has_waited &&
                         may_borrow(runtime.borrowing_, now);
    return limits;
}

void forwarded_request::record_attempt_outcome(attempt_outcome outcome,
                                               time_point now)
{
    if (outcome == attempt_outcome::not_sent)
    {
        --send_count_;
        undo_last_attempt(sent_to_);
    }
    else if (outcome != attempt_outcome::refused)
    {
        may_have_run_ = true;
    }
    record_failure(*attempt_, outcome, now);
}

void forwarded_request::end_attempt(attempt_outcome outcome, char const* reason)
{
    auto const keep_alive = shared_from_this();
    time_point const now = core_.clock_.now();
    last_failure_ = reason;
    close_connection(*attempt_);
    record_attempt_outcome(outcome, now);
    release_reservations(*attempt_);
    follow_attempt(outcome, current_limits(outcome, now), reason, now);
}

void forwarded_request::follow_attempt(attempt_outcome outcome,
                                       attempt_limits const& limits,
                                       char const* reason, time_point now)
{
    last_denial_ = denial_after(outcome, limits);
    attempt_decision const decision = decide_after(outcome, limits);
    bool const goes_on = decision == attempt_decision::retry ||
                         decision == attempt_decision::await_budget;
    if (!goes_on && resume_superseded(to_string(outcome)))
    {
        return;
    }
    switch (decision)
    {
    case attempt_decision::retry:
        retry(*attempt_, outcome, reason, now);
        return;
    case attempt_decision::await_budget:
        await_retry(outcome, reason, now);
        return;
    case attempt_decision::respond_not_run:
        send_error(status_unavailable, refusal_reason::engine_failed,
                   retry_delay());
        return;
    case attempt_decision::respond_unknown:
        send_error(status_bad_gateway, refusal_reason::call_outcome_unknown,
                   std::nullopt);
        return;
    case attempt_decision::forward_error:
        caller_->send_response(attempt_->response_head_,
                               attempt_->response_body_);
        end_request("endpoint_error", attempt_->response_head_.status_);
        return;
    case attempt_decision::abort_response:
        caller_->abort_response();
        end_request("broken_off", 0);
        return;
    }
}

void forwarded_request::await_retry(attempt_outcome outcome, char const* reason,
                                    time_point now)
{
    awaited_retry_ = {outcome, reason, now + max_retry_wait};
    ++service().borrowing_.waiting_;
    core_.metrics_.add("auburnlb_router_awaited_retries_total",
                       std::string("reason=\"") + to_string(outcome) + "\"");
}

void forwarded_request::check_awaited_retry(time_point now)
{
    awaited_retry const awaited = *awaited_retry_;
    attempt_limits const limits = current_limits(awaited.outcome_, now);
    if (decide_after(awaited.outcome_, limits) ==
        attempt_decision::await_budget)
    {
        return;
    }
    stop_awaiting_retry();
    follow_attempt(awaited.outcome_, limits, awaited.reason_, now);
}

void forwarded_request::stop_awaiting_retry()
{
    if (awaited_retry_)
    {
        awaited_retry_.reset();
        --service().borrowing_.waiting_;
    }
}

void forwarded_request::retry(endpoint_attempt const& last,
                              attempt_outcome outcome, char const* reason,
                              time_point now)
{
    if (outcome != attempt_outcome::not_sent)
    {
        try_acquire_retry(retries_of(core_, service_name_),
                          core_.options_.retries_, core_.router_count_, now);
    }
    core_.metrics_.add("auburnlb_router_repeats_total",
                       std::string("reason=\"") + to_string(outcome) + "\"");
    log(log_level::info, log_event::stream_resumed,
        {{"request", caller_request_.id_},
         {"peer", sent_to_.last_id_},
         {"reason", to_string(outcome)},
         {"events", std::to_string(event_count_)},
         {"began", last.is_streaming_ ? "true" : "false"},
         {"backoff_ms", last.response_.backoff_
                            ? std::to_string(last.response_.backoff_->count())
                            : ""},
         {"leaving", last.response_.is_leaving_ ? "true" : "false"},
         {"parts", to_string(prompt_traits_)},
         {"path", to_string(last.path_.path_)}},
        reason);
    if (!try_start(now))
    {
        enqueue(now);
    }
}

void forwarded_request::record_failure(endpoint_attempt const& attempt,
                                       attempt_outcome outcome, time_point now)
{
    if (attempt.reservations_.empty())
    {
        return;
    }
    endpoint_health& first_health =
        attempt.reservations_.front().endpoint_->health_;
    switch (outcome)
    {
    case attempt_outcome::not_sent:
        record_health_signal(first_health, health_signal::unreachable, now);
        probe_interrupted_run(attempt);
        return;
    case attempt_outcome::refused:
        record_refusal(attempt, now);
        return;
    case attempt_outcome::failed:
        record_health_signal(first_health, health_signal::failure, now);
        return;
    case attempt_outcome::broken:
        record_health_signal(first_health, health_signal::failure, now);
        record_interrupted_run(attempt, now);
        core_.prober_.probe(attempt.reservations_.front().endpoint_);
        return;
    case attempt_outcome::silent:
        // The unresponsive engines were recorded when the stall was detected.
        return;
    }
}

void forwarded_request::record_refusal(endpoint_attempt const& attempt,
                                       time_point now)
{
    known_endpoint* faulty = attempt.reservations_.front().endpoint_.get();
    for (endpoint_reservation const& each : attempt.reservations_)
    {
        if (each.endpoint_->record_.address_ ==
            attempt.response_.faulty_address_)
        {
            faulty = each.endpoint_.get();
        }
    }
    if (attempt.response_head_.status_ == status_misdirected)
    {
        faulty->layers_missing_until_ = now + missing_layers_backoff;
    }
    else if (attempt.response_head_.status_ == status_unavailable &&
             is_model() && !attempt.response_.is_leaving_ &&
             !attempt.response_.backoff_)
    {
        faulty->rejected_at_ = now;
    }
    record_health_signal(faulty->health_, health_signal::refusal, now);
}

bool forwarded_request::record_unresponsive(time_point now)
{
    bool is_found = false;
    for (endpoint_reservation const& each : attempt_->reservations_)
    {
        known_endpoint& endpoint = *each.endpoint_;
        if (has_failed_since(endpoint, attempt_->last_progress_at_))
        {
            record_health_signal(endpoint.health_, health_signal::silence, now);
            is_found = true;
        }
    }
    return is_found;
}

void forwarded_request::probe_unresponsive(time_point since)
{
    for (endpoint_reservation const& each : attempt_->reservations_)
    {
        if (!has_responded_since(*each.endpoint_, since))
        {
            core_.prober_.probe(each.endpoint_);
        }
    }
}

milliseconds forwarded_request::stall_timeout() const
{
    if (!is_stream())
    {
        return std::chrono::duration_cast<milliseconds>(
            route_->latency_target_ * call_stall_factor);
    }
    if (!attempt_->is_streaming_ || attempt_->mean_event_gap_ == nanoseconds(0))
    {
        return clamp_ms(
            first_event_stall_factor * attempt_->path_.first_event_ms_,
            min_first_event_stall_timeout, max_first_event_stall_timeout);
    }
    double const observed =
        std::chrono::duration<double, std::milli>(attempt_->mean_event_gap_)
            .count();
    return clamp_ms(stall_gap_factor *
                        std::max(observed, attempt_->path_.event_gap_ms_),
                    min_gap_stall_timeout, max_gap_stall_timeout);
}

void forwarded_request::check_stall(time_point now)
{
    if (!is_retryable())
    {
        return;
    }
    milliseconds const limit = stall_timeout();
    auto const idle_time = now - attempt_->last_progress_at_;
    bool const is_model = !attempt_->path_.path_.parts_.empty();
    if (is_model && idle_time >= limit / 2)
    {
        probe_unresponsive(now - limit / 2);
    }
    if (idle_time < limit + attempt_->stall_extension_)
    {
        return;
    }
    // Engines that respond to probes are slow rather than lost; the attempt
    // continues unless it takes far too long.
    bool const is_lost = record_unresponsive(now);
    if (is_model && !is_lost && idle_time < max_slow_stalls * limit)
    {
        return;
    }
    attempt_limits const limits = current_limits(attempt_outcome::silent, now);
    stalled_attempt stalled;
    stalled.idle_time_ = idle_time;
    stalled.caller_patience_ = route_->caller_stall_timeout_;
    stalled.has_ended_engine_ = has_ended_engine(*attempt_);
    stalled.has_alternative_ = decide_after(attempt_outcome::silent, limits) ==
                                   attempt_decision::retry &&
                               has_alternative(now);
    stalled.has_separate_alternative_ =
        stalled.has_alternative_ && has_separate_alternative(now);
    follow_stall(decide_after_stall(stalled), is_lost, now);
}

void forwarded_request::follow_stall(stall_decision decision, bool is_lost,
                                     time_point now)
{
    char const* const reason = is_lost ? "an engine is lost" : "no progress";
    switch (decision)
    {
    case stall_decision::wait:
        // The endpoint may still make progress.
        attempt_->stall_extension_ += stall_timeout();
        return;
    case stall_decision::supersede:
        supersede(reason, now);
        return;
    case stall_decision::give_up:
        end_attempt(attempt_outcome::silent, reason);
        return;
    }
}

} // namespace auburnlb
