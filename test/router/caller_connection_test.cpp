// Tests of when a caller's connection counts as idle.
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include "auburnlb/router/caller_connection.hpp"
#include "auburnlb/transport/steady_clock.hpp"

using namespace auburnlb;
using asio::ip::tcp;

namespace
{

/// Answers each request with an empty response.
class answering_service final : public request_service
{
public:
    void serve(std::shared_ptr<caller_connection> caller, http_head,
               std::string, time_point) override
    {
        ++requests_;
        http_head head;
        head.status_ = 200;
        caller->send_response(head, "");
    }
    caller_limits limits() const override { return {}; }
    bool is_closing() const override { return true; }
    time_point now() const override { return clock_.now(); }
    void on_connection_closed(caller_connection&) override { ++closed_; }

    int requests_ = 0;
    int closed_ = 0;

private:
    steady_clock_source clock_;
};

/// The two ends of one connection.
struct connected_pair
{
    explicit connected_pair(asio::io_context& io)
        : caller_(io)
        , accepted_(io)
    {
        tcp::acceptor acceptor(
            io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        caller_.connect(acceptor.local_endpoint());
        acceptor.accept(accepted_);
    }

    tcp::socket caller_;
    tcp::socket accepted_;
};

} // namespace

TEST(caller_connection, a_request_that_is_not_read_yet_is_not_cut_as_idle)
{
    asio::io_context io;
    connected_pair pair(io);
    answering_service service;
    auto const connection = std::make_shared<caller_connection>(
        service, tcp_channel::accepted(std::move(pair.accepted_)));
    connection->start();
    std::string const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::write(pair.caller_, asio::buffer(request));
    connection->close_if_idle();
    EXPECT_EQ(service.closed_, 0);
    while (service.requests_ == 0 && service.closed_ == 0)
    {
        io.run_one();
    }
    EXPECT_EQ(service.requests_, 1);
}

TEST(caller_connection, a_connection_without_a_request_is_closed_as_idle)
{
    asio::io_context io;
    connected_pair pair(io);
    answering_service service;
    auto const connection = std::make_shared<caller_connection>(
        service, tcp_channel::accepted(std::move(pair.accepted_)));
    connection->start();
    connection->close_if_idle();
    EXPECT_EQ(service.closed_, 1);
}
