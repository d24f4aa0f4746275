// Tests of what replies without end may take of the router's memory.
#include <algorithm>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include "auburnlb/router/internal_http_client.hpp"

using namespace auburnlb;
using asio::ip::tcp;

namespace
{

/// Takes one connection and sends a reply without end.
class endless_server
{
public:
    explicit endless_server(asio::io_context& io)
        : acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , socket_(io)
        , bytes_("HTTP/1.1 200 OK\r\n\r\n" + std::string(65'536, 'x'))
    {
        acceptor_.async_accept(socket_,
                               [this](asio::error_code const& failure)
                               {
                                   if (!failure)
                                   {
                                       send();
                                   }
                               });
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void send()
    {
        asio::async_write(socket_, asio::buffer(bytes_),
                          [this](asio::error_code const& failure, std::size_t)
                          {
                              if (!failure)
                              {
                                  send();
                              }
                          });
    }

    tcp::acceptor acceptor_;
    tcp::socket socket_;
    std::string bytes_;
};

/// Calls many endless servers at once. Returns the most that was buffered.
std::size_t peak_of_endless_replies(reply_kind kind, int count)
{
    asio::io_context io;
    manual_clock clock;
    auto const memory = std::make_shared<memory_budgets>();
    internal_http_client client(io, clock, memory);
    std::list<endless_server> servers;
    int failures = 0;
    for (int index = 0; index < count; ++index)
    {
        servers.emplace_back(io);
        client.call(servers.back().address(), {"GET", "/x", "", kind},
                    seconds(5),
                    [&](result<http_reply> const& reply)
                    { failures += reply ? 0 : 1; });
    }
    std::size_t peak = 0;
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (failures < count && std::chrono::steady_clock::now() < end)
    {
        io.run_one_for(std::chrono::milliseconds(10));
        peak = std::max(peak, budget_of(*memory, kind).used_);
    }
    EXPECT_EQ(failures, count);
    EXPECT_EQ(budget_of(*memory, kind).used_, 0U);
    EXPECT_GT(client.oversized_replies(), 0U);
    return peak;
}

} // namespace

TEST(internal_http_client, endless_replies_of_many_routers_are_bounded_together)
{
    EXPECT_LE(peak_of_endless_replies(reply_kind::message, 20),
              max_messages_bytes);
}

TEST(internal_http_client, endless_reports_of_many_engines_are_bounded_together)
{
    EXPECT_LE(peak_of_endless_replies(reply_kind::report, 100),
              max_reports_bytes);
}
