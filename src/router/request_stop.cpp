// Requests during a planned stop of the router.
#include "superseded_attempt.hpp"

#include <algorithm>

#include "auburnlb/router/http_status.hpp"

namespace auburnlb
{

namespace
{

/// Retry-After while other routers accept requests.
constexpr milliseconds other_router_retry_delay{100};

/// Time from the end of the process until its successor has a configuration.
constexpr milliseconds restart_time{1'000};

/// A response over a path is assumed to take at most this many times its
/// expected time.
constexpr double late_response_margin = 1.5;

/// A call is assumed to take at most this many latency targets.
constexpr int late_call_targets = 4;

} // namespace

bool forwarded_request::is_too_late_to_begin() const
{
    return core_.is_stopping_ && !can_finish_before_stop(core_.clock_.now());
}

milliseconds forwarded_request::call_time() const
{
    return std::chrono::duration_cast<milliseconds>(route_->latency_target_ *
                                                    late_call_targets);
}

milliseconds forwarded_request::stream_time(double tokens,
                                            double event_gap_ms) const
{
    double const events =
        tokens / std::max(1U, service_entry_->model_->steps_per_event_);
    double const first_event_ms =
        attempt_->path_.first_event_ms_ * late_response_margin;
    return milliseconds(
        static_cast<std::int64_t>(first_event_ms + events * event_gap_ms));
}

milliseconds forwarded_request::expected_time() const
{
    if (!is_model())
    {
        return call_time();
    }
    // Before a path is chosen, its times are 0.
    return stream_time(expected_output_tokens(),
                       attempt_->path_.event_gap_ms_ * late_response_margin);
}

milliseconds forwarded_request::longest_time(time_point now) const
{
    if (!may_estimate_longest_time())
    {
        return std::chrono::ceil<milliseconds>(deadline_ - now);
    }
    if (!is_model())
    {
        return call_time();
    }
    // Requests of all routers may fill the batches before the stream ends.
    path_choice const& path = attempt_->path_;
    return stream_time(static_cast<double>(caller_request_.max_output_tokens_),
                       std::max(path.event_gap_ms_ * late_response_margin,
                                path.busy_event_gap_ms_));
}

bool forwarded_request::may_estimate_longest_time() const
{
    if (!is_retryable())
    {
        // A call that must not run twice is not begun on an estimate.
        return false;
    }
    // The latency target of a stream is that of its first event.
    return is_stream() ? is_model() && caller_request_.max_output_tokens_ > 0
                       : true;
}

bool forwarded_request::can_finish_before_stop(time_point now) const
{
    stopping_request request;
    request.received_ = received_;
    request.deadline_ = deadline_;
    request.may_have_run_ = may_have_run_ || event_count_ > 0;
    request.expected_time_ = expected_time();
    request.longest_time_ = longest_time(now);
    return may_send(core_.stop_, request, now);
}

void forwarded_request::refuse_for_stop()
{
    is_waiting_ = false;
    if (end_if_begun())
    {
        return;
    }
    if (core_.is_other_router_accepting_)
    {
        send_error(status_unavailable, refusal_reason::entry_stopping,
                   other_router_retry_delay);
        return;
    }
    // All routers are stopping. The first one to stop is also the first one to
    // be back.
    time_point const own_end = core_.stop_.began_at_ + core_.stop_.limit_;
    time_point const end =
        std::min(core_.first_router_stop_end_.value_or(own_end), own_end);
    auto const left = std::chrono::duration_cast<milliseconds>(
        std::max(end - core_.clock_.now(), nanoseconds(0)));
    send_error(status_unavailable, refusal_reason::entry_stopping,
               left + restart_time);
}

std::optional<stop_ending> forwarded_request::end_for_stop(time_point now)
{
    bool const has_not_run = attempt_->connection_ == nullptr && !may_have_run_;
    stop_ending const ending =
        ending_of(caller_->has_begun_response(), !has_not_run);
    if (now < end_of_request(core_.stop_, ending) &&
        !(is_waiting_ && has_not_run && is_too_late_to_begin()))
    {
        return std::nullopt;
    }
    auto const keep_alive = shared_from_this();
    close_connection(*attempt_);
    stop_waiting();
    switch (ending)
    {
    case stop_ending::refuse:
        refuse_for_stop();
        break;
    case stop_ending::respond_unknown:
        send_error(status_bad_gateway, refusal_reason::call_outcome_unknown,
                   std::nullopt);
        break;
    case stop_ending::abort_response:
        caller_->abort_response();
        end_request("broken_off", 0);
        break;
    }
    return ending;
}

} // namespace auburnlb
