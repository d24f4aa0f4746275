// A stand-in of a faulty service whose responses a test writes byte by byte.
#ifndef AUBURNLB_FAKES_SCRIPTED_SERVER_HPP
#define AUBURNLB_FAKES_SCRIPTED_SERVER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <asio.hpp>

#include "fake_http.hpp"

namespace auburnlb::fakes
{

/// Answers each request with bytes that need not be one response.
class scripted_server
{
public:
    /// Returns what is written after a request, one write each.
    /// @param last what the same connection was given before; kept for the next
    /// call
    using responder = std::function<std::vector<std::string>(
        std::string const& request, std::string& last)>;

    /// @param request_end how each request ends
    scripted_server(std::string request_end, responder respond)
        : request_end_(std::move(request_end))
        , respond_(std::move(respond))
        , thread_(
              [this]
              {
                  accept();
                  io_.run();
              })
    {
    }
    ~scripted_server()
    {
        io_.stop();
        thread_.join();
    }
    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

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
        std::string last_;
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
            each->socket_, each->received_, request_end_,
            [this, each](asio::error_code const& failure, std::size_t size)
            {
                if (failure)
                {
                    return;
                }
                auto const begin = asio::buffers_begin(each->received_.data());
                std::string const request(
                    begin, begin + static_cast<std::ptrdiff_t>(size));
                each->received_.consume(size);
                asio::error_code ignored;
                for (std::string const& bytes : respond_(request, each->last_))
                {
                    asio::write(each->socket_, asio::buffer(bytes), ignored);
                }
                serve(each);
            });
    }

    std::string request_end_;
    responder respond_;
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_{io_,
                                      {asio::ip::address_v4::loopback(), 0}};
    std::uint16_t port_ = acceptor_.local_endpoint().port();
    std::thread thread_;
};

} // namespace auburnlb::fakes

#endif
