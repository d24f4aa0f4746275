// Non-blocking reads and writes on a TCP connection.
#include "auburnlb/router/tcp_channel.hpp"

#include <array>
#include <charconv>
#include <utility>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <asio/steady_timer.hpp>

namespace auburnlb
{

namespace
{

/// Maximum number of bytes per read.
constexpr std::size_t read_buffer_bytes = std::size_t{64} * 1024;

/// Sent bytes must be acknowledged within this time, so that a connection whose
/// state some middlebox has dropped does not hang.
constexpr int unacknowledged_limit_ms = 2'000;

/// The kernel's buffer of a stream's connection; the kernel takes it twice. A
/// sound stream brings some kilobytes a second.
constexpr int bounded_receive_bytes = 64 * 1024;

/// A larger buffer is given back once its bytes are sent.
constexpr std::size_t max_kept_capacity = std::size_t{16} * 1024;

std::array<char, read_buffer_bytes>& read_buffer()
{
    static std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

std::string peer_text(asio::ip::tcp::endpoint const& peer)
{
    return peer.address().to_string() + ":" + std::to_string(peer.port());
}

channel_end end_of_connect(asio::error_code const& failure)
{
    return failure == asio::error::connection_refused
               ? channel_end::refused
               : channel_end::not_connected;
}

using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

result<asio::ip::tcp::endpoint> parse_endpoint(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    std::uint16_t port = 0;
    asio::error_code failure;
    auto const ip = asio::ip::make_address(address.substr(0, colon), failure);
    bool is_valid = !failure && colon != std::string::npos;
    if (is_valid)
    {
        auto const parsed = std::from_chars(
            address.data() + colon + 1, address.data() + address.size(), port);
        is_valid = parsed.ec == std::errc{} &&
                   parsed.ptr == address.data() + address.size();
    }
    if (!is_valid)
    {
        return error{error_code::invalid_input, "parse address", address,
                     "the address is not of the form IP:port"};
    }
    return asio::ip::tcp::endpoint(ip, port);
}

tcp_channel::tcp_channel(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
{
}

std::shared_ptr<tcp_channel> tcp_channel::accepted(asio::ip::tcp::socket socket)
{
    std::shared_ptr<tcp_channel> channel(new tcp_channel(std::move(socket)));
    asio::error_code failure;
    auto const peer = channel->socket_.remote_endpoint(failure);
    channel->peer_ = failure ? "" : peer_text(peer);
    channel->configure_socket();
    return channel;
}

std::shared_ptr<tcp_channel>
tcp_channel::connect(asio::io_context& io, asio::ip::tcp::endpoint const& peer,
                     channel_receiver& receiver)
{
    std::shared_ptr<tcp_channel> channel(
        new tcp_channel(asio::ip::tcp::socket(io)));
    channel->peer_ = peer_text(peer);
    channel->receiver_ = &receiver;
    channel->is_connected_ = false;
    asio::error_code failure;
    channel->socket_.open(asio::ip::tcp::v4(), failure);
    channel->configure_socket();
    channel->socket_.async_connect(peer,
                                   [channel](asio::error_code const& outcome)
                                   {
                                       if (!channel->is_open())
                                       {
                                           return;
                                       }
                                       if (outcome)
                                       {
                                           channel->report_end(
                                               end_of_connect(outcome));
                                           return;
                                       }
                                       channel->is_connected_ = true;
                                       channel->wait_readable();
                                       channel->write_unsent();
                                       if (channel->receiver_ != nullptr)
                                       {
                                           channel->receiver_->on_connected();
                                       }
                                   });
    return channel;
}

void tcp_channel::configure_socket()
{
    // The connection works without these options, but is slower or detects
    // failures later.
    asio::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(user_timeout(unacknowledged_limit_ms), ignored);
}

void tcp_channel::start(channel_receiver& receiver)
{
    bool const was_reading = receiver_ != nullptr;
    receiver_ = &receiver;
    if (!was_reading && is_connected_)
    {
        wait_readable();
    }
}

void tcp_channel::wait_readable()
{
    if (std::exchange(is_waiting_readable_, true))
    {
        return;
    }
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](asio::error_code const& wait)
                       {
                           self->is_waiting_readable_ = false;
                           bool const is_ready = !wait && self->is_open();
                           if (is_ready && !self->is_reading_paused_)
                           {
                               self->read_available();
                           }
                       });
}

void tcp_channel::resume_reading()
{
    if (std::exchange(is_reading_paused_, false) && is_open() && is_connected_)
    {
        wait_readable();
    }
}

void tcp_channel::bound_receive_buffer()
{
    asio::error_code ignored;
    socket_.set_option(
        asio::socket_base::receive_buffer_size(bounded_receive_bytes), ignored);
}

void tcp_channel::charge_to(std::shared_ptr<byte_budget> budget)
{
    charge_.move_to(*budget);
    budget_ = std::move(budget);
}

bool tcp_channel::has_unread_bytes() const
{
    asio::error_code failure;
    return socket_.available(failure) > 0 && !failure;
}

bool tcp_channel::has_unacknowledged_bytes()
{
    int bytes = 0;
    return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void tcp_channel::read_available()
{
    asio::error_code failure;
    std::size_t const length =
        socket_.read_some(asio::buffer(read_buffer()), failure);
    if (failure == asio::error::would_block ||
        failure == asio::error::interrupted)
    {
        wait_readable();
        return;
    }
    if (failure)
    {
        has_timed_out_ = has_timed_out_ || failure == asio::error::timed_out;
        bool const is_closed =
            failure == asio::error::eof && !has_write_failed_;
        report_end(is_closed ? channel_end::closed : channel_end::broken);
        return;
    }
    // Waits first, since the receiver may close the channel.
    wait_readable();
    if (is_closing_gracefully_)
    {
        if (auto const on_dropped = std::exchange(on_dropped_, nullptr))
        {
            on_dropped();
        }
        return;
    }
    if (receiver_ != nullptr)
    {
        receiver_->on_bytes({read_buffer().data(), length});
    }
}

void tcp_channel::write(std::string_view bytes)
{
    if (!is_open() || is_closing_gracefully_)
    {
        return;
    }
    if (!is_connected_ || !unsent_.empty())
    {
        unsent_.append(bytes);
        charge_.set(unsent_.size());
        return;
    }
    asio::error_code failure;
    std::size_t const sent =
        socket_.write_some(asio::buffer(bytes.data(), bytes.size()), failure);
    sent_bytes_ += sent;
    if (failure && failure != asio::error::would_block)
    {
        record_write_failure(failure);
        return;
    }
    if (sent < bytes.size())
    {
        unsent_.append(bytes.substr(sent));
        charge_.set(unsent_.size());
        wait_writable();
    }
}

void tcp_channel::wait_writable()
{
    if (std::exchange(is_waiting_writable_, true))
    {
        return;
    }
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this()](asio::error_code const& wait)
                       {
                           self->is_waiting_writable_ = false;
                           if (!wait && self->is_open())
                           {
                               self->write_unsent();
                           }
                       });
}

void tcp_channel::write_unsent()
{
    if (unsent_.empty())
    {
        return;
    }
    asio::error_code failure;
    std::size_t const sent = socket_.write_some(asio::buffer(unsent_), failure);
    if (failure && failure != asio::error::would_block)
    {
        drop_sent(unsent_.size());
        record_write_failure(failure);
        return;
    }
    sent_bytes_ += sent;
    drop_sent(sent);
    if (!unsent_.empty())
    {
        wait_writable();
        return;
    }
    if (is_closing_gracefully_)
    {
        close_sending_half();
    }
}

void tcp_channel::record_write_failure(asio::error_code const& failure)
{
    has_write_failed_ = true;
    has_timed_out_ = has_timed_out_ || failure == asio::error::timed_out;
}

void tcp_channel::drop_sent(std::size_t count)
{
    unsent_.erase(0, count);
    if (unsent_.empty() && unsent_.capacity() > max_kept_capacity)
    {
        unsent_ = {};
    }
    charge_.set(unsent_.size());
}

void tcp_channel::close()
{
    drop_sent(unsent_.size());
    receiver_ = nullptr;
    on_dropped_ = nullptr;
    asio::error_code ignored;
    socket_.close(ignored);
}

void tcp_channel::close_gracefully(milliseconds linger,
                                   std::function<void()> on_dropped)
{
    if (!is_open() || is_closing_gracefully_)
    {
        return;
    }
    is_closing_gracefully_ = true;
    resume_reading();
    on_dropped_ = std::move(on_dropped);
    linger_ = linger;
    receiver_ = nullptr;
    if (unsent_.empty())
    {
        close_sending_half();
    }
}

void tcp_channel::close_sending_half()
{
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    auto timer =
        std::make_shared<asio::steady_timer>(socket_.get_executor(), linger_);
    timer->async_wait([self = shared_from_this(),
                       timer](asio::error_code const&) { self->close(); });
}

void tcp_channel::report_end(channel_end end)
{
    channel_receiver* const receiver = std::exchange(receiver_, nullptr);
    auto const keep_alive = shared_from_this();
    close();
    if (receiver != nullptr)
    {
        receiver->on_end(end);
    }
}

} // namespace auburnlb
