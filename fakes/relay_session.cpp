// Forwarding one connection, as the relay's condition asks for.
#include "relay_session.hpp"

#include <algorithm>
#include <utility>

#include <sys/socket.h>

namespace auburnlb::fakes
{

namespace
{

using asio::ip::tcp;

/// Reading stops while so many bytes wait, so that the sender feels the limit.
constexpr std::size_t max_waiting_bytes = 256U << 10U;

bool has_failed(tcp::socket& socket)
{
    int failure = 0;
    socklen_t size = sizeof(failure);
    return ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &failure,
                        &size) != 0 ||
           failure != 0;
}

} // namespace

relay_session::direction::direction(tcp::socket& from, tcp::socket& to,
                                    tcp::socket::executor_type const& executor)
    : from_(from)
    , to_(to)
    , timer_(executor)
{
}

relay_session::relay_session(tcp::socket client,
                             relay_condition const& condition,
                             refusal_handler on_refused)
    : condition_(condition)
    , on_refused_(std::move(on_refused))
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
    asio::error_code ignored;
    if (error)
    {
        on_refused_(client_.remote_endpoint(ignored).port());
        reset();
        return;
    }
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
        error == asio::error::eof ? pass_end(way) : pass_reset(way);
        return;
    }
    pass_bytes(way, {way.buffer_.data(), bytes});
    read(way);
}

void relay_session::pass_bytes(direction& way, std::string_view bytes)
{
    std::size_t const piece_bytes =
        condition_.piece_bytes_ == 0 ? bytes.size() : condition_.piece_bytes_;
    while (!bytes.empty())
    {
        std::string_view const piece = bytes.substr(0, piece_bytes);
        bytes.remove_prefix(piece.size());
        time_point const due =
            std::max(due_time(way, piece.size()), way.next_piece_);
        way.next_piece_ = due + condition_.piece_pause_;
        way.waiting_.push_back({due, std::string(piece)});
        way.waiting_bytes_ += piece.size();
    }
    write_next(way);
}

void relay_session::pass_end(direction& way)
{
    way.waiting_.push_back({due_time(way, 0), "", chunk_kind::end});
    write_next(way);
    watch_for_reset(way);
}

void relay_session::pass_reset(direction& way)
{
    if (std::exchange(way.is_reset_, true))
    {
        return;
    }
    way.waiting_.push_back({due_time(way, 0), "", chunk_kind::reset});
    write_next(way);
}

void relay_session::watch_for_reset(direction& way)
{
    way.from_.async_wait(
        tcp::socket::wait_error,
        [self = shared_from_this(), &way](asio::error_code error)
        {
            if (error || self->is_silent_ || !way.from_.is_open())
            {
                return;
            }
            // Both halves may also have been closed in order.
            if (has_failed(way.from_))
            {
                self->pass_reset(way);
            }
        });
}

relay_session::direction& relay_session::opposite(direction const& way)
{
    return &way == &upstream_ ? downstream_ : upstream_;
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
    chunk_kind const kind = way.waiting_.front().kind_;
    if (kind == chunk_kind::reset)
    {
        reset();
        return;
    }
    if (kind == chunk_kind::end)
    {
        write_end(way);
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
        // A silent connection is held, whatever its ends do. Whom nothing can
        // be written to any more has reset the connection.
        way.waiting_.clear();
        if (!is_silent_ && is_open())
        {
            pass_reset(opposite(way));
        }
        return;
    }
    way.waiting_bytes_ -= way.waiting_.front().bytes_.size();
    way.waiting_.pop_front();
    write_next(way);
    read(way);
}

void relay_session::write_end(direction& way)
{
    asio::error_code ignored;
    way.to_.shutdown(tcp::socket::shutdown_send, ignored);
    way.is_writing_ = false;
    way.waiting_.pop_front();
    way.has_passed_end_ = true;
    if (opposite(way).has_passed_end_)
    {
        close();
        return;
    }
    // A reset may wait behind the end.
    write_next(way);
}

} // namespace auburnlb::fakes
