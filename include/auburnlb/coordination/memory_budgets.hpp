// How much of a router's memory each use may take, over all connections.
#ifndef AUBURNLB_COORDINATION_MEMORY_BUDGETS_HPP
#define AUBURNLB_COORDINATION_MEMORY_BUDGETS_HPP

#include <cstddef>

#include "auburnlb/coordination/byte_budget.hpp"

namespace auburnlb
{

inline constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

// A router has 160 MB or more. The limits leave a third of them to everything
// else.

/// Responses of plain services, until their callers have taken them.
inline constexpr std::size_t max_response_bytes = 48 * bytes_per_mb;

/// Stream events that callers have not taken, and events that are incomplete.
inline constexpr std::size_t max_event_backlog_bytes = 16 * bytes_per_mb;

/// One for each use, so that none can take the memory of another.
struct memory_budgets
{
    byte_budget responses_{max_response_bytes, 0};
    byte_budget events_{max_event_backlog_bytes, 0};

    bool operator==(memory_budgets const&) const = default;
};

} // namespace auburnlb

#endif
