// Non-blocking TCP connections. All share one read buffer.
#ifndef AUBURNLB_ROUTER_TCP_CHANNEL_HPP
#define AUBURNLB_ROUTER_TCP_CHANNEL_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "auburnlb/coordination/byte_budget.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// Parses "IP:port".
result<asio::ip::tcp::endpoint> parse_endpoint(std::string const& address);

/// How a connection ended.
enum class channel_end
{
    /// The peer closed its sending half in an orderly way.
    closed,
    /// The peer reset the connection, or the connection timed out.
    broken,
    /// The connection could not be established; no byte was sent.
    not_connected,
    /// The same, because no process listens at the address.
    refused,
};

/// Receives the events of a channel. The receiver may be destroyed during a
/// call; the channel does not access it afterwards.
class channel_receiver
{
public:
    virtual ~channel_receiver() = default;
    virtual void on_connected() {}
    /// The bytes are valid during the call only.
    virtual void on_bytes(std::string_view bytes) = 0;
    /// The connection has ended. Called at most once, and not after close().
    virtual void on_end(channel_end end) = 0;
};

/// One TCP connection. Not thread-safe: all calls must come from the
/// io_context's thread.
class tcp_channel : public std::enable_shared_from_this<tcp_channel>
{
public:
    static std::shared_ptr<tcp_channel> accepted(asio::ip::tcp::socket socket);
    /// Starts to connect; the receiver is notified of the outcome later.
    static std::shared_ptr<tcp_channel>
    connect(asio::io_context& io, asio::ip::tcp::endpoint const& peer,
            channel_receiver& receiver);

    /// Starts to read and to notify the receiver.
    void start(channel_receiver& receiver);

    /// Leaves what arrives to the kernel, which stops the peer when its buffer
    /// is full. The end of the connection is not noticed meanwhile.
    void pause_reading() { is_reading_paused_ = true; }
    void resume_reading();
    /// Keeps the kernel's buffer of received bytes small.
    void bound_receive_buffer();

    /// Counts the unsent bytes in a budget from now on.
    void charge_to(std::shared_ptr<byte_budget> budget);

    /// Sends the bytes; buffers those that the socket does not accept yet.
    void write(std::string_view bytes);

    /// Closes immediately; buffered bytes are lost. The receiver is not called
    /// any more.
    void close();

    /// Sends buffered bytes, closes the sending half, and from then on reads
    /// without a receiver until the linger time is over: closing a socket with
    /// unread bytes would reset the connection and could lose the end of the
    /// response. A peer that takes no bytes ends the connection earlier.
    /// @param on_dropped called at most once, when such bytes arrive
    void close_gracefully(milliseconds linger,
                          std::function<void()> on_dropped = nullptr);

    bool is_open() const { return socket_.is_open(); }
    /// Number of buffered bytes.
    std::size_t unsent_bytes() const { return unsent_.size(); }
    /// Whether bytes have arrived that the receiver has not been given.
    bool has_unread_bytes() const;
    /// Whether the peer has not acknowledged all that was sent.
    bool has_unacknowledged_bytes();
    /// Whether no bytes are buffered.
    bool is_drained() const { return unsent_.empty(); }
    bool has_sent_anything() const { return sent_bytes_ > 0; }
    /// Number of bytes that the socket has accepted.
    std::uint64_t sent_bytes() const { return sent_bytes_; }
    /// Whether bytes could not be sent because the connection has broken. What
    /// has arrived before is still read.
    bool has_write_failed() const { return has_write_failed_; }
    /// Whether the connection ended because the peer acknowledged nothing.
    bool has_timed_out() const { return has_timed_out_; }
    std::string const& peer() const { return peer_; }

private:
    explicit tcp_channel(asio::ip::tcp::socket socket);
    void configure_socket();
    void wait_readable();
    void read_available();
    void wait_writable();
    void write_unsent();
    void record_write_failure(asio::error_code const& failure);
    void drop_sent(std::size_t count);
    void close_sending_half();
    void report_end(channel_end end);

    asio::ip::tcp::socket socket_;
    channel_receiver* receiver_ = nullptr;
    std::string unsent_;
    /// Null if the unsent bytes are not counted.
    std::shared_ptr<byte_budget> budget_;
    budgeted_bytes charge_;
    std::string peer_;
    bool is_connected_ = true;
    bool is_waiting_writable_ = false;
    bool is_closing_gracefully_ = false;
    bool is_reading_paused_ = false;
    bool is_waiting_readable_ = false;
    /// The system reports a reset once, to the first call that meets it. A read
    /// after a failed write sees an orderly end in its place.
    bool has_write_failed_ = false;
    bool has_timed_out_ = false;
    std::uint64_t sent_bytes_ = 0;
    /// Null once called.
    std::function<void()> on_dropped_;
    /// Time for which the closed channel continues to be read.
    milliseconds linger_{0};
};

} // namespace auburnlb

#endif
