// HTTP server of the stand-ins, which can also drop a request unanswered.
#ifndef AUBURNLB_FAKES_FAKE_HTTP_HPP
#define AUBURNLB_FAKES_FAKE_HTTP_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "auburnlb/transport/http_server.hpp"

namespace auburnlb::fakes
{

/// The reply to one request. Exactly one of send() and drop() is called; a
/// reply that is destroyed without either leaves its connection open.
class fake_reply
{
public:
    virtual ~fake_reply() = default;
    virtual void send(http_response response) = 0;
    /// Closes the connection without an answer.
    virtual void drop() = 0;
};

class fake_http_server
{
public:
    using request_handler =
        std::function<void(incoming_request, std::shared_ptr<fake_reply>)>;

    /// Listens on 127.0.0.1; port zero takes a free one. Throws
    /// std::exception when the port is taken.
    static std::unique_ptr<fake_http_server> start(std::uint16_t port,
                                                   request_handler handler);
    /// Replies must be destroyed before the server is.
    virtual ~fake_http_server() = default;

    virtual std::uint16_t port() const = 0;
    /// Stops serving; no handler runs after it returns.
    virtual void stop() = 0;
};

/// An answer with a JSON text as its body.
http_response json_response(int status, std::string text);

/// "http://127.0.0.1:<port>".
std::string loopback_url(std::uint16_t port);

} // namespace auburnlb::fakes

#endif
