// Pauses between two ticks.
#include "auburnlb/coordination/pause_record.hpp"

namespace auburnlb
{

void record_tick(pause_record& record, time_point now)
{
    bool const is_late = now - record.last_tick_ > min_pause;
    record.has_just_ended_ = is_late && !record.has_just_ended_;
    if (is_late)
    {
        record.pause_began_at_ = record.last_tick_;
        record.pause_ended_at_ = now;
    }
    record.last_tick_ = now;
}

time_point earliest_arrival(pause_record const& record, time_point now)
{
    bool const is_tick_due = now - record.last_tick_ > min_pause;
    bool const has_paused = now - record.pause_ended_at_ < min_pause;
    return has_paused && !is_tick_due ? record.pause_began_at_
                                      : record.last_tick_;
}

} // namespace auburnlb
