// Two attempts of one request: a silent one, and the one sent in its place.
#include "superseded_attempt.hpp"

#include <string>
#include <utility>

#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

constexpr char counter[] = "auburnlb_router_superseded_attempts_total";

std::string outcome_label(char const* outcome)
{
    return "outcome=\"" + std::string(outcome) + "\"";
}

} // namespace

forwarded_request::~forwarded_request() = default;

std::string forwarded_request::superseded_endpoint() const
{
    return superseded_ == nullptr ? ""
                                  : superseded_->attempt_->reservations_.front()
                                        .endpoint_->record_.id_;
}

void forwarded_request::supersede(char const* reason, time_point now)
{
    auto const keep_alive = shared_from_this();
    if (superseded_ != nullptr)
    {
        // The older attempt has got as far, and may be further.
        end_attempt(attempt_outcome::silent, reason);
        return;
    }
    record_attempt_outcome(attempt_outcome::silent, now);
    superseded_ = std::make_unique<superseded_attempt>(
        *this, std::move(attempt_), events_);
    endpoint_attempt const& silent = *superseded_->attempt_;
    attempt_ = std::make_unique<endpoint_attempt>(*core_.memory_);
    attempt_->last_progress_at_ = silent.last_progress_at_;
    retry(silent, attempt_outcome::silent, reason, now);
}

bool forwarded_request::resume_superseded(char const* cause)
{
    if (superseded_ == nullptr)
    {
        return false;
    }
    auto const old = std::move(superseded_);
    stop_waiting();
    stop_awaiting_retry();
    close_connection(*attempt_);
    release_reservations(*attempt_);
    attempt_ = std::move(old->attempt_);
    events_ = std::move(old->events_);
    if (attempt_->connection_ != nullptr)
    {
        attempt_->connection_->set_receiver(*this);
    }
    attempt_->stall_extension_ = std::chrono::duration_cast<milliseconds>(
        core_.clock_.now() - attempt_->last_progress_at_);
    core_.metrics_.add(counter, outcome_label("resumed"));
    log(log_level::info, log_event::superseded_attempt_resumed,
        {{"request", caller_request_.id_},
         {"peer", attempt_->reservations_.front().endpoint_->record_.id_},
         {"reason", cause},
         {"events", std::to_string(event_count_)}},
        "the attempt that was silent goes on");
    return true;
}

void forwarded_request::drop_superseded(char const* cause)
{
    if (superseded_ == nullptr)
    {
        return;
    }
    auto const old = std::move(superseded_);
    close_connection(*old->attempt_);
    release_reservations(*old->attempt_);
    core_.metrics_.add(counter, outcome_label(cause));
}

void forwarded_request::fail_superseded(attempt_outcome outcome)
{
    auto const keep_alive = shared_from_this();
    // A crash that this shows may end the request.
    auto const old = std::move(superseded_);
    close_connection(*old->attempt_);
    record_failure(*old->attempt_, outcome, core_.clock_.now());
    release_reservations(*old->attempt_);
    core_.metrics_.add(counter, outcome_label(to_string(outcome)));
}

bool forwarded_request::is_superseded_usable() const
{
    endpoint_attempt const& attempt = *superseded_->attempt_;
    unsigned const status = attempt.response_head_.status_;
    bool const is_final =
        attempt.response_.is_signed_ && !attempt.response_.is_not_executed_ &&
        !attempt.response_.has_repeated_fields_ && !is_server_error(status);
    return is_final && (is_success(status) || !caller_->has_begun_response());
}

void forwarded_request::on_superseded_head(http_head const& head)
{
    auto const keep_alive = shared_from_this();
    endpoint_attempt& attempt = *superseded_->attempt_;
    attempt.response_head_ = head;
    attempt.response_ = core_.protocol_.read_response_(head);
    if (is_superseded_usable())
    {
        resume_superseded("progress");
        on_response_head(head);
        return;
    }
    if (attempt.response_.has_repeated_fields_)
    {
        fail_superseded(attempt_outcome::broken);
        return;
    }
    time_point const now = core_.clock_.now();
    read_rate_limit(attempt, now);
    read_notices(attempt, now);
    fail_superseded(attempt.response_.is_not_executed_
                        ? attempt_outcome::refused
                        : attempt_outcome::failed);
}

void forwarded_request::on_superseded_body(std::string_view piece)
{
    auto const keep_alive = shared_from_this();
    if (!superseded_->attempt_->is_streaming_)
    {
        if (!is_superseded_usable())
        {
            fail_superseded(attempt_outcome::failed);
            return;
        }
        resume_superseded("progress");
        on_response_body(piece);
        return;
    }
    event_batch batch = superseded_->events_.feed(piece);
    bool const is_usable =
        batch.is_valid() &&
        hold_partial_event(*superseded_->attempt_, superseded_->events_);
    if (!is_usable)
    {
        fail_superseded(attempt_outcome::broken);
        return;
    }
    // A stalled engine may go on sending comments.
    if (batch.events_ > 0)
    {
        // The batch refers to the splitter's buffer, which is moved.
        std::string const events(batch.bytes_);
        batch.bytes_ = events;
        resume_superseded("progress");
        on_events(batch);
    }
}

void forwarded_request::on_superseded_end()
{
    auto const keep_alive = shared_from_this();
    endpoint_attempt& attempt = *superseded_->attempt_;
    finish_exchange(attempt);
    // Without a length or chunks, the end of the connection tells nothing.
    bool const may_be_cut =
        superseded_->events_.is_inside_event() ||
        (!attempt.response_head_.is_framed_ && attempt.progress_.events_ == 0);
    if (may_be_cut)
    {
        fail_superseded(attempt_outcome::broken);
        return;
    }
    resume_superseded("progress");
    on_response_end();
}

} // namespace auburnlb
