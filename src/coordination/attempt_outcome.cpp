// Decisions on retries and on responses after failed attempts.
#include "auburnlb/coordination/attempt_outcome.hpp"

namespace auburnlb
{

namespace
{

bool is_certainly_not_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::not_sent ||
           outcome == attempt_outcome::refused;
}

bool may_retry(attempt_outcome outcome, attempt_limits const& limits)
{
    if (!limits.has_time_ || limits.is_suspect_)
    {
        return false;
    }
    // An attempt that was not sent counts neither against the endpoints nor
    // against the retry budget.
    if (outcome == attempt_outcome::not_sent)
    {
        return limits.endpoints_ < limits.max_endpoints_;
    }
    bool const is_allowed = limits.may_repeat_ || is_certainly_not_run(outcome);
    return is_allowed && limits.has_budget_ &&
           limits.endpoints_ < limits.max_endpoints_;
}

} // namespace

char const* to_string(attempt_outcome outcome)
{
    switch (outcome)
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

attempt_decision decide_after(attempt_outcome outcome,
                              attempt_limits const& limits)
{
    if (may_retry(outcome, limits))
    {
        return attempt_decision::retry;
    }
    if (limits.has_delivered_)
    {
        return attempt_decision::abort_response;
    }
    if (outcome == attempt_outcome::failed)
    {
        return attempt_decision::forward_error;
    }
    return is_certainly_not_run(outcome) && !limits.may_have_run_
               ? attempt_decision::respond_not_run
               : attempt_decision::respond_unknown;
}

} // namespace auburnlb
