// Accepting connections, and responses from a function.
#include "auburnlb/router/local_server.hpp"

#include <utility>

#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// Pause after accept() failed, for example because no file descriptors were
/// left.
constexpr milliseconds accept_pause{50};

/// Length of the queue of connections to accept.
constexpr int accept_backlog = 1'024;

/// What the connections of one server buffer of requests, and of responses.
constexpr std::size_t max_local_bytes = 8 * bytes_per_mb;

} // namespace

listener::listener(asio::io_context& io, handler handler)
    : acceptor_(io)
    , pause_(io)
    , handler_(std::move(handler))
{
}

result<void> listener::open(std::string const& address)
{
    auto const endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return endpoint.error();
    }
    asio::error_code failure;
    acceptor_.open(asio::ip::tcp::v4(), failure);
    if (!failure)
    {
        acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
        acceptor_.bind(endpoint.value(), failure);
    }
    if (!failure)
    {
        acceptor_.listen(accept_backlog, failure);
    }
    if (failure)
    {
        return error{error_code::unreachable, "listen", address,
                     failure.message()};
    }
    accept();
    return boost::outcome_v2::success();
}

void listener::close()
{
    asio::error_code ignored;
    acceptor_.close(ignored);
}

std::uint16_t listener::port() const
{
    asio::error_code failure;
    auto const local = acceptor_.local_endpoint(failure);
    return failure ? std::uint16_t{0} : local.port();
}

void listener::accept()
{
    acceptor_.async_accept(
        [this](asio::error_code const& failure, asio::ip::tcp::socket socket)
        {
            if (!acceptor_.is_open())
            {
                return;
            }
            if (!failure)
            {
                handler_(std::move(socket));
                accept();
                return;
            }
            log(log_level::warning, log_event::port_unavailable,
                {{"reason", failure.message()}},
                "a connection could not be accepted");
            pause_.expires_after(accept_pause);
            pause_.async_wait([this](asio::error_code const&) { accept(); });
        });
}

local_server::local_server(asio::io_context& io, clock_source const& clock,
                           handler handler)
    : clock_(clock)
    , handler_(std::move(handler))
    , memory_(std::make_shared<memory_budgets>())
    , listener_(io,
                [this](asio::ip::tcp::socket socket)
                {
                    auto const connection = std::make_shared<caller_connection>(
                        *this, tcp_channel::accepted(std::move(socket)));
                    connections_.insert(connection);
                    connection->start();
                })
{
    memory_->requests_.limit_ = max_local_bytes;
    memory_->responses_.limit_ = max_local_bytes;
}

result<void> local_server::open(std::string const& address)
{
    return listener_.open(address);
}

void local_server::on_tick(time_point now)
{
    auto const connections = connections_;
    for (auto const& each : connections)
    {
        each->on_tick(now);
    }
}

void local_server::serve(std::shared_ptr<caller_connection> caller,
                         http_head head, std::string body, time_point)
{
    local_response const response =
        is_exceeded(memory_->responses_)
            ? local_response{status_unavailable, "text/plain", ""}
            : handler_(head, body);
    http_head response_head;
    response_head.status_ = response.status_;
    response_head.fields_.push_back({"Content-Type", response.content_type_});
    caller->send_response(response_head, response.body_);
}

void local_server::on_connection_closed(caller_connection& connection)
{
    connections_.erase(connection.shared_from_this());
}

} // namespace auburnlb
