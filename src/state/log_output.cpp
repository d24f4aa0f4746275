// Non-blocking output of log lines and the rate limit of events.
#include "auburnlb/state/log_output.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace auburnlb
{

namespace
{

/// A descriptor that poll() reports as writable accepts this many bytes without
/// blocking.
constexpr std::size_t atomic_write_bytes = 4'096;

constexpr seconds rate_limit_window{1};

bool is_writable(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

bounded_line_writer::bounded_line_writer(int descriptor, std::size_t capacity)
    : descriptor_(descriptor)
    , capacity_(capacity)
{
}

bool bounded_line_writer::add(std::string line, bool is_important)
{
    std::size_t const available_bytes =
        is_important ? capacity_ : capacity_ - capacity_ / 4;
    line += '\n';
    if (buffered_bytes_ + line.size() > available_bytes)
    {
        ++dropped_;
        return false;
    }
    buffered_bytes_ += line.size();
    lines_.push_back(std::move(line));
    return true;
}

void bounded_line_writer::drain()
{
    while (!lines_.empty() && is_writable(descriptor_))
    {
        std::string block = lines_.front().substr(front_bytes_written_);
        // Combines short lines into one write.
        std::size_t count = 1;
        while (count < lines_.size() &&
               block.size() + lines_[count].size() <= atomic_write_bytes)
        {
            block += lines_[count++];
        }
        std::size_t const size = std::min(block.size(), atomic_write_bytes);
        ssize_t const sent = write(descriptor_, block.data(), size);
        if (sent < 0 && errno == EINTR)
        {
            continue;
        }
        if (sent <= 0)
        {
            // The reader is gone. Lines stay buffered up to the capacity.
            return;
        }
        auto remaining = static_cast<std::size_t>(sent);
        buffered_bytes_ -= remaining;
        while (remaining > 0)
        {
            std::size_t const line_remaining =
                lines_.front().size() - front_bytes_written_;
            std::size_t const consumed = std::min(line_remaining, remaining);
            remaining -= consumed;
            front_bytes_written_ += consumed;
            if (consumed == line_remaining)
            {
                lines_.pop_front();
                front_bytes_written_ = 0;
            }
        }
    }
}

std::uint64_t bounded_line_writer::take_dropped()
{
    return std::exchange(dropped_, 0);
}

bool admit_line(log_rate_limit& limit, int event, time_point now)
{
    log_rate_limit::window& window = limit.windows_[event];
    if (now - window.begin_ >= rate_limit_window && window.dropped_ == 0)
    {
        window = {now, 0, 0};
    }
    if (window.lines_ >= limit.lines_per_second_)
    {
        ++window.dropped_;
        return false;
    }
    ++window.lines_;
    return true;
}

std::map<int, std::uint64_t> take_dropped(log_rate_limit& limit, time_point now)
{
    std::map<int, std::uint64_t> dropped;
    for (auto& [event, window] : limit.windows_)
    {
        if (window.dropped_ > 0 && now - window.begin_ >= rate_limit_window)
        {
            dropped[event] = window.dropped_;
            window = {now, 0, 0};
        }
    }
    return dropped;
}

} // namespace auburnlb
