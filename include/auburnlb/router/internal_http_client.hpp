// Calls to HTTP servers that are not callers' requests: the platform's store,
// orders to engines, reports of engines and exchanges between routers.
#ifndef AUBURNLB_ROUTER_INTERNAL_HTTP_CLIENT_HPP
#define AUBURNLB_ROUTER_INTERNAL_HTTP_CLIENT_HPP

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "auburnlb/router/endpoint_pool.hpp"
#include "auburnlb/router/platform_protocol.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// The answer to a call.
struct http_reply
{
    unsigned status_ = 0;
    std::string body_;

    bool operator==(http_reply const&) const = default;
};

/// Makes calls over connections of its own. Not thread-safe.
class internal_http_client
{
public:
    using handler = std::function<void(result<http_reply>)>;

    internal_http_client(asio::io_context& io, clock_source const& clock);
    ~internal_http_client();
    internal_http_client(internal_http_client const&) = delete;
    internal_http_client& operator=(internal_http_client const&) = delete;

    /// The handler is called once, later, unless the caller is destroyed. Its
    /// error is unreachable if nothing was sent, and response_lost or timeout
    /// if the call may have taken effect.
    void call(std::string const& address, http_call const& call,
              milliseconds timeout, handler handler);

    /// Ends calls that took too long.
    void on_tick(time_point now);

private:
    class pending_call;
    using pending_ptr = std::shared_ptr<pending_call>;

    clock_source const& clock_;
    endpoint_pool pool_;
    std::set<pending_ptr> pending_;
};

} // namespace auburnlb

#endif
