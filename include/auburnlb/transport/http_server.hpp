// HTTP server over RESTinio, with whole and streamed replies.
#ifndef AUBURNLB_TRANSPORT_HTTP_SERVER_HPP
#define AUBURNLB_TRANSPORT_HTTP_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

/// A request as received, its body whole.
struct incoming_request
{
    std::string method_;
    /// Path without the query, percent-decoding not applied.
    std::string path_;
    std::string query_;
    http_headers headers_;
    std::string body_;
    std::string peer_;
};

/// The reply to one request. Thread-safe, and never waits. Exactly one of
/// send() or begin_stream() is called, once; a later call is ignored. A reply
/// that is destroyed before it was sent becomes an error; a stream that was not
/// ended is cut without its last chunk.
class http_reply
{
public:
    virtual ~http_reply() = default;
    virtual void send(http_response response) = 0;
    /// Starts a chunked reply.
    virtual void begin_stream(int status, http_headers headers) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void end_stream() = 0;
    /// Bytes written and not yet taken by the connection.
    virtual std::size_t unsent_bytes() const = 0;
    /// Called at most once, from a server thread, when the connection closes
    /// before send() or end_stream(); by on_closed itself when it has already
    /// closed. Not called for connections that stop() closes.
    virtual void on_closed(std::function<void()> handler) = 0;
};

struct http_server_options
{
    std::string address_ = "127.0.0.1";
    /// Zero takes a free port.
    std::uint16_t port_ = 0;
    std::size_t threads_ = 2;
    std::size_t max_body_bytes_ = 4U << 20U;
    std::size_t max_header_bytes_ = 16U << 10U;
    /// Limit for receiving one whole request, and for an idle connection.
    milliseconds read_timeout_{10'000};
    /// Connections over this number are closed at once.
    std::size_t max_connections_ = 20'000;
};

/// Malformed, oversized and slow requests are answered or closed by the server
/// itself and never reach the handler.
class http_server
{
public:
    using request_handler =
        std::function<void(incoming_request, std::shared_ptr<http_reply>)>;

    /// Listens at once; error_code::unreachable with the address in the detail
    /// when the port is taken, error_code::invalid_input for an address that is
    /// no IP number. The handler runs on a server thread and must not wait.
    static result<std::unique_ptr<http_server>>
    start(http_server_options options, request_handler handler);
    virtual ~http_server() = default;

    virtual std::uint16_t port() const = 0;
    /// Stops accepting and asks for "Connection: close" on every later reply;
    /// what is in progress goes on.
    virtual void drain() = 0;
    /// Requests received whose reply was not yet taken by the connection to the
    /// last byte. A graceful stop waits for zero after drain().
    virtual std::size_t requests_in_progress() const = 0;
    /// Connections open, idle ones included. After drain() each closes with its
    /// next reply, or at the read timeout.
    virtual std::size_t open_connections() const = 0;
    /// Closes everything at once; no handler runs after it returns.
    virtual void stop() = 0;
};

} // namespace auburnlb

#endif
