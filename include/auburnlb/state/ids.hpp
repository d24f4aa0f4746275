// Identifiers shared by several layers: requests, incarnations, layer ranges.
#ifndef AUBURNLB_STATE_IDS_HPP
#define AUBURNLB_STATE_IDS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace auburnlb
{

/// Identifies one run of a process. A restarted process has a new incarnation,
/// so that peers can distinguish it from the previous process at the same
/// address. Never zero for a running process.
using incarnation_id = std::uint64_t;

/// Identifies a caller's request across all processes.
struct request_id
{
    /// Incarnation of the entry that admitted the request.
    incarnation_id entry_ = 0;
    /// Sequence number of the request at that entry, starting at 1.
    std::uint64_t sequence_ = 0;

    auto operator<=>(request_id const&) const = default;
};

/// A half-open range of model layers, [first, end).
/// Invariant of a valid range: first < end.
struct layer_range
{
    std::uint32_t first_ = 0;
    std::uint32_t end_ = 0;

    auto operator<=>(layer_range const&) const = default;
};

/// Renders a request identifier as "<entry>-<sequence>", both hexadecimal.
std::string to_string(request_id const& id);

} // namespace auburnlb

template <>
struct std::hash<auburnlb::request_id>
{
    std::size_t operator()(auburnlb::request_id const& id) const noexcept
    {
        return id.entry_ * 0x9E3779B97F4A7C15ULL ^ id.sequence_;
    }
};

#endif
