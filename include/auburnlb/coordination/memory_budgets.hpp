// How much of a router's memory each use may take, over all connections.
#ifndef AUBURNLB_COORDINATION_MEMORY_BUDGETS_HPP
#define AUBURNLB_COORDINATION_MEMORY_BUDGETS_HPP

#include <cstddef>

#include "auburnlb/coordination/byte_budget.hpp"

namespace auburnlb
{

inline constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

// A router has 160 MB or more. The limits leave over a quarter of them to
// everything else.

/// Responses of plain services, until their callers have taken them.
inline constexpr std::size_t max_response_bytes = 48 * bytes_per_mb;

/// Stream events that callers have not taken, and events that are incomplete.
inline constexpr std::size_t max_event_backlog_bytes = 16 * bytes_per_mb;

/// Bodies of callers' requests, until their endpoints have taken them, and what
/// is read ahead. A body of the largest size is 4 MB.
inline constexpr std::size_t max_request_bytes = 24 * bytes_per_mb;

/// Part of these that larger bodies leave to small ones.
inline constexpr std::size_t small_body_reserve = 4 * bytes_per_mb;

inline constexpr std::size_t small_body_bytes = std::size_t{16} * 1024;

/// What a reply to a call of the router is. Each kind has its own budget, so
/// that a faulty server of one cannot make calls to another fail.
enum class reply_kind
{
    /// An endpoint's report of its state.
    report,
    /// Another router's or an endpoint's reply.
    message,
    /// A page of the store, which is about 1 MB.
    page,
};

/// Replies of reports, of several hundred probes at once.
inline constexpr std::size_t max_reports_bytes = 4 * bytes_per_mb;
inline constexpr std::size_t max_messages_bytes = 8 * bytes_per_mb;
inline constexpr std::size_t max_pages_bytes = 16 * bytes_per_mb;

/// Returns the limit of one reply.
constexpr std::size_t max_reply_bytes(reply_kind kind)
{
    switch (kind)
    {
    case reply_kind::report:
        return bytes_per_mb / 8;
    case reply_kind::message:
        return 2 * bytes_per_mb;
    case reply_kind::page:
        return 8 * bytes_per_mb;
    }
    return 0;
}

/// One for each use, so that none can take the memory of another.
struct memory_budgets
{
    byte_budget responses_{max_response_bytes, 0};
    byte_budget requests_{max_request_bytes, 0};
    byte_budget events_{max_event_backlog_bytes, 0};
    byte_budget reports_{max_reports_bytes, 0};
    byte_budget messages_{max_messages_bytes, 0};
    byte_budget pages_{max_pages_bytes, 0};

    bool operator==(memory_budgets const&) const = default;
};

/// Bytes that must be freed before a body of this size has room, counting only
/// the bytes that it does not have yet.
inline std::size_t missing_for_body(byte_budget const& requests,
                                    std::size_t size, std::size_t more)
{
    std::size_t const reserve =
        size <= small_body_bytes ? 0 : small_body_reserve;
    std::size_t const needed = requests.used_ + more + reserve;
    return needed > requests.limit_ ? needed - requests.limit_ : 0;
}

/// Whether a body of this size has room.
inline bool has_room_for_body(byte_budget const& requests, std::size_t size,
                              std::size_t more)
{
    return missing_for_body(requests, size, more) == 0;
}

inline byte_budget& budget_of(memory_budgets& memory, reply_kind kind)
{
    switch (kind)
    {
    case reply_kind::report:
        return memory.reports_;
    case reply_kind::message:
        return memory.messages_;
    case reply_kind::page:
        break;
    }
    return memory.pages_;
}

} // namespace auburnlb

#endif
