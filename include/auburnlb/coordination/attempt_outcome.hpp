// Decides what follows an attempt that ended without a usable response: another
// attempt, or what the caller receives. No other code makes this decision.
#ifndef AUBURNLB_COORDINATION_ATTEMPT_OUTCOME_HPP
#define AUBURNLB_COORDINATION_ATTEMPT_OUTCOME_HPP

#include <cstdint>

namespace auburnlb
{

/// How an attempt ended.
enum class attempt_outcome
{
    /// No byte of the request reached the endpoint.
    not_sent,
    /// The endpoint reported that it did not run the request.
    refused,
    /// The endpoint returned an error and may have run the request.
    failed,
    /// The connection broke, or the response was malformed.
    broken,
    /// The endpoint made no progress.
    silent,
};

/// Returns the enumerator's name.
char const* to_string(attempt_outcome outcome);

/// The state of a request that decides whether it may be sent again.
struct attempt_limits
{
    /// Whether the request may run more than once.
    bool may_repeat_ = false;
    /// How often the request may be sent, also to the same endpoint again.
    std::uint32_t max_sends_ = 1;
    /// How often the request was sent, not counting attempts that did not reach
    /// their endpoint.
    std::uint32_t sends_ = 0;
    /// Whether enough time is left for another attempt.
    bool has_time_ = true;
    /// Whether the retry budget allows another attempt.
    bool has_budget_ = true;
    /// Whether another router may lend a retry.
    bool may_borrow_ = false;
    /// Whether the request is suspected of crashing endpoints.
    bool is_suspect_ = false;
    /// Whether an earlier attempt may have run the request.
    bool may_have_run_ = false;
    /// Whether part of a response was sent to the caller.
    bool has_delivered_ = false;

    bool operator==(attempt_limits const&) const = default;
};

/// The next step after an attempt.
enum class attempt_decision
{
    /// Send the request again.
    retry,
    /// Wait for a retry that another router lends.
    await_budget,
    /// Respond that the request has not run and will not run.
    respond_not_run,
    /// Respond that the outcome is not known.
    respond_unknown,
    /// Forward the endpoint's error to the caller.
    forward_error,
    /// Abort the response that has begun, so that it does not look complete.
    abort_response,
};

/// What forbids another attempt.
enum class attempt_denial
{
    none,
    time,
    suspicion,
    attempts,
    /// The request must not run twice and may have run.
    kind,
    budget,
    /// No endpoint had capacity before the request's time in the queue was
    /// over.
    capacity,
};

/// Returns the enumerator's name; empty for none.
char const* to_string(attempt_denial denial);

/// Returns what forbids another attempt after one with this outcome.
attempt_denial denial_after(attempt_outcome outcome,
                            attempt_limits const& limits);

/// Decides on the next step after an attempt with this outcome.
attempt_decision decide_after(attempt_outcome outcome,
                              attempt_limits const& limits);

} // namespace auburnlb

#endif
