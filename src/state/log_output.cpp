// Writing without waiting, and the limit of lines.
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

/// A descriptor that poll() finds writable takes this much without waiting.
constexpr std::size_t atomic_write_bytes = 4'096;

constexpr seconds limit_window{1};

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
    std::size_t const room =
        is_important ? capacity_ : capacity_ - capacity_ / 4;
    line += '\n';
    if (kept_bytes_ + line.size() > room)
    {
        ++dropped_;
        return false;
    }
    kept_bytes_ += line.size();
    lines_.push_back(std::move(line));
    return true;
}

void bounded_line_writer::drain()
{
    while (!lines_.empty() && is_writable(descriptor_))
    {
        std::string block = lines_.front().substr(written_);
        // Short lines go out together.
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
            // Nobody reads any more. The lines are kept while there is room.
            return;
        }
        auto left = static_cast<std::size_t>(sent);
        kept_bytes_ -= left;
        while (left > 0)
        {
            std::size_t const rest = lines_.front().size() - written_;
            std::size_t const taken = std::min(rest, left);
            left -= taken;
            written_ += taken;
            if (taken == rest)
            {
                lines_.pop_front();
                written_ = 0;
            }
        }
    }
}

std::uint64_t bounded_line_writer::take_dropped()
{
    return std::exchange(dropped_, 0);
}

bool admit_line(log_limit& limit, int event, time_point now)
{
    log_limit::window& window = limit.windows_[event];
    if (now - window.begin_ >= limit_window && window.dropped_ == 0)
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

std::map<int, std::uint64_t> take_dropped(log_limit& limit, time_point now)
{
    std::map<int, std::uint64_t> dropped;
    for (auto& [event, window] : limit.windows_)
    {
        if (window.dropped_ > 0 && now - window.begin_ >= limit_window)
        {
            dropped[event] = window.dropped_;
            window = {now, 0, 0};
        }
    }
    return dropped;
}

} // namespace auburnlb
