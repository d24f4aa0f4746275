// Handling of the response to an attempt: stream events and whole responses.
#include "superseded_attempt.hpp"

#include <algorithm>
#include <utility>

#include "auburnlb/protocol/status_line.hpp"
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

char const* why_invalid(event_batch const& batch)
{
    if (batch.has_response_head_)
    {
        return "an event contains another response";
    }
    return batch.is_too_large_ ? "an event is too large"
                               : "an event is out of order";
}

} // namespace

bool forwarded_request::is_matching_response(http_head const& head)
{
    return is_response_of(*attempt_, head);
}

response_origin
forwarded_request::origin_of_response(endpoint_attempt const& attempt,
                                      http_head const& head) const
{
    endpoint_response const response = core_.protocol_.read_response_(head);
    head_facts facts;
    facts.names_request_ = !response.request_id_.empty();
    facts.names_awaited_request_ = response.request_id_ == caller_request_.id_;
    facts.is_connection_reused_ = attempt.is_connection_reused_;
    facts.has_repeated_fields_ = response.has_repeated_fields_;
    return origin_of(facts);
}

bool forwarded_request::is_response_of(endpoint_attempt const& attempt,
                                       http_head const& head)
{
    response_origin const origin = origin_of_response(attempt, head);
    if (origin == response_origin::another_request ||
        origin == response_origin::unknown)
    {
        core_.metrics_.add("auburnlb_router_skipped_responses_total",
                           std::string("origin=\"") + to_string(origin) + "\"");
        return false;
    }
    return true;
}

void forwarded_request::on_response_head(http_head const& head)
{
    attempt_->response_head_ = head;
    attempt_->response_ = core_.protocol_.read_response_(head);
    attempt_->progress_.began_at_ = core_.clock_.now();
    if (attempt_->response_.has_repeated_fields_)
    {
        end_attempt(attempt_outcome::broken, "the head is of two responses");
        return;
    }
    read_rate_limit(*attempt_, attempt_->progress_.began_at_);
    read_notices(*attempt_, attempt_->progress_.began_at_);
    attempt_->is_streaming_ = is_stream() && is_success(head.status_) &&
                              attempt_->response_.is_signed_;
    // The superseded attempt may still be the one that is passed on.
    if (attempt_->is_streaming_)
    {
        attempt_->connection_->bound_receive_buffer();
    }
    if (attempt_->is_streaming_ && superseded_ == nullptr)
    {
        begin_stream_response();
    }
}

void forwarded_request::begin_stream_response()
{
    if (!caller_->has_begun_response())
    {
        caller_->begin_response(attempt_->response_head_);
    }
}

void forwarded_request::read_notices(endpoint_attempt const& attempt,
                                     time_point now)
{
    if (attempt.reservations_.empty())
    {
        return;
    }
    if (attempt.response_.is_leaving_)
    {
        core_.metrics_.add("auburnlb_router_leaving_responses_total");
    }
    if (attempt.response_.backoff_)
    {
        core_.metrics_.add("auburnlb_router_backoff_responses_total");
    }
    apply_notices(*attempt.reservations_.front().endpoint_, attempt.response_,
                  now);
}

void forwarded_request::read_rate_limit(endpoint_attempt const& attempt,
                                        time_point now)
{
    bool const is_of_endpoint =
        attempt.response_.is_signed_ || attempt.response_.is_not_executed_;
    if (!is_of_endpoint || attempt.reservations_.empty())
    {
        return;
    }
    known_endpoint& endpoint = *attempt.reservations_.front().endpoint_;
    std::optional<double> const named = attempt.response_.rate_limit_;
    if (record_named_limit(endpoint.rate_limit_, named, attempt.sent_at_, now))
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
    if (attempt_->is_streaming_)
    {
        on_events(events_.feed(piece));
        return;
    }
    if (attempt_->response_body_.size() + piece.size() >
            max_plain_response_bytes ||
        !attempt_->buffered_bytes_.try_add(piece.size()))
    {
        end_attempt(attempt_outcome::broken, "the response is too large");
        return;
    }
    attempt_->response_body_.append(piece);
}

void forwarded_request::on_events(event_batch const& batch)
{
    // A caller that is dropped ends the request.
    auto const keep_alive = shared_from_this();
    if (batch.events_ > 0)
    {
        record_progress(batch.events_);
    }
    bool const is_passed_on = superseded_ == nullptr && !has_ended_;
    if (!batch.bytes_.empty() && is_passed_on)
    {
        begin_stream_response();
        caller_->send_body(batch.bytes_);
        check_backlog(core_.clock_.now());
    }
    if (!batch.is_valid() && !has_ended_)
    {
        end_attempt(attempt_outcome::broken, why_invalid(batch));
        return;
    }
    if (!has_ended_ && !hold_partial_event(*attempt_, events_))
    {
        end_attempt(attempt_outcome::broken, "no room for incomplete events");
    }
}

void forwarded_request::record_progress(std::uint32_t events)
{
    drop_superseded("overtaken");
    time_point const now = core_.clock_.now();
    nanoseconds const gap = now - attempt_->last_progress_at_;
    if (event_count_ > 0)
    {
        longest_event_gap_ = std::max(longest_event_gap_, gap);
    }
    first_event_at_ = first_event_at_.value_or(now);
    attempt_->mean_event_gap_ =
        attempt_->mean_event_gap_ == nanoseconds(0)
            ? gap
            : attempt_->mean_event_gap_ +
                  std::chrono::duration_cast<nanoseconds>(
                      (gap - attempt_->mean_event_gap_) * gap_weight);
    on_first_event(now);
    attempt_->last_progress_at_ = now;
    event_count_ += events;
    attempt_->progress_.events_ += events;
    if (!attempt_->is_prompt_success_recorded_ &&
        has_continued(attempt_->progress_, now))
    {
        attempt_->is_prompt_success_recorded_ = true;
        record_success_of(prompt_traits_);
    }
    for (endpoint_reservation const& each : attempt_->reservations_)
    {
        each.endpoint_->last_progress_ = now;
    }
}

void forwarded_request::on_first_event(time_point now)
{
    for (endpoint_reservation& each : attempt_->reservations_)
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
    finish_exchange(*attempt_);
    if (attempt_->is_streaming_)
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
    if (!attempt_->response_head_.is_framed_ &&
        attempt_->progress_.events_ == 0)
    {
        // Without a length or chunks, the end of the connection tells nothing.
        end_attempt(attempt_outcome::broken,
                    "the stream ended before its first event");
        return;
    }
    record_success_of(traits_);
    begin_stream_response();
    caller_->end_response();
    end_request("complete", attempt_->response_head_.status_);
}

response_facts forwarded_request::facts_of_response() const
{
    response_facts facts;
    facts.is_success_ = is_success(attempt_->response_head_.status_);
    facts.is_server_error_ = is_server_error(attempt_->response_head_.status_);
    facts.is_signed_ = attempt_->response_.is_signed_;
    facts.is_not_executed_ = attempt_->response_.is_not_executed_;
    facts.names_request_ = !attempt_->response_.request_id_.empty();
    facts.is_connection_reused_ = attempt_->is_connection_reused_;
    facts.is_unframed_and_empty_ = !attempt_->response_head_.is_framed_ &&
                                   attempt_->response_body_.empty() &&
                                   head_.method_ != "HEAD";
    // A body may contain a status line of its own; with bytes after it or
    // without a length, it may as well be that of another response.
    bool const is_end_certain = attempt_->response_head_.is_framed_ &&
                                attempt_->following_bytes_.empty();
    facts.contains_response_ =
        !is_end_certain && begins_status_line(attempt_->response_body_,
                                              attempt_->following_bytes_);
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
    for (endpoint_reservation const& each : attempt_->reservations_)
    {
        record_health_signal(each.endpoint_->health_, health_signal::success,
                             now);
    }
    record_success_of(traits_);
    caller_->send_response(attempt_->response_head_, attempt_->response_body_);
    end_request("complete", attempt_->response_head_.status_);
}

void forwarded_request::on_exchange_failed(exchange_failure failure)
{
    attempt_->connection_.reset();
    switch (failure)
    {
    case exchange_failure::refused:
        if (may_only_return())
        {
            // The request ends if its other endpoints are gone as well.
            core_.prober_.probe(attempt_->reservations_.front().endpoint_);
        }
        [[fallthrough]];
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
