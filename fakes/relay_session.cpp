// Forwarding one connection, as the relay's condition asks for.
#include "relay_session.hpp"

#include <algorithm>

namespace auburnlb::fakes
{

namespace
{

using asio::ip::tcp;

/// Reading stops while so many bytes wait, so that the sender feels the limit.
constexpr std::size_t max_waiting_bytes = 256U << 10U;

} // namespace

relay_session::direction::direction(tcp::socket& from, tcp::socket& to,
                                    tcp::socket::executor_type const& executor)
    : from_(from)
    , to_(to)
    , timer_(executor)
{
}

relay_session::relay_session(tcp::socket client,
                             relay_condition const& condition)
    : condition_(condition)
    , client_(std::move(client))
    , server_(client_.get_executor())
    , upstream_{client_, server_, client_.get_executor()}
    , downstream_{server_, client_, client_.get_executor()}
{
}

void relay_session::start(tcp::endpoint const& target)
{
    is_silent_ = condition_.is_isolated_;
    loses_answers_ = condition_.loses_answers_;
    if (is_silent_)
    {
        return;
    }
    server_.async_connect(target,
                          [self = shared_from_this()](asio::error_code error)
                          { self->on_connected(error); });
}

void relay_session::reset()
{
    asio::error_code ignored;
    asio::socket_base::linger const at_once(true, 0);
    client_.set_option(at_once, ignored);
    server_.set_option(at_once, ignored);
    close();
}

void relay_session::close()
{
    asio::error_code ignored;
    client_.close(ignored);
    server_.close(ignored);
    upstream_.timer_.cancel();
    downstream_.timer_.cancel();
}

void relay_session::on_connected(asio::error_code error)
{
    if (error)
    {
        close();
        return;
    }
    asio::error_code ignored;
    client_.set_option(tcp::no_delay(true), ignored);
    server_.set_option(tcp::no_delay(true), ignored);
    read(upstream_);
    read(downstream_);
}

void relay_session::read(direction& way)
{
    if (is_silent_ || way.is_reading_ || way.is_ended_ ||
        way.waiting_bytes_ >= max_waiting_bytes)
    {
        return;
    }
    way.is_reading_ = true;
    way.from_.async_read_some(asio::buffer(way.buffer_),
                              [self = shared_from_this(),
                               &way](asio::error_code error, std::size_t bytes)
                              { self->on_read(way, error, bytes); });
}

void relay_session::on_read(direction& way, asio::error_code error,
                            std::size_t bytes)
{
    way.is_reading_ = false;
    if (is_silent_)
    {
        return;
    }
    if (loses_answers_ && &way == &downstream_)
    {
        // The end of the connection gets lost like its bytes.
        way.is_ended_ = static_cast<bool>(error);
        read(way);
        return;
    }
    if (error)
    {
        way.is_ended_ = true;
        close_when_drained(way);
        return;
    }
    way.waiting_.push_back(
        {due_time(way, bytes), std::string(way.buffer_.data(), bytes)});
    way.waiting_bytes_ += bytes;
    write_next(way);
    read(way);
}

time_point relay_session::due_time(direction& way, std::size_t bytes) const
{
    auto const now = std::chrono::steady_clock::now();
    auto due = now;
    if (condition_.bytes_per_second_ != 0)
    {
        double const seconds_taken =
            static_cast<double>(bytes) /
            static_cast<double>(condition_.bytes_per_second_);
        due = std::max(now, way.next_free_) +
              std::chrono::duration_cast<nanoseconds>(
                  std::chrono::duration<double>(seconds_taken));
        way.next_free_ = due;
    }
    return due + condition_.delay_;
}

void relay_session::write_next(direction& way)
{
    if (way.is_writing_ || way.waiting_.empty())
    {
        return;
    }
    way.is_writing_ = true;
    way.timer_.expires_at(way.waiting_.front().due_);
    way.timer_.async_wait([self = shared_from_this(), &way](asio::error_code)
                          { self->write_now(way); });
}

void relay_session::write_now(direction& way)
{
    if (is_silent_ || !way.to_.is_open())
    {
        return;
    }
    asio::async_write(
        way.to_, asio::buffer(way.waiting_.front().bytes_),
        [self = shared_from_this(), &way](asio::error_code error, std::size_t)
        { self->on_written(way, error); });
}

void relay_session::on_written(direction& way, asio::error_code error)
{
    way.is_writing_ = false;
    if (error)
    {
        // A silent connection is held, whatever its ends do.
        if (!is_silent_)
        {
            close();
        }
        return;
    }
    way.waiting_bytes_ -= way.waiting_.front().bytes_.size();
    way.waiting_.pop_front();
    write_next(way);
    read(way);
    if (way.is_ended_)
    {
        close_when_drained(way);
    }
}

void relay_session::close_when_drained(direction& way)
{
    if (way.waiting_.empty())
    {
        close();
    }
}

} // namespace auburnlb::fakes
