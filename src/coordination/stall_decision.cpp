// Weighs a silent attempt against one that takes its place.
#include "auburnlb/coordination/stall_decision.hpp"

namespace auburnlb
{

namespace
{

/// Part of the caller's patience for which an attempt that cannot go on beside
/// another one is waited for. The other one needs the rest.
constexpr double waiting_share = 0.6;

} // namespace

stall_decision decide_after_stall(stalled_attempt const& attempt)
{
    if (!attempt.has_alternative_)
    {
        return stall_decision::wait;
    }
    if (attempt.has_ended_engine_)
    {
        return stall_decision::give_up;
    }
    if (attempt.has_separate_alternative_)
    {
        return stall_decision::supersede;
    }
    bool const is_patience_low =
        attempt.idle_time_ >= attempt.caller_patience_ * waiting_share;
    return is_patience_low ? stall_decision::give_up : stall_decision::wait;
}

} // namespace auburnlb
