// Eviction of a connection whose request is unfinished or that was never used.
#include "auburnlb/router/caller_connection.hpp"

#include "auburnlb/coordination/body_eviction.hpp"
#include "auburnlb/router/http_status.hpp"

namespace auburnlb
{

namespace
{

/// Requests that made room are forwarded within this time.
constexpr char const* eviction_retry_after_s = "0.200";

/// The request has not run.
http_head eviction_response()
{
    http_head head;
    head.status_ = status_request_timeout;
    head.fields_ = {{"Retry-After", eviction_retry_after_s}};
    return head;
}

} // namespace

std::string_view caller_connection::address() const
{
    std::string_view const peer = channel_->peer();
    return peer.substr(0, peer.rfind(':'));
}

unfinished_request caller_connection::unfinished(time_point now) const
{
    return {address(), head_size_ + body_.size(), progress_.began_at_,
            state(now).quiet_since_, progress_.steady_at_};
}

open_connection caller_connection::state(time_point now) const
{
    if (!has_begun_request_)
    {
        return {true, false, phase_began_at_};
    }
    if (!is_unfinished())
    {
        return {};
    }
    // What has arrived and was not read yet is progress.
    bool const is_quiet =
        now - progress_.progressed_at_ >= min_eviction_silence &&
        !channel_->has_unread_bytes();
    return {false, true, is_quiet ? progress_.progressed_at_ : now};
}

void caller_connection::evict(caller_event reason)
{
    if (!is_unfinished())
    {
        return;
    }
    auto const keep_alive = shared_from_this();
    report(reason);
    is_evicted_ = true;
    reject(eviction_response(), "");
    // The kernel still delivers the response, unless more bytes arrive.
    if (reason == caller_event::body_evicted_for_connection &&
        channel_->is_drained())
    {
        channel_->close();
    }
}

void caller_connection::end_linger()
{
    if (is_closed_ && channel_->is_drained() && !has_unacknowledged_bytes())
    {
        channel_->close();
    }
}

void caller_connection::close_silent()
{
    if (has_begun_request_ || is_closed_ || channel_->has_unread_bytes())
    {
        return;
    }
    report(caller_event::connection_evicted);
    close(true);
}

} // namespace auburnlb
