// The rank of a request among those that wait for a service.
#ifndef AUBURNLB_COORDINATION_REQUEST_RANK_HPP
#define AUBURNLB_COORDINATION_REQUEST_RANK_HPP

#include <algorithm>
#include <cstdint>
#include <optional>

namespace auburnlb
{

/// Number of priorities that are told apart; less urgent ones count as the
/// last.
inline constexpr std::int32_t priority_levels = 16;

/// The same for the urgency that engines are told, which has ten values.
inline constexpr std::int32_t urgency_levels = 3;

/// Combines two priorities, of which the first one precedes. 0 is the most
/// urgent.
inline std::int32_t combine_priorities(std::int32_t first, std::int32_t second,
                                       std::int32_t levels)
{
    return std::clamp(first, 0, levels - 1) * levels +
           std::clamp(second, 0, levels - 1);
}

/// Returns the rank of a request; 0 is the most urgent. The workspace's
/// priority precedes the route's, which tells the requests of one workspace
/// apart.
inline std::int32_t rank_of(std::optional<std::int32_t> workspace_priority,
                            std::int32_t route_priority)
{
    return combine_priorities(workspace_priority.value_or(route_priority),
                              route_priority, priority_levels);
}

/// Returns how urgent engines are told that a request is, from 0 to 8.
inline std::uint32_t urgency_of(std::optional<std::int32_t> workspace_priority,
                                std::int32_t route_priority)
{
    return static_cast<std::uint32_t>(
        combine_priorities(workspace_priority.value_or(route_priority),
                           route_priority, urgency_levels));
}

} // namespace auburnlb

#endif
