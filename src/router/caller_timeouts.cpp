// Timeouts of idle caller connections and of requests that are being read.
#include "auburnlb/router/caller_connection.hpp"

#include <algorithm>

#include "auburnlb/router/http_status.hpp"

namespace auburnlb
{

bool caller_connection::is_idle_time_over(time_point now) const
{
    // A shorter limit holds from the next response on, which tells the caller.
    milliseconds const allowed =
        std::max(announced_idle_timeout_, service_.limits().idle_timeout_);
    return now - phase_began_at_ > allowed + idle_close_margin;
}

void caller_connection::close_if_idle(time_point now)
{
    if (!channel_->is_drained())
    {
        // The caller has not got its last response yet.
        phase_began_at_ = now;
        return;
    }
    if (!is_idle_time_over(now) || !is_idle())
    {
        return;
    }
    if (channel_->has_unacknowledged_bytes())
    {
        phase_began_at_ = now;
        return;
    }
    report(caller_event::idle_close);
    // A request that crosses the close stays unread: what was not accepted
    // cannot be lost.
    close(true);
}

void caller_connection::on_tick(time_point now)
{
    if (is_serving_ || is_closed_)
    {
        return;
    }
    if (!reader_.is_inside_message())
    {
        close_if_idle(now);
        return;
    }
    milliseconds const stall_time = service_.body_stall();
    if (reader_.is_inside_body() && stall_time > milliseconds(0) &&
        is_stalled(progress_, stall_time, now) && !channel_->has_unread_bytes())
    {
        evict(caller_event::body_stalled);
        return;
    }
    // The body gets as much time again as the head.
    milliseconds const allowed = reader_.is_inside_body()
                                     ? 2 * message_limits_.header_timeout_
                                     : message_limits_.header_timeout_;
    // The rest may have arrived while the process was paused.
    if (now - phase_began_at_ > allowed && !channel_->has_unread_bytes())
    {
        reject(status_request_timeout);
    }
}

} // namespace auburnlb
