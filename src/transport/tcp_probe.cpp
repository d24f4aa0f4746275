// TCP connection attempts with Asio.
#include "auburnlb/transport/tcp_probe.hpp"

#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

namespace auburnlb
{

namespace
{

std::optional<asio::ip::tcp::endpoint> parse_address(std::string const& address)
{
    auto const scheme = address.find("://");
    auto const first = scheme == std::string::npos ? 0 : scheme + 3;
    auto const colon = address.find(':', first);
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    std::error_code failure;
    auto const ip =
        asio::ip::make_address(address.substr(first, colon - first), failure);
    if (failure)
    {
        return std::nullopt;
    }
    auto const port = static_cast<std::uint16_t>(
        std::strtoul(address.c_str() + colon + 1, nullptr, 10));
    return asio::ip::tcp::endpoint(ip, port);
}

} // namespace

void connect_once(asio::io_context& io, std::string const& address,
                  std::function<void(std::error_code)> handler)
{
    auto const target = parse_address(address);
    if (!target)
    {
        asio::post(
            io, [handler = std::move(handler)]
            { handler(std::make_error_code(std::errc::invalid_argument)); });
        return;
    }
    auto socket = std::make_shared<asio::ip::tcp::socket>(io);
    socket->async_connect(
        *target, [socket, handler = std::move(handler)](std::error_code failure)
        { handler(failure); });
}

} // namespace auburnlb
