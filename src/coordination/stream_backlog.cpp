// Limits of unsent bytes, for one caller and for all.
#include "auburnlb/coordination/stream_backlog.hpp"

namespace auburnlb
{

namespace
{

/// A sound stream brings some kilobytes a second, so a caller with so many
/// unsent bytes is seconds behind.
constexpr std::size_t usual_limit_bytes = std::size_t{256} * 1024;

/// The same while the streams together have used half of their memory.
constexpr std::size_t scarce_limit_bytes = std::size_t{16} * 1024;

/// So much is taken for each stream, also when the memory of all is used up: a
/// sound one needs no more.
constexpr std::size_t usual_backlog_bytes = std::size_t{8} * 1024;

/// A paused stream is read again below this part of the limit, so that it is
/// not paused again at once.
constexpr std::size_t resume_divisor = 2;

std::size_t limit_of(stream_backlog const& backlog)
{
    bool const is_scarce = backlog.all_.used_ > backlog.all_.limit_ / 2;
    std::size_t const limit =
        is_scarce ? scarce_limit_bytes : usual_limit_bytes;
    return backlog.is_paused_ ? limit / resume_divisor : limit;
}

} // namespace

bool has_room_for_event(byte_budget const& all, std::size_t bytes)
{
    return bytes <= usual_backlog_bytes || !is_exceeded(all);
}

backlog_decision decide_on_backlog(stream_backlog const& backlog)
{
    if (!has_room_for_event(backlog.all_, backlog.unsent_bytes_))
    {
        return backlog_decision::drop_for_memory;
    }
    if (backlog.unsent_bytes_ <= limit_of(backlog))
    {
        return backlog_decision::read;
    }
    return backlog.is_paused_ && backlog.idle_time_ >= backlog.caller_patience_
               ? backlog_decision::drop_as_stuck
               : backlog_decision::pause;
}

} // namespace auburnlb
