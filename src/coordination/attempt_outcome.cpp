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

char const* to_string(attempt_denial denial)
{
    switch (denial)
    {
    case attempt_denial::none:
        return "";
    case attempt_denial::time:
        return "time";
    case attempt_denial::suspicion:
        return "suspicion";
    case attempt_denial::attempts:
        return "attempts";
    case attempt_denial::kind:
        return "kind";
    case attempt_denial::budget:
        return "budget";
    case attempt_denial::capacity:
        return "capacity";
    }
    return "";
}

attempt_denial denial_after(attempt_outcome outcome,
                            attempt_limits const& limits)
{
    if (!limits.has_time_)
    {
        return attempt_denial::time;
    }
    if (limits.is_suspect_)
    {
        return attempt_denial::suspicion;
    }
    if (limits.sends_ >= limits.max_sends_)
    {
        return attempt_denial::attempts;
    }
    // An attempt that was not sent counts neither against the sends nor
    // against the retry budget.
    if (outcome == attempt_outcome::not_sent)
    {
        return attempt_denial::none;
    }
    if (!limits.may_repeat_ && !is_certainly_not_run(outcome))
    {
        return attempt_denial::kind;
    }
    return limits.has_budget_ ? attempt_denial::none : attempt_denial::budget;
}

attempt_decision decide_after(attempt_outcome outcome,
                              attempt_limits const& limits)
{
    attempt_denial const denial = denial_after(outcome, limits);
    if (denial == attempt_denial::none)
    {
        return attempt_decision::retry;
    }
    bool const may_wait =
        denial == attempt_denial::budget && limits.may_borrow_;
    if (limits.has_delivered_)
    {
        return may_wait ? attempt_decision::await_budget
                        : attempt_decision::abort_response;
    }
    if (outcome == attempt_outcome::failed)
    {
        return attempt_decision::forward_error;
    }
    // The caller may send it again, which takes no retry.
    if (is_certainly_not_run(outcome) && !limits.may_have_run_)
    {
        return attempt_decision::respond_not_run;
    }
    return may_wait ? attempt_decision::await_budget
                    : attempt_decision::respond_unknown;
}

} // namespace auburnlb
