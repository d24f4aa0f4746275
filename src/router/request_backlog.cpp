// Streams that are read no faster than their callers take them.
#include "superseded_attempt.hpp"

namespace auburnlb
{

stream_backlog forwarded_request::current_backlog(time_point now)
{
    stream_backlog backlog;
    backlog.unsent_bytes_ = caller_->unsent_bytes();
    backlog.all_ = core_.memory_->events_;
    backlog.is_paused_ = attempt_->paused_since_.has_value();
    backlog.caller_patience_ = route_->caller_stall_timeout_;
    if (!backlog.is_paused_ || caller_->sent_bytes() != taken_bytes_)
    {
        taken_bytes_ = caller_->sent_bytes();
        taken_at_ = now;
    }
    backlog.idle_time_ = now - taken_at_;
    return backlog;
}

void forwarded_request::check_backlog(time_point now)
{
    if (has_ended_ || attempt_->connection_ == nullptr)
    {
        return;
    }
    switch (decide_on_backlog(current_backlog(now)))
    {
    case backlog_decision::read:
        resume_attempt(now);
        return;
    case backlog_decision::pause:
        pause_attempt(now);
        return;
    case backlog_decision::drop_for_memory:
        drop_caller("memory");
        return;
    case backlog_decision::drop_as_stuck:
        drop_caller("stuck");
        return;
    }
}

bool forwarded_request::is_held_back(time_point now)
{
    if (!attempt_->paused_since_)
    {
        return false;
    }
    check_backlog(now);
    return has_ended_ || attempt_->paused_since_.has_value();
}

void forwarded_request::pause_attempt(time_point now)
{
    if (attempt_->paused_since_)
    {
        return;
    }
    attempt_->paused_since_ = now;
    attempt_->connection_->pause_reading();
    core_.metrics_.add("auburnlb_router_paused_streams_total");
}

void forwarded_request::resume_attempt(time_point now)
{
    if (!attempt_->paused_since_)
    {
        return;
    }
    // The endpoint is not to blame for the pause.
    attempt_->last_progress_at_ += now - *attempt_->paused_since_;
    attempt_->paused_since_.reset();
    attempt_->connection_->resume_reading();
}

void forwarded_request::drop_caller(char const* reason)
{
    core_.metrics_.add("auburnlb_router_dropped_callers_total",
                       std::string("reason=\"") + reason + "\"");
    close_connection(*attempt_);
    caller_->drop();
    end_request("caller_dropped", 0);
}

bool forwarded_request::hold_partial_event(endpoint_attempt& attempt,
                                           event_splitter const& events)
{
    std::size_t const bytes = events.partial_bytes();
    attempt.partial_event_bytes_.set(bytes);
    return has_room_for_event(core_.memory_->events_, bytes);
}

} // namespace auburnlb
