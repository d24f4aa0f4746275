// Decides whether a stream is read on while its caller has not taken what came.
// No other code makes this decision.
#ifndef AUBURNLB_COORDINATION_STREAM_BACKLOG_HPP
#define AUBURNLB_COORDINATION_STREAM_BACKLOG_HPP

#include <cstddef>

#include "auburnlb/coordination/byte_budget.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// What is known of a stream and of all others of the process.
struct stream_backlog
{
    /// Bytes that this caller has not taken.
    std::size_t unsent_bytes_ = 0;
    /// Those of all streams.
    byte_budget all_;
    bool is_paused_ = false;
    /// Time for which the caller of a paused stream has taken nothing.
    nanoseconds idle_time_{0};
    /// Time without progress after which the caller disconnects.
    milliseconds caller_patience_{0};

    bool operator==(stream_backlog const&) const = default;
};

enum class backlog_decision
{
    read,
    /// Read nothing more from the endpoint until the caller has taken more.
    pause,
    /// Drop the caller, as all streams together have too many bytes unsent.
    drop_for_memory,
    /// Drop the caller, as it takes nothing.
    drop_as_stuck,
};

/// Whether a stream may have so many bytes unsent or of an incomplete event.
bool has_room_for_event(byte_budget const& all, std::size_t bytes);

backlog_decision decide_on_backlog(stream_backlog const& backlog);

} // namespace auburnlb

#endif
