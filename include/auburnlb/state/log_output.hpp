// Non-blocking output of log lines through a bounded buffer, and a rate limit
// for each event.
#ifndef AUBURNLB_STATE_LOG_OUTPUT_HPP
#define AUBURNLB_STATE_LOG_OUTPUT_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Buffers lines and writes them to a file descriptor that may be slow, blocked
/// or closed, without ever blocking. Not thread-safe.
/// Invariant: the buffered bytes never exceed the capacity.
class bounded_line_writer
{
public:
    /// @param capacity size of the buffer in bytes
    bounded_line_writer(int descriptor, std::size_t capacity);

    /// Buffers a line. Drops it and returns false if it does not fit. The last
    /// quarter of the capacity is reserved for important lines.
    bool add(std::string line, bool is_important);

    /// Writes as much as the descriptor accepts without blocking.
    void drain();

    /// Returns the number of lines dropped since the last call.
    std::uint64_t take_dropped();
    std::size_t buffered_bytes() const { return buffered_bytes_; }

private:
    int descriptor_;
    std::size_t capacity_;
    std::deque<std::string> lines_;
    /// Bytes of the first line that have already been written.
    std::size_t front_bytes_written_ = 0;
    std::size_t buffered_bytes_ = 0;
    std::uint64_t dropped_ = 0;
};

/// Limits the lines of each event per second.
struct log_rate_limit
{
    struct window
    {
        time_point begin_{};
        std::uint32_t lines_ = 0;
        std::uint64_t dropped_ = 0;

        bool operator==(window const&) const = default;
    };
    std::uint32_t lines_per_second_ = 200;
    /// Keyed by event number.
    std::map<int, window> windows_;

    bool operator==(log_rate_limit const&) const = default;
};

/// Counts a line of the event. Returns false if it exceeds the limit and must
/// be dropped.
bool admit_line(log_rate_limit& limit, int event, time_point now);

/// Returns the number of dropped lines for each event whose window has ended,
/// and starts a new window for these events.
std::map<int, std::uint64_t> take_dropped(log_rate_limit& limit,
                                          time_point now);

} // namespace auburnlb

#endif
