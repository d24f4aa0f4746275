// HTTP server over RESTinio, with complete and streamed replies.
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

/// A received request with its complete body.
struct incoming_request
{
    std::string method_;
    /// Path without the query, not percent-decoded.
    std::string path_;
    std::string query_;
    http_headers headers_;
    std::string body_;
    /// Remote address, "IP:port".
    std::string peer_;
};

/// The reply to one request. Thread-safe; no call blocks. The user calls either
/// send() or begin_stream(), once; later calls are ignored. If the object is
/// destroyed before either call, the server sends an error response. If it is
/// destroyed before end_stream(), the connection is closed without the
/// terminating chunk.
class http_reply
{
public:
    virtual ~http_reply() = default;
    virtual void send(http_response response) = 0;
    /// Starts a response with chunked transfer encoding.
    virtual void begin_stream(int status, http_headers headers) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void end_stream() = 0;
    /// Bytes of the body that are not yet written to the connection.
    virtual std::size_t unsent_bytes() const = 0;
    /// Registers a handler that is called at most once, on a server thread,
    /// when the connection closes before send() or end_stream(). If it is
    /// already closed, on_closed() calls the handler itself. Connections that
    /// stop() closes are not reported.
    virtual void on_closed(std::function<void()> handler) = 0;
};

struct http_server_options
{
    std::string address_ = "127.0.0.1";
    /// Zero selects a free port.
    std::uint16_t port_ = 0;
    std::size_t threads_ = 2;
    std::size_t max_body_bytes_ = 4U << 20U;
    std::size_t max_header_bytes_ = 16U << 10U;
    /// Time limit for receiving a complete request, and for an idle
    /// connection.
    milliseconds read_timeout_{10'000};
    /// Connections beyond this number are closed immediately.
    std::size_t max_connections_ = 20'000;
};

/// HTTP server. Malformed and oversized requests get an error response and slow
/// ones are closed; none of them reach the handler.
class http_server
{
public:
    using request_handler =
        std::function<void(incoming_request, std::shared_ptr<http_reply>)>;

    /// Starts listening. Returns error_code::unreachable, with the address in
    /// the detail, if the port is in use, and error_code::invalid_input if the
    /// address is not an IP address. The handler runs on a server thread and
    /// must not block.
    static result<std::unique_ptr<http_server>>
    start(http_server_options options, request_handler handler);
    virtual ~http_server() = default;

    virtual std::uint16_t port() const = 0;
    /// Adds "Connection: close" to every later response. A connection at rest
    /// stays open, since its caller may be sending a request.
    virtual void close_after_responses() = 0;
    /// Does the same and stops accepting connections. Requests in progress
    /// continue.
    virtual void drain() = 0;
    /// Received requests whose response is not yet completely written to the
    /// connection. A graceful shutdown waits for zero after drain().
    virtual std::size_t requests_in_progress() const = 0;
    /// Open connections, including idle ones. After drain(), each closes after
    /// its next response or at the read timeout.
    virtual std::size_t open_connections() const = 0;
    /// Closes all connections immediately. No handler runs after it returns.
    virtual void stop() = 0;
};

} // namespace auburnlb

#endif
