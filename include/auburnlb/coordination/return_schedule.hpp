// When the callers that were refused in an overload are to return.
#ifndef AUBURNLB_COORDINATION_RETURN_SCHEDULE_HPP
#define AUBURNLB_COORDINATION_RETURN_SCHEDULE_HPP

#include <cstdint>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Earliest return: earlier, the queue would still be the same.
inline constexpr milliseconds min_return_delay{300};

/// The turns that were given to refused callers of one service.
struct return_schedule
{
    time_point last_turn_{};
    /// Callers whose turn was not one start interval after the last one.
    std::uint64_t spread_ = 0;

    bool operator==(return_schedule const&) const = default;
};

/// What the next turn depends on.
struct return_conditions
{
    /// How long it takes to start all requests that wait now.
    nanoseconds queue_time_{0};
    /// Time between two starts. Zero if it is not known.
    nanoseconds start_interval_{0};
    /// Time until the caller's deadline.
    nanoseconds time_left_{0};

    bool operator==(return_conditions const&) const = default;
};

/// Returns the longest Retry-After that a caller follows.
nanoseconds max_return_delay(nanoseconds time_left);

/// Returns whether a caller that is refused now can return before its deadline.
bool can_return(nanoseconds time_left);

/// Returns after which time a refused caller is to return. Each caller gets a
/// turn of its own, one start interval after the one before. If that is later
/// than the caller would follow, the turns are spread over the last half of the
/// time that it would.
milliseconds take_turn(return_schedule& schedule,
                       return_conditions const& conditions, time_point now);

} // namespace auburnlb

#endif
