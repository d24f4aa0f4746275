// Responses to requests that RESTinio's parser rejects.
//
// RESTinio closes the connection of such a request without a response, but
// first logs the cause on the same thread. The logger below stores that cause,
// and the socket reads it when it is shut down.
#ifndef AUBURNLB_SRC_TRANSPORT_HTTP_REJECTION_HPP
#define AUBURNLB_SRC_TRANSPORT_HTTP_REJECTION_HPP

#include <string>

#include <asio.hpp>

#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

/// RESTinio's logger. Records the cause of a connection close and ignores all
/// other messages.
class rejection_logger
{
public:
    template <class Builder>
    constexpr void trace(Builder&&) const noexcept
    {
    }
    template <class Builder>
    constexpr void info(Builder&&) const noexcept
    {
    }
    template <class Builder>
    constexpr void warn(Builder&&) const noexcept
    {
    }
    template <class Builder>
    void error(Builder&& builder) const
    {
        record_close_cause(builder());
    }

private:
    static void record_close_cause(std::string text);
};

/// RESTinio's socket. Sends an error response before a connection is shut down
/// because of a rejected request.
class replying_socket : public asio::ip::tcp::socket
{
public:
    using asio::ip::tcp::socket::socket;

    void shutdown(shutdown_type what, asio::error_code& failure);

private:
    void send_rejection(std::string const& error_text);
};

/// The error response to a request whose header exceeds the size limit.
http_response head_too_large();

} // namespace auburnlb

#endif
