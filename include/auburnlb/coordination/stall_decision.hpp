// Decides what follows when an attempt makes no progress: a sound endpoint may
// fall silent for a second and go on. No other code makes this decision.
#ifndef AUBURNLB_COORDINATION_STALL_DECISION_HPP
#define AUBURNLB_COORDINATION_STALL_DECISION_HPP

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// What is known of an attempt that has made no progress for longer than
/// expected.
struct stalled_attempt
{
    /// Time since the last progress.
    nanoseconds idle_time_{0};
    /// Time without progress after which the caller disconnects.
    milliseconds caller_patience_{0};
    /// No process listens any more at an engine of the attempt.
    bool has_ended_engine_ = false;
    /// Another attempt can be sent at all.
    bool has_alternative_ = false;
    /// Another attempt can be sent to another first endpoint, so that both can
    /// be in progress.
    bool has_separate_alternative_ = false;

    bool operator==(stalled_attempt const&) const = default;
};

enum class stall_decision
{
    /// Wait for the attempt alone.
    wait,
    /// Send another attempt, and keep the first of the two that makes progress.
    supersede,
    /// Close the attempt, then send another one.
    give_up,
};

stall_decision decide_after_stall(stalled_attempt const& attempt);

} // namespace auburnlb

#endif
