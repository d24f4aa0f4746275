// Waiting for capacity: the entry in the queue, refusals, and when a refused
// caller is to return.
#include "superseded_attempt.hpp"

#include <algorithm>
#include <utility>

#include "auburnlb/coordination/next_endpoint.hpp"
#include "auburnlb/coordination/request_rank.hpp"
#include "auburnlb/coordination/start_order.hpp"
#include "auburnlb/router/http_status.hpp"

namespace auburnlb
{

namespace
{

/// Part of the caller's patience that a request may wait in the queue; the rest
/// is needed to produce the first event.
constexpr double max_wait_share = 0.7;

/// Minimum time that a response of a plain service takes.
constexpr milliseconds min_plain_response_time{20};

/// A started stream precedes all requests that have not started.
constexpr std::int32_t started_stream_priority = -1;

/// Retry-After for callers of plain services.
constexpr milliseconds plain_retry_delay{30};

} // namespace

std::int32_t forwarded_request::priority() const
{
    return workspace_priority().value_or(route_->priority_);
}

std::optional<std::int32_t> forwarded_request::workspace_priority() const
{
    return workspace_ == nullptr ? std::nullopt : workspace_->priority_;
}

milliseconds forwarded_request::time_since_refusal() const
{
    return earlier_refusal_ ? std::chrono::duration_cast<milliseconds>(
                                  received_ - earlier_refusal_->refused_at_)
                            : milliseconds(0);
}

waiting_request forwarded_request::make_queue_entry(time_point now)
{
    waiting_request entry;
    entry.ticket_ = ticket_;
    entry.priority_ = priority();
    entry.arrived_ = now;
    entry.latest_on_time_start_ = received_ + route_->latency_target_ * 2 / 3;
    entry.expires_at_ = deadline_ - min_plain_response_time;
    entry.deadline_ = deadline_;
    entry.workspace_ = workspace_ == nullptr ? "" : workspace_->name_;
    if (is_model())
    {
        entry.tokens_ =
            std::max(1.0, static_cast<double>(caller_request_.prompt_tokens_) +
                              expected_output_tokens());
    }
    entry.is_repeat_ = send_count_ > 0;
    entry.has_begun_ = has_begun();
    if (core_.options_.controls_overload_)
    {
        entry.priority_ = rank_of(workspace_priority(), route_->priority_);
        if (earlier_refusal_)
        {
            entry.has_turn_ = received_ >= earlier_refusal_->turn_;
            entry.latest_on_time_start_ -= time_since_refusal();
        }
    }
    if (!is_stream())
    {
        return entry;
    }
    // Once a stream has started, the caller's patience is counted from the last
    // event.
    time_point const since =
        event_count_ > 0 ? attempt_->last_progress_at_ : received_;
    if (event_count_ > 0)
    {
        entry.priority_ = started_stream_priority;
        entry.latest_on_time_start_ = since + route_->max_event_gap_;
    }
    auto const patience = std::chrono::duration_cast<milliseconds>(
        route_->caller_stall_timeout_ * max_wait_share);
    entry.expires_at_ = std::min(entry.expires_at_, since + patience);
    return entry;
}

bool forwarded_request::may_only_return() const
{
    return sent_to_.ids_.size() >= route_->max_attempts_;
}

bool forwarded_request::has_no_endpoint_left() const
{
    return may_only_return() &&
           !has_endpoint_left(endpoints_of(core_.directory_, service_name_),
                              sent_to_, route_->max_attempts_);
}

void forwarded_request::enqueue(time_point now)
{
    waiting_request const entry = make_queue_entry(now);
    service_runtime& runtime = service();
    // A request that has not run and has no other endpoint left does better as
    // a new one.
    bool const may_come_back =
        may_only_return() && !may_have_run_ && event_count_ == 0;
    if (has_no_endpoint_left() || is_refused_by_queue(entry, now) ||
        is_backoff_too_long(entry, backoff_end(false, now),
                            may_come_back && !entry.has_turn_))
    {
        refuse_waiting(now);
        return;
    }
    is_waiting_ = true;
    add_waiting(runtime.queue_, entry);
    runtime.waiting_[ticket_] = shared_from_this();
}

bool forwarded_request::is_refused_by_queue(waiting_request const& entry,
                                            time_point now)
{
    wait_queue const& queue = service().queue_;
    if (!core_.options_.controls_overload_)
    {
        return would_expire(queue, entry);
    }
    if (!is_refused_on_arrival(queue, entry, now))
    {
        return false;
    }
    refused_wait_ = expected_fair_wait(queue, entry, now);
    core_.metrics_.add("auburnlb_router_refused_on_arrival_total",
                       "service=\"" + service_name_ + "\",priority=\"" +
                           std::to_string(priority()) + "\"");
    return true;
}

void forwarded_request::record_started(time_point now)
{
    wait_queue& queue = service().queue_;
    core_.metrics_.observe("auburnlb_router_wait_seconds",
                           "service=\"" + service_name_ + "\",priority=\"" +
                               std::to_string(priority()) + "\"",
                           now - received_);
    // The wait of a held prompt does not show how fast the endpoints could
    // start other requests.
    if (was_held_ || only_held_wait(service()))
    {
        queue.last_start_ = now;
    }
    else
    {
        record_start(queue, now);
    }
    // An attempt that the endpoint rejects is followed by one that counts no
    // more.
    if (core_.options_.controls_overload_ &&
        !std::exchange(is_start_counted_, true))
    {
        record_first_start(queue, make_queue_entry(now), now);
    }
}

void forwarded_request::refuse_waiting(time_point)
{
    is_waiting_ = false;
    if (resume_superseded("no_capacity"))
    {
        return;
    }
    last_denial_ = attempt_denial::capacity;
    if (!end_if_begun())
    {
        send_error(status_unavailable, refusal_reason::overloaded,
                   schedule_return());
    }
}

time_point forwarded_request::backoff_end(bool is_new_request,
                                          time_point now) const
{
    auto endpoints = endpoints_of(core_.directory_, service_name_);
    std::vector<std::string> const attempted =
        is_new_request ? std::vector<std::string>() : sent_to_.ids_;
    bool const is_limited = !is_new_request && may_only_return();
    if (is_model())
    {
        return auburnlb::backoff_end(
            path_begins(endpoints,
                        is_limited ? attempted : std::vector<std::string>()),
            now);
    }
    bool const returns = is_limited && is_stream();
    std::erase_if(endpoints,
                  [&attempted, returns](endpoint_ptr const& each)
                  {
                      bool const was_attempted =
                          std::find(attempted.begin(), attempted.end(),
                                    each->record_.id_) != attempted.end();
                      return was_attempted != returns;
                  });
    return auburnlb::backoff_end(endpoints, now);
}

milliseconds forwarded_request::retry_delay() const
{
    // A short call may reach another endpoint at once; a stream has to wait for
    // capacity.
    milliseconds const delay =
        is_stream() ? retry_after(core_.services_[service_name_].queue_)
                    : plain_retry_delay;
    time_point const now = core_.clock_.now();
    return std::max(
        delay, std::chrono::ceil<milliseconds>(backoff_end(true, now) - now));
}

milliseconds forwarded_request::schedule_return()
{
    if (!core_.options_.controls_overload_)
    {
        return retry_delay();
    }
    time_point const now = core_.clock_.now();
    milliseconds delay = plain_retry_delay;
    if (is_stream())
    {
        delay = take_return_turn(service().queue_, make_queue_entry(now), now);
    }
    delay = std::max(
        delay, std::chrono::ceil<milliseconds>(backoff_end(true, now) - now));
    remember_refused_caller(service().refused_callers_, fingerprint_, delay,
                            now);
    return delay;
}

} // namespace auburnlb
