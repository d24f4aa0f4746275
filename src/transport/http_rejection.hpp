// Replies to requests that RESTinio's parser rejects.
//
// RESTinio closes the connection of such a request without a reply, but logs
// the cause first, on the same thread. The logger here keeps that cause for the
// socket that is then shut down.
#ifndef AUBURNLB_SRC_TRANSPORT_HTTP_REJECTION_HPP
#define AUBURNLB_SRC_TRANSPORT_HTTP_REJECTION_HPP

#include <string>

#include <asio.hpp>

#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

/// RESTinio's logger. Only the causes of closes are of interest.
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
        note_close_cause(builder());
    }

private:
    static void note_close_cause(std::string text);
};

/// RESTinio's socket. Sends a last reply before a connection is shut down for a
/// rejected request.
class replying_socket : public asio::ip::tcp::socket
{
public:
    using asio::ip::tcp::socket::socket;

    void shutdown(shutdown_type what, asio::error_code& failure);

private:
    void reply_and_discard(std::string const& complaint);
};

/// The refusal of a request whose head is over the limit.
http_response head_too_large();

} // namespace auburnlb

#endif
