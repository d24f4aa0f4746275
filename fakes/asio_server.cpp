// The server of the stand-ins of the users' platform.
#include "asio_server.hpp"

#include <stdexcept>
#include <utility>

namespace auburnlb::fakes
{

asio_server::asio_server(asio::io_context& io, std::uint16_t port,
                         handler handler)
    : handler_(std::move(handler))
    , listener_(io,
                [this](asio::ip::tcp::socket socket)
                {
                    auto const connection = std::make_shared<caller_connection>(
                        *this, tcp_channel::accepted(std::move(socket)));
                    connections_.insert(connection);
                    connection->start();
                })
{
    auto const opened = listener_.open("127.0.0.1:" + std::to_string(port));
    if (!opened)
    {
        throw std::runtime_error(to_string(opened.error()));
    }
    port_ = listener_.port();
}

void asio_server::drop_connections()
{
    auto const connections = connections_;
    for (auto const& each : connections)
    {
        each->abort_response();
    }
}

void asio_server::serve(std::shared_ptr<caller_connection> caller,
                        http_head head, std::string body, time_point)
{
    handler_(std::move(caller), std::move(head), std::move(body));
}

caller_limits asio_server::limits() const
{
    caller_limits limits;
    limits.idle_timeout_ = milliseconds(60'000);
    return limits;
}

void asio_server::on_connection_closed(caller_connection& connection)
{
    connections_.erase(connection.shared_from_this());
}

void answer_json(caller_connection& caller, unsigned status,
                 std::string const& body, std::vector<http_field> fields)
{
    http_head head;
    head.status_ = status;
    head.fields_ = std::move(fields);
    head.fields_.push_back({"Content-Type", "application/json"});
    caller.send_response(head, body);
}

std::string query_value(std::string const& target, std::string const& name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos)
    {
        std::size_t const begin = at + 1;
        at = target.find('&', begin);
        std::string const pair = target.substr(begin, at - begin);
        if (pair.starts_with(name + "="))
        {
            return pair.substr(name.size() + 1);
        }
    }
    return {};
}

} // namespace auburnlb::fakes
