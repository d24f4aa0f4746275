// Asynchronous HTTP client over libcurl's multi interface.
#ifndef AUBURNLB_TRANSPORT_HTTP_CLIENT_HPP
#define AUBURNLB_TRANSPORT_HTTP_CLIENT_HPP

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

using http_headers = std::vector<std::pair<std::string, std::string>>;

struct http_request
{
    std::string method_ = "GET";
    std::string url_;
    http_headers headers_;
    std::string body_;
    milliseconds timeout_{5'000};
    /// Whether the request may follow others on their connection. A faulty
    /// server that repeats a response on it can't be noticed then.
    bool may_reuse_connection_ = true;
};

struct http_response
{
    int status_ = 0;
    http_headers headers_;
    std::string body_;
};

/// Returns the value of a header field, compared without regard to case, or an
/// empty string if the field is absent.
std::string find_header(http_headers const& headers, std::string const& name);

/// Asynchronous HTTP client that runs all requests on one thread of its own.
/// Handlers are called on that thread and must not block. The error is
/// error_code::unreachable only if no part of the request was sent.
class http_client
{
public:
    using response_handler = std::function<void(result<http_response>)>;

    http_client();
    /// Fails all unfinished requests with error_code::response_lost.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    void send(http_request request, response_handler handler);
    /// Sends a request and blocks until its result is known. For command-line
    /// tools and tests.
    result<http_response> send_and_wait(http_request request);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace auburnlb

#endif
