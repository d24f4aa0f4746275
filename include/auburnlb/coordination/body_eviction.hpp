// Chooses which unfinished requests and which connections of callers give way
// when a router has no room, and tells which requests make too little progress.
#ifndef AUBURNLB_COORDINATION_BODY_EVICTION_HPP
#define AUBURNLB_COORDINATION_BODY_EVICTION_HPP

#include <cstddef>
#include <string_view>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// An unfinished request that brings nothing for this time may give way.
/// Longer than the round trips and retransmissions of a sound caller take.
inline constexpr milliseconds min_eviction_silence{250};

/// No request counts as stalled before, however slowly it begins.
inline constexpr milliseconds stall_grace{5'000};

/// What a request must bring within the stall time.
inline constexpr std::size_t min_stall_bytes = 1'024;

/// How the bytes of a request that is being read arrive.
struct read_progress
{
    time_point began_at_{};
    /// When it last made progress. Single bytes do not count as such: a caller
    /// could send them for as long as it likes.
    time_point progressed_at_{};
    std::size_t bytes_since_progress_ = 0;
    /// When it had last brought so many bytes as a sound body brings steadily.
    time_point steady_at_{};
    std::size_t bytes_since_steady_ = 0;
    /// When it had last brought min_stall_bytes.
    time_point window_began_at_{};
    std::size_t window_bytes_ = 0;

    bool operator==(read_progress const&) const = default;
};

read_progress begin_progress(time_point now);

void record_bytes(read_progress& progress, std::size_t bytes, time_point now);

/// Whether the request brings less than min_stall_bytes in the stall time.
bool is_stalled(read_progress const& progress, milliseconds stall_time,
                time_point now);

/// A request that is being read.
struct unfinished_request
{
    /// Of the caller, without its port.
    std::string_view address_;
    /// What it holds of the budget.
    std::size_t bytes_ = 0;
    time_point began_at_{};
    time_point progressed_at_{};
    time_point steady_at_{};

    bool operator==(unfinished_request const&) const = default;
};

/// What a request needs that finds no room.
struct room_need
{
    std::string_view address_;
    /// What the request holds already.
    std::size_t held_ = 0;
    /// What must be freed for it.
    std::size_t missing_ = 0;
    /// What all requests may hold together.
    std::size_t budget_ = 0;

    bool operator==(room_need const&) const = default;
};

enum class eviction_reason
{
    /// Room was needed, and the request had made no progress.
    silent,
    /// Room was needed, and the caller's address held more than its share.
    over_share,
};

struct eviction
{
    /// Index of the request.
    std::size_t index_ = 0;
    eviction_reason reason_ = eviction_reason::silent;

    bool operator==(eviction const&) const = default;
};

/// Returns the requests that give way, in this order; none if that would not
/// free what is missing.
///
/// Requests without progress go first: of the address that holds the most, the
/// one without progress for longest, then the oldest. If they do not suffice,
/// requests of addresses over their share go in the same order, to the benefit
/// of an address within its share. The only request of an address is spared
/// during the stall grace while it arrives steadily: a sound body of the
/// largest size may be more than a share.
/// @param others all unfinished requests except the one that needs room
std::vector<eviction>
choose_evictions(std::vector<unfinished_request> const& others,
                 room_need const& need, time_point now);

/// A connection of a caller, for the limit of connections.
struct open_connection
{
    /// Whether no request has begun on it yet.
    bool is_silent_ = false;
    /// Whether a request is being read on it.
    bool is_unfinished_ = false;
    /// When it was accepted, or its request last made progress.
    time_point quiet_since_{};

    bool operator==(open_connection const&) const = default;
};

/// Returns up to so many connections to close: silent ones, then unfinished
/// requests without progress, of each the longest quiet first. Those with a
/// request in progress, and those that wait for a next one within the time that
/// was announced to the caller, stay.
std::vector<std::size_t>
choose_connections(std::vector<open_connection> const& connections,
                   std::size_t count, time_point now);

/// Returns how many connections of callers may be open.
/// @param configured 0 if the process's limit of descriptors decides alone
std::size_t connection_limit(std::size_t configured, std::size_t descriptors);

} // namespace auburnlb

#endif
