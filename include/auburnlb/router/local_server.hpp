// HTTP servers of a router for readiness, metrics and requests of other
// routers.
#ifndef AUBURNLB_ROUTER_LOCAL_SERVER_HPP
#define AUBURNLB_ROUTER_LOCAL_SERVER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "auburnlb/router/caller_connection.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// Accepts connections on one address.
class listener
{
public:
    using handler = std::function<void(asio::ip::tcp::socket)>;

    listener(asio::io_context& io, handler handler);

    /// @param address "IP:port"
    result<void> open(std::string const& address);
    void close();
    /// The port that the listener is bound to, or 0 if it is not open.
    std::uint16_t port() const;

private:
    void accept();

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    handler handler_;
};

/// A response of a local server.
struct local_response
{
    unsigned status_ = 200;
    std::string content_type_ = "application/json";
    std::string body_;
};

/// Answers each request immediately with the result of a function.
class local_server final : public request_service
{
public:
    using handler = std::function<local_response(http_head const& head,
                                                 std::string const& body)>;

    local_server(asio::io_context& io, clock_source const& clock,
                 handler handler);

    result<void> open(std::string const& address);
    void on_tick(time_point now);

    void serve(std::shared_ptr<caller_connection> caller, http_head head,
               std::string body, time_point received) override;
    caller_limits limits() const override { return {}; }
    bool is_closing() const override { return false; }
    time_point now() const override { return clock_.now(); }
    void on_connection_closed(caller_connection& connection) override;
    std::shared_ptr<memory_budgets> memory() override { return memory_; }

private:
    clock_source const& clock_;
    handler handler_;
    std::shared_ptr<memory_budgets> memory_;
    listener listener_;
    std::set<std::shared_ptr<caller_connection>> connections_;
};

} // namespace auburnlb

#endif
