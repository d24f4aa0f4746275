// Truthful ends of attempts.
#include "auburnlb/coordination/attempt_outcome.hpp"

namespace auburnlb
{

namespace
{

bool has_certainly_not_run(attempt_outcome end)
{
    return end == attempt_outcome::not_sent || end == attempt_outcome::refused;
}

bool may_send_again(attempt_outcome end, attempt_limits const& limits)
{
    if (!limits.has_time_ || limits.is_suspect_)
    {
        return false;
    }
    // An attempt that never left counts neither as an endpoint nor as a repeat.
    if (end == attempt_outcome::not_sent)
    {
        return limits.endpoints_ < limits.max_endpoints_;
    }
    bool const is_allowed = limits.may_repeat_ || has_certainly_not_run(end);
    return is_allowed && limits.has_budget_ &&
           limits.endpoints_ < limits.max_endpoints_;
}

} // namespace

char const* to_string(attempt_outcome end)
{
    switch (end)
    {
    case attempt_outcome::not_sent:
        return "not_sent";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::failed:
        return "failed";
    case attempt_outcome::broken:
        return "broken";
    case attempt_outcome::silent:
        return "silent";
    }
    return "broken";
}

attempt_decision decide_after(attempt_outcome end, attempt_limits const& limits)
{
    if (may_send_again(end, limits))
    {
        return attempt_decision::retry;
    }
    if (limits.has_delivered_)
    {
        return attempt_decision::abort_response;
    }
    if (end == attempt_outcome::failed)
    {
        return attempt_decision::forward_error;
    }
    return has_certainly_not_run(end) && !limits.may_have_run_
               ? attempt_decision::respond_not_run
               : attempt_decision::respond_unknown;
}

} // namespace auburnlb
