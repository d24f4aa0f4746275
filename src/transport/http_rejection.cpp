// Replies to requests that RESTinio's parser rejects.
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
/// Bytes of a rejected request that are read and dropped before the close.
constexpr std::size_t max_discarded_bytes = 1U << 20U;

/// What the parser said about the connection that this thread closes next;
/// empty when the close has another cause.
thread_local std::string parser_complaint;

http_response rejection_reply(std::string_view complaint)
{
    auto const names = [&](char const* cause)
    {
        return complaint.find(cause) != std::string_view::npos;
    };
    if (names("HPE_CB_headers_complete") || names("HPE_CB_body"))
    {
        return format_error(refusal_reason::body_too_large, run_state::not_run,
                            "the body is larger than allowed");
    }
    if (names("HPE_HEADER_OVERFLOW") || names("HPE_CB_header") ||
        names("HPE_CB_url"))
    {
        return head_too_large();
    }
    return format_error(refusal_reason::malformed_request, run_state::not_run,
                        "the bytes received are not an HTTP/1.1 request");
}

std::string serialize_last(http_response const& reply)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(reply.status_) +
                        " Rejected\r\nConnection: close\r\n";
    for (auto const& [name, value] : reply.headers_)
    {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    return bytes + "Content-Length: " + std::to_string(reply.body_.size()) +
           "\r\n\r\n" + reply.body_;
}

} // namespace

void rejection_logger::note_close_cause(std::string text)
{
    bool const is_rejection = text.find("parser error") != std::string::npos;
    parser_complaint = is_rejection ? std::move(text) : std::string();
}

void replying_socket::shutdown(shutdown_type what, asio::error_code& failure)
{
    if (!parser_complaint.empty())
    {
        reply_and_discard(std::exchange(parser_complaint, {}));
    }
    asio::ip::tcp::socket::shutdown(what, failure);
}

/// Never waits. Unread bytes are dropped, since closing a socket that still
/// holds some resets the connection and may take the reply with it.
void replying_socket::reply_and_discard(std::string const& complaint)
{
    std::string const bytes = serialize_last(rejection_reply(complaint));
    static_cast<void>(::send(native_handle(), bytes.data(), bytes.size(),
                             MSG_DONTWAIT | MSG_NOSIGNAL));
    std::array<char, discard_buffer_bytes> dropped{};
    for (std::size_t total = 0; total < max_discarded_bytes;)
    {
        ssize_t const count = ::recv(native_handle(), dropped.data(),
                                     dropped.size(), MSG_DONTWAIT);
        if (count <= 0)
        {
            return;
        }
        total += static_cast<std::size_t>(count);
    }
}

http_response head_too_large()
{
    http_response reply =
        format_error(refusal_reason::malformed_request, run_state::not_run,
                     "the head of the request is larger than allowed");
    reply.status_ = 431;
    return reply;
}

} // namespace auburnlb
