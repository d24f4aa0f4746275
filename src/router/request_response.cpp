// Handling of the response to an attempt: stream events and whole responses.
#include "auburnlb/router/forwarded_request.hpp"

#include <algorithm>
#include <utility>

#include "auburnlb/router/endpoint_notices.hpp"
#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// Maximum size of a plain service's response, which is buffered.
constexpr std::size_t max_plain_response_bytes = std::size_t{16} * 1024 * 1024;

/// Weight of the latest gap in the moving average.
constexpr double gap_weight = 0.2;

} // namespace

bool forwarded_request::is_matching_response(http_head const& head)
{
    std::string const id = core_.protocol_.read_response_(head).request_id_;
    return id.empty() || id == caller_request_.id_;
}

void forwarded_request::on_response_head(http_head const& head)
{
    response_head_ = head;
    response_ = core_.protocol_.read_response_(head);
    progress_.began_at_ = core_.clock_.now();
    read_rate_limit(progress_.began_at_);
    read_notices(progress_.began_at_);
    is_streaming_ =
        is_stream() && is_success(head.status_) && response_.is_signed_;
    if (is_streaming_ && !caller_->has_begun_response())
    {
        caller_->begin_response(head);
    }
}

void forwarded_request::read_notices(time_point now)
{
    if (reservations_.empty())
    {
        return;
    }
    if (response_.is_leaving_)
    {
        core_.metrics_.add("auburnlb_router_leaving_responses_total");
    }
    if (response_.backoff_)
    {
        core_.metrics_.add("auburnlb_router_backoff_responses_total");
    }
    apply_notices(*reservations_.front().endpoint_, response_, now);
}

void forwarded_request::read_rate_limit(time_point now)
{
    bool const is_of_endpoint =
        response_.is_signed_ || response_.is_not_executed_;
    if (!is_of_endpoint || reservations_.empty())
    {
        return;
    }
    known_endpoint& endpoint = *reservations_.front().endpoint_;
    std::optional<double> const named = response_.rate_limit_;
    if (record_named_limit(endpoint.rate_limit_, named, sent_at_, now))
    {
        log(log_level::info, log_event::rate_limit_changed,
            {{"peer", endpoint.record_.id_},
             {"per_s", named ? std::to_string(*named) : ""}},
            named ? "an endpoint limits its requests"
                  : "an endpoint limits its requests no longer");
    }
}

void forwarded_request::on_response_body(std::string_view piece)
{
    if (is_streaming_)
    {
        on_events(piece);
        return;
    }
    if (response_body_.size() + piece.size() > max_plain_response_bytes ||
        !buffered_bytes_.try_add(piece.size()))
    {
        end_attempt(attempt_outcome::broken, "the response is too large");
        return;
    }
    response_body_.append(piece);
}

void forwarded_request::on_events(std::string_view piece)
{
    event_batch const batch = events_.feed(piece);
    if (batch.events_ > 0)
    {
        record_progress(batch.events_);
    }
    if (!batch.bytes_.empty() && !has_ended_)
    {
        caller_->send_body(batch.bytes_);
    }
    bool const is_valid = !batch.is_out_of_order_ && !batch.is_too_large_;
    if (!is_valid && !has_ended_)
    {
        end_attempt(attempt_outcome::broken, batch.is_too_large_
                                                 ? "an event is too large"
                                                 : "an event is out of order");
    }
}

void forwarded_request::record_progress(std::uint32_t events)
{
    time_point const now = core_.clock_.now();
    nanoseconds const gap = now - last_progress_at_;
    if (event_count_ > 0)
    {
        longest_event_gap_ = std::max(longest_event_gap_, gap);
    }
    first_event_at_ = first_event_at_.value_or(now);
    mean_event_gap_ =
        mean_event_gap_ == nanoseconds(0)
            ? gap
            : mean_event_gap_ + std::chrono::duration_cast<nanoseconds>(
                                    (gap - mean_event_gap_) * gap_weight);
    on_first_event(now);
    last_progress_at_ = now;
    event_count_ += events;
    progress_.events_ += events;
    if (!is_prompt_success_recorded_ && is_success(progress_, now))
    {
        is_prompt_success_recorded_ = true;
        record_success(core_.crash_causes_, prompt_traits_, now);
    }
    for (reservation const& each : reservations_)
    {
        each.endpoint_->last_progress_ = now;
    }
}

void forwarded_request::on_first_event(time_point now)
{
    for (reservation& each : reservations_)
    {
        if (each.load_.prefill_backlog_ > 0)
        {
            subtract_load(*each.endpoint_, {0, 0, each.load_.prefill_backlog_});
            each.load_.prefill_backlog_ = 0;
            record_health_signal(each.endpoint_->health_,
                                 health_signal::success, now);
        }
    }
}

void forwarded_request::on_response_end()
{
    connection_.reset();
    if (is_streaming_)
    {
        finish_stream();
        return;
    }
    finish_response();
}

void forwarded_request::finish_stream()
{
    if (events_.is_inside_event())
    {
        end_attempt(attempt_outcome::broken,
                    "the stream ended within an event");
        return;
    }
    if (!response_head_.is_framed_ && progress_.events_ == 0)
    {
        // Without a length or chunks, the end of the connection tells nothing.
        end_attempt(attempt_outcome::broken,
                    "the stream ended before its first event");
        return;
    }
    record_success(core_.crash_causes_, traits_, core_.clock_.now());
    caller_->end_response();
    end_request("complete", response_head_.status_);
}

response_facts forwarded_request::facts_of_response() const
{
    response_facts facts;
    facts.is_success_ = is_success(response_head_.status_);
    facts.is_server_error_ = is_server_error(response_head_.status_);
    facts.is_signed_ = response_.is_signed_;
    facts.is_not_executed_ = response_.is_not_executed_;
    facts.names_request_ = !response_.request_id_.empty();
    facts.is_connection_reused_ = is_connection_reused_;
    facts.is_unframed_and_empty_ = !response_head_.is_framed_ &&
                                   response_body_.empty() &&
                                   head_.method_ != "HEAD";
    facts.has_begun_ = caller_->has_begun_response();
    return facts;
}

void forwarded_request::finish_response()
{
    if (auto const failure = check_response(facts_of_response()))
    {
        end_attempt(failure->outcome_, failure->reason_);
        return;
    }
    time_point const now = core_.clock_.now();
    for (reservation const& each : reservations_)
    {
        record_health_signal(each.endpoint_->health_, health_signal::success,
                             now);
    }
    record_success(core_.crash_causes_, traits_, now);
    caller_->send_response(response_head_, response_body_);
    end_request("complete", response_head_.status_);
}

void forwarded_request::on_exchange_failed(exchange_failure failure)
{
    connection_.reset();
    switch (failure)
    {
    case exchange_failure::not_connected:
        end_attempt(attempt_outcome::not_sent,
                    "the connection could not be established");
        return;
    case exchange_failure::broken:
        end_attempt(attempt_outcome::broken, "the connection broke");
        return;
    case exchange_failure::malformed:
        end_attempt(attempt_outcome::broken, "the response is malformed");
        return;
    }
}

} // namespace auburnlb
