// A stand-in of a faulty service that writes each response twice.
#ifndef AUBURNLB_FAKES_REPEATING_SERVER_HPP
#define AUBURNLB_FAKES_REPEATING_SERVER_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <asio.hpp>

#include "fake_http.hpp"

namespace auburnlb::fakes
{

/// A server that numbers the requests it has read, on all connections together,
/// and writes each response twice.
class repeating_server
{
public:
    repeating_server()
        : thread_(
              [this]
              {
                  accept();
                  io_.run();
              })
    {
    }
    ~repeating_server()
    {
        io_.stop();
        thread_.join();
    }
    repeating_server(repeating_server const&) = delete;
    repeating_server& operator=(repeating_server const&) = delete;

    std::string base_url() const { return loopback_url(port_); }

private:
    struct connection
    {
        explicit connection(asio::ip::tcp::socket socket)
            : socket_(std::move(socket))
        {
        }
        asio::ip::tcp::socket socket_;
        asio::streambuf received_;
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](asio::error_code const& failure,
                   asio::ip::tcp::socket socket)
            {
                if (!failure)
                {
                    auto const accepted =
                        std::make_shared<connection>(std::move(socket));
                    serve(accepted);
                    accept();
                }
            });
    }

    void serve(std::shared_ptr<connection> const& each)
    {
        asio::async_read_until(
            each->socket_, each->received_, "\r\n\r\n",
            [this, each](asio::error_code const& failure, std::size_t size)
            {
                if (failure)
                {
                    return;
                }
                each->received_.consume(size);
                std::string const number = std::to_string(++requests_);
                std::string const response =
                    "HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(number.size()) + "\r\n\r\n" + number;
                asio::error_code ignored;
                asio::write(each->socket_, asio::buffer(response), ignored);
                asio::write(each->socket_, asio::buffer(response), ignored);
                serve(each);
            });
    }

    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_{io_,
                                      {asio::ip::address_v4::loopback(), 0}};
    std::uint16_t port_ = acceptor_.local_endpoint().port();
    int requests_ = 0;
    std::thread thread_;
};

} // namespace auburnlb::fakes

#endif
