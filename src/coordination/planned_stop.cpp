// Decisions on requests during a planned stop.
#include "auburnlb/coordination/planned_stop.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

/// Part of the limit in which the last answers are written.
constexpr milliseconds answers_reserve{600};
/// Part of the limit that is reserved for the exit of the process.
constexpr milliseconds exit_reserve{250};
/// A short limit divided by these bounds the reserves.
constexpr int answers_divisor = 4;
constexpr int exit_divisor = 8;

} // namespace

time_point answers_end(planned_stop const& stop)
{
    return stop.began_at_ + stop.limit_ -
           std::min(answers_reserve, stop.limit_ / answers_divisor);
}

time_point process_end(planned_stop const& stop)
{
    return stop.began_at_ + stop.limit_ -
           std::min(exit_reserve, stop.limit_ / exit_divisor);
}

bool is_notice_over(planned_stop const& stop, time_point now)
{
    return now - stop.began_at_ > balancer_notice_time;
}

bool may_send(planned_stop const& stop, stopping_request const& request,
              time_point now)
{
    if (request.may_have_run_)
    {
        return true;
    }
    nanoseconds const left = answers_end(stop) - now;
    if (left < min_request_time)
    {
        return false;
    }
    if (request.deadline_ <= answers_end(stop))
    {
        return true;
    }
    // The load balancer still sends callers here, and few take the longest
    // time.
    bool const is_within_notice = !is_notice_over(stop, request.received_);
    milliseconds const time =
        is_within_notice ? request.expected_time_ : request.longest_time_;
    return time + engine_silence < left;
}

char const* to_string(stop_ending ending)
{
    switch (ending)
    {
    case stop_ending::refuse:
        return "refused";
    case stop_ending::respond_unknown:
        return "unknown";
    case stop_ending::abort_response:
        return "broken_off";
    }
    return "unknown";
}

stop_ending ending_of(bool has_begun_response, bool was_sent)
{
    if (has_begun_response)
    {
        return stop_ending::abort_response;
    }
    return was_sent ? stop_ending::respond_unknown : stop_ending::refuse;
}

time_point end_of_request(planned_stop const& stop, stop_ending ending)
{
    return ending == stop_ending::abort_response ? process_end(stop)
                                                 : answers_end(stop);
}

} // namespace auburnlb
