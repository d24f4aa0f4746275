// Where log lines go: a bounded buffer before a descriptor that may be slow,
// blocked or closed. Writing never waits.
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

/// Lines on their way to a descriptor. Not thread-safe.
/// Invariant: the bytes kept are at most the capacity.
class bounded_line_writer
{
public:
    bounded_line_writer(int descriptor, std::size_t capacity);

    /// Keeps a line, or drops it if there is no room. The last quarter of the
    /// room is for important lines.
    bool add(std::string line, bool is_important);

    /// Writes what the descriptor takes without waiting.
    void drain();

    /// Lines dropped since the last call.
    std::uint64_t take_dropped();
    std::size_t kept_bytes() const { return kept_bytes_; }

private:
    int descriptor_;
    std::size_t capacity_;
    std::deque<std::string> lines_;
    /// Bytes of the first line that are written.
    std::size_t written_ = 0;
    std::size_t kept_bytes_ = 0;
    std::uint64_t dropped_ = 0;
};

/// Lines of each event that are let through in a second.
struct log_limit
{
    struct window
    {
        time_point begin_{};
        std::uint32_t lines_ = 0;
        std::uint64_t dropped_ = 0;

        bool operator==(window const&) const = default;
    };
    std::uint32_t lines_per_second_ = 200;
    /// By the event's number.
    std::map<int, window> windows_;

    bool operator==(log_limit const&) const = default;
};

/// Whether another line of the event is let through.
bool admit_line(log_limit& limit, int event, time_point now);

/// Events whose lines were dropped in a window that has ended, with how many.
std::map<int, std::uint64_t> take_dropped(log_limit& limit, time_point now);

} // namespace auburnlb

#endif
