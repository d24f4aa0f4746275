// HTTP calls that the router makes on its own behalf: to the platform's store,
// to engines for reports and orders, and to other routers.
#ifndef AUBURNLB_ROUTER_INTERNAL_HTTP_CLIENT_HPP
#define AUBURNLB_ROUTER_INTERNAL_HTTP_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "auburnlb/coordination/memory_budgets.hpp"
#include "auburnlb/router/connection_pool.hpp"
#include "auburnlb/router/platform_protocol.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// The response to a call.
struct http_reply
{
    http_head head_;
    std::string body_;

    bool operator==(http_reply const&) const = default;
};

/// Makes calls over its own pool of connections. Not thread-safe.
class internal_http_client
{
public:
    using handler = std::function<void(result<http_reply>)>;

    /// @param memory the budgets of replies; its own ones if null
    internal_http_client(asio::io_context& io, clock_source const& clock,
                         std::shared_ptr<memory_budgets> memory = nullptr);
    ~internal_http_client();
    internal_http_client(internal_http_client const&) = delete;
    internal_http_client& operator=(internal_http_client const&) = delete;

    /// Calls the handler once, never before this function returns, unless the
    /// client is destroyed first. The error is unreachable if no process
    /// listens at the address, and response_lost or timeout if the call may
    /// have taken effect.
    void call(std::string const& address, http_call const& call,
              milliseconds timeout, handler handler);

    /// Fails calls that exceed their timeout.
    void on_tick(time_point now);

    /// Number of calls that failed since their reply was too large, or all
    /// replies together.
    std::uint64_t oversized_replies() const { return oversized_replies_; }

private:
    class pending_call;
    using pending_ptr = std::shared_ptr<pending_call>;

    clock_source const& clock_;
    std::shared_ptr<memory_budgets> memory_;
    connection_pool pool_;
    std::uint64_t oversized_replies_ = 0;
    std::set<pending_ptr> pending_;
};

} // namespace auburnlb

#endif
