// Tests of when a caller's connection counts as idle.
#include <memory>
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

/// A caller and the router's end of its connection.
struct connected_caller
{
    explicit connected_caller(asio::io_context& io)
        : socket_(io)
    {
        tcp::acceptor acceptor(
            io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        socket_.connect(acceptor.local_endpoint());
        connection_ = std::make_shared<caller_connection>(
            service_, tcp_channel::accepted(acceptor.accept()));
        connection_->start();
    }

    answering_service service_;
    tcp::socket socket_;
    std::shared_ptr<caller_connection> connection_;
};

} // namespace

TEST(caller_connection, a_request_that_is_not_read_yet_is_not_cut_as_idle)
{
    asio::io_context io;
    connected_caller caller(io);
    std::string const request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::write(caller.socket_, asio::buffer(request));
    caller.connection_->close_if_idle();
    EXPECT_EQ(caller.service_.closed_, 0);
    while (caller.service_.requests_ == 0 && caller.service_.closed_ == 0)
    {
        io.run_one();
    }
    EXPECT_EQ(caller.service_.requests_, 1);
}

TEST(caller_connection, a_connection_without_a_request_is_closed_as_idle)
{
    asio::io_context io;
    connected_caller caller(io);
    caller.connection_->close_if_idle();
    EXPECT_EQ(caller.service_.closed_, 1);
}
