// Pauses of this process, as the times of its ticks show them. After a pause,
// what is handled may have arrived at any time since its beginning.
#ifndef AUBURNLB_COORDINATION_PAUSE_RECORD_HPP
#define AUBURNLB_COORDINATION_PAUSE_RECORD_HPP

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Two ticks that are further apart show a pause.
inline constexpr milliseconds min_pause{50};

struct pause_record
{
    time_point last_tick_{};
    /// The latest pause.
    time_point pause_began_at_{};
    time_point pause_ended_at_{};
    /// Whether the latest tick ended a pause and the one before did not. What
    /// has arrived meanwhile may not have been read yet.
    bool has_just_ended_ = false;

    bool operator==(pause_record const&) const = default;
};

void record_tick(pause_record& record, time_point now);

/// Returns the earliest time at which something that is handled now can have
/// arrived.
time_point earliest_arrival(pause_record const& record, time_point now);

} // namespace auburnlb

#endif
