// Accepting connections, and answers from a function.
#include "auburnlb/router/local_server.hpp"

#include <utility>

#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// Pause after a failure to accept, such as for want of descriptors.
constexpr milliseconds accept_pause{50};

/// Connections that wait to be accepted.
constexpr int accept_backlog = 1'024;

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
    , listener_(io,
                [this](asio::ip::tcp::socket socket)
                {
                    auto const connection = std::make_shared<caller_connection>(
                        *this, tcp_channel::accepted(std::move(socket)));
                    connections_.insert(connection);
                    connection->start();
                })
{
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
    local_answer const answer = handler_(head, body);
    http_head completion_metadata;
    completion_metadata.status_ = answer.status_;
    completion_metadata.fields_.push_back(
        {"Content-Type", answer.content_type_});
    caller->answer(completion_metadata, answer.body_);
}

void local_server::on_connection_closed(caller_connection& connection)
{
    connections_.erase(connection.shared_from_this());
}

} // namespace auburnlb
