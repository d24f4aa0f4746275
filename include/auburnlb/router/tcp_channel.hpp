// A TCP connection that never blocks and reads into a buffer shared by all.
#ifndef AUBURNLB_ROUTER_TCP_CHANNEL_HPP
#define AUBURNLB_ROUTER_TCP_CHANNEL_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// Reads "IP:port".
result<asio::ip::tcp::endpoint> parse_endpoint(std::string const& address);

/// How a connection ended.
enum class channel_end
{
    /// The peer closed its sending half in order.
    closed,
    /// The peer reset the connection, or the network gave it up.
    broken,
    /// No connection came about; no byte left this host.
    not_connected,
};

/// Receives what happens on a channel. Calls may destroy the receiver: the
/// channel touches nothing of it afterwards.
class channel_receiver
{
public:
    virtual ~channel_receiver() = default;
    virtual void on_connected() {}
    /// The bytes are valid during the call only.
    virtual void on_bytes(std::string_view bytes) = 0;
    /// Nothing more will be received. Called once, not after close().
    virtual void on_end(channel_end end) = 0;
};

/// One connection. Not thread-safe: all calls come from the io_context's
/// thread.
class tcp_channel : public std::enable_shared_from_this<tcp_channel>
{
public:
    static std::shared_ptr<tcp_channel> accepted(asio::ip::tcp::socket socket);
    /// Begins to connect; the receiver learns the outcome later.
    static std::shared_ptr<tcp_channel>
    connect(asio::io_context& io, asio::ip::tcp::endpoint const& peer,
            channel_receiver& receiver);

    /// Begins to read for the receiver.
    void start(channel_receiver& receiver);

    /// Sends the bytes, or keeps what the peer does not take yet.
    void write(std::string_view bytes);

    /// Closes at once; bytes that are kept are lost. No more calls come.
    void close();

    /// Sends what is kept, ends the sending half, and goes on reading without
    /// a receiver for a while: a close with unread bytes would reset the
    /// connection and could take the last answer with it.
    void close_gracefully(milliseconds linger);

    bool is_open() const { return socket_.is_open(); }
    /// Bytes that the peer has not taken yet.
    std::size_t unsent_bytes() const { return unsent_.size(); }
    /// Whether the bytes of the last write have all been given to the network.
    bool is_drained() const { return unsent_.empty(); }
    bool has_sent_anything() const { return has_sent_; }
    std::string const& peer() const { return peer_; }

private:
    explicit tcp_channel(asio::ip::tcp::socket socket);
    void configure_socket();
    void wait_readable();
    void read_available();
    void wait_writable();
    void write_unsent();
    void report_end(channel_end end);

    asio::ip::tcp::socket socket_;
    channel_receiver* receiver_ = nullptr;
    std::string unsent_;
    std::string peer_;
    bool is_connected_ = true;
    bool is_waiting_writable_ = false;
    bool is_closing_gracefully_ = false;
    bool has_sent_ = false;
};

} // namespace auburnlb

#endif
