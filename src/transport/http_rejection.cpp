// Responses to requests that RESTinio's parser rejects.
#include "http_rejection.hpp"

#include <array>
#include <string_view>
#include <utility>

#include <sys/socket.h>

#include "auburnlb/transport/caller_api.hpp"

namespace auburnlb
{

namespace
{

constexpr std::size_t discard_buffer_bytes = 8U << 10U;
/// Bytes of a rejected request that are read and discarded before the close.
constexpr std::size_t max_discarded_bytes = 1U << 20U;

/// The parser's error for the connection that this thread closes next; empty if
/// the close has another cause.
thread_local std::string parser_error;

http_response rejection_response(std::string_view error_text)
{
    auto const contains = [&](char const* cause)
    {
        return error_text.find(cause) != std::string_view::npos;
    };
    if (contains("HPE_CB_headers_complete") || contains("HPE_CB_body"))
    {
        return format_error(refusal_reason::body_too_large, run_state::not_run,
                            "the request body exceeds the size limit");
    }
    if (contains("HPE_HEADER_OVERFLOW") || contains("HPE_CB_header") ||
        contains("HPE_CB_url"))
    {
        return head_too_large();
    }
    return format_error(refusal_reason::malformed_request, run_state::not_run,
                        "the received data is not a valid HTTP/1.1 request");
}

std::string serialize_closing_response(http_response const& response)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(response.status_) +
                        " Rejected\r\nConnection: close\r\n";
    for (auto const& [name, value] : response.headers_)
    {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    return bytes + "Content-Length: " + std::to_string(response.body_.size()) +
           "\r\n\r\n" + response.body_;
}

} // namespace

void rejection_logger::record_close_cause(std::string text)
{
    bool const is_rejection = text.find("parser error") != std::string::npos;
    parser_error = is_rejection ? std::move(text) : std::string();
}

void replying_socket::shutdown(shutdown_type what, asio::error_code& failure)
{
    if (!parser_error.empty())
    {
        send_rejection(std::exchange(parser_error, {}));
    }
    asio::ip::tcp::socket::shutdown(what, failure);
}

/// Does not block. Reads and discards the unread bytes, since closing a socket
/// with unread data resets the connection and may discard the response.
void replying_socket::send_rejection(std::string const& error_text)
{
    std::string const bytes =
        serialize_closing_response(rejection_response(error_text));
    static_cast<void>(::send(native_handle(), bytes.data(), bytes.size(),
                             MSG_DONTWAIT | MSG_NOSIGNAL));
    std::array<char, discard_buffer_bytes> discarded{};
    for (std::size_t total = 0; total < max_discarded_bytes;)
    {
        ssize_t const count = ::recv(native_handle(), discarded.data(),
                                     discarded.size(), MSG_DONTWAIT);
        if (count <= 0)
        {
            return;
        }
        total += static_cast<std::size_t>(count);
    }
}

http_response head_too_large()
{
    http_response response =
        format_error(refusal_reason::malformed_request, run_state::not_run,
                     "the request header exceeds the size limit");
    response.status_ = 431;
    return response;
}

} // namespace auburnlb
