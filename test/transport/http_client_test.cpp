// Tests of the HTTP client: what it says when an answer does not come.
#include "auburnlb/transport/http_client.hpp"

#include <atomic>
#include <future>
#include <thread>

#include <asio.hpp>
#include <gtest/gtest.h>

#include "fake_http.hpp"
#include "repeating_server.hpp"

namespace auburnlb
{

namespace
{

using fakes::fake_http_server;
using fakes::fake_reply;

/// A server that executes each request and then answers or drops it.
struct counting_server
{
    std::atomic<int> executions_{0};
    std::atomic<bool> drops_{false};
    std::unique_ptr<fake_http_server> server_ = fake_http_server::start(
        0,
        [this](incoming_request const& request,
               std::shared_ptr<fake_reply> const& reply)
        {
            ++executions_;
            if (drops_)
            {
                reply->drop();
                return;
            }
            reply->send({200, {{"X-Method", request.method_}}, request.body_});
        });

    http_request request(std::string method, std::string body) const
    {
        return {std::move(method),
                fakes::loopback_url(server_->port()) + "/x",
                {},
                std::move(body)};
    }
};

/// A listening socket that nobody accepts from or reads.
struct silent_listener
{
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_{io_,
                                      {asio::ip::address_v4::loopback(), 0}};
    std::uint16_t port_ = acceptor_.local_endpoint().port();
};

/// A server that writes these bytes in response to one request, whatever it is,
/// and closes the connection.
class raw_server
{
public:
    explicit raw_server(std::string bytes)
        : thread_([this, bytes = std::move(bytes)] { serve(bytes); })
    {
    }
    ~raw_server() { thread_.join(); }
    raw_server(raw_server const&) = delete;
    raw_server& operator=(raw_server const&) = delete;

    std::string url() const { return fakes::loopback_url(port_) + "/x"; }

private:
    void serve(std::string const& bytes)
    {
        asio::ip::tcp::socket socket = acceptor_.accept();
        asio::streambuf request;
        asio::read_until(socket, request, "\r\n\r\n");
        asio::write(socket, asio::buffer(bytes));
    }

    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_{io_,
                                      {asio::ip::address_v4::loopback(), 0}};
    std::uint16_t port_ = acceptor_.local_endpoint().port();
    std::thread thread_;
};

result<http_response> receive(std::string bytes)
{
    raw_server const server(std::move(bytes));
    http_client client;
    return client.send_and_wait({"GET", server.url(), {}, {}});
}

} // namespace

TEST(http_client, returns_status_headers_and_body)
{
    counting_server server;
    http_client client;
    auto const answer = client.send_and_wait(server.request("PUT", "pan"));
    ASSERT_TRUE(answer) << to_string(answer.error());
    EXPECT_EQ(answer.value().status_, 200);
    EXPECT_EQ(find_header(answer.value().headers_, "x-METHOD"), "PUT");
    EXPECT_EQ(answer.value().body_, "pan");
}

TEST(http_client, runs_many_requests_at_once)
{
    counting_server server;
    http_client client;
    std::vector<std::future<std::string>> answers;
    for (int index = 0; index < 200; ++index)
    {
        auto promise = std::make_shared<std::promise<std::string>>();
        answers.push_back(promise->get_future());
        client.send(server.request("POST", std::to_string(index)),
                    [promise](result<http_response> const& answer)
                    {
                        promise->set_value(answer ? answer.value().body_
                                                  : to_string(answer.error()));
                    });
    }
    for (int index = 0; index < 200; ++index)
    {
        EXPECT_EQ(answers[index].get(), std::to_string(index));
    }
}

TEST(http_client, does_not_repeat_a_request_whose_reused_connection_broke)
{
    counting_server server;
    http_client client;
    for (std::string const body : {"", "reserve a hide"})
    {
        for (std::string const method : {"POST", "PUT", "DELETE"})
        {
            SCOPED_TRACE(::testing::Message() << method << " " << body);
            server.drops_ = false;
            ASSERT_TRUE(client.send_and_wait(server.request("POST", "first")));
            server.drops_ = true;
            server.executions_ = 0;
            auto const answer =
                client.send_and_wait(server.request(method, body));
            ASSERT_FALSE(answer);
            EXPECT_EQ(answer.error().code_, error_code::response_lost);
            EXPECT_EQ(server.executions_, 1);
        }
    }
}

TEST(http_client, a_repeated_response_is_not_that_of_one_on_a_new_connection)
{
    fakes::repeating_server const server;
    http_client client;
    for (int number = 1; number <= 20; ++number)
    {
        http_request request{"GET", server.base_url() + "/x", {}, {}};
        request.may_reuse_connection_ = false;
        auto const response = client.send_and_wait(std::move(request));
        ASSERT_TRUE(response) << to_string(response.error());
        EXPECT_EQ(response.value().body_, std::to_string(number));
        std::this_thread::sleep_for(milliseconds(number % 2 == 0 ? 20 : 0));
    }
}

TEST(http_client, bytes_on_an_idle_connection_are_no_response)
{
    fakes::repeating_server const server;
    http_client client;
    for (int number = 1; number <= 20; ++number)
    {
        auto const response =
            client.send_and_wait({"GET", server.base_url() + "/x", {}, {}});
        ASSERT_TRUE(response) << to_string(response.error());
        EXPECT_EQ(response.value().body_, std::to_string(number));
        // The second copy has come then.
        std::this_thread::sleep_for(milliseconds(20));
    }
}

TEST(http_client, says_unreachable_when_nobody_listens)
{
    std::uint16_t port = 0;
    {
        silent_listener const listener;
        port = listener.port_;
    }
    http_client client;
    auto const answer = client.send_and_wait(
        {"POST", fakes::loopback_url(port) + "/x", {}, "body"});
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().code_, error_code::unreachable);
    EXPECT_EQ(answer.error().peer_, "127.0.0.1:" + std::to_string(port));
}

TEST(http_client, says_timeout_when_the_server_is_silent)
{
    silent_listener const listener;
    http_client client;
    http_request request{
        "POST", fakes::loopback_url(listener.port_) + "/x", {}, "body"};
    request.timeout_ = milliseconds(100);
    auto const answer = client.send_and_wait(std::move(request));
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().code_, error_code::timeout);
}

TEST(http_client, a_response_that_breaks_off_in_its_head_is_lost)
{
    for (std::string const bytes :
         {"", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Pa",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"})
    {
        SCOPED_TRACE(bytes);
        auto const response = receive(bytes);
        ASSERT_FALSE(response) << response.value().status_;
        EXPECT_EQ(response.error().code_, error_code::response_lost);
    }
}

TEST(http_client, a_response_with_an_invalid_status_is_lost)
{
    for (std::string const status :
         {"000 OK", "000", "0 OK", "42 Odd", "099 Odd", "600 Odd", "999 Odd"})
    {
        SCOPED_TRACE(status);
        auto const response =
            receive("HTTP/1.1 " + status + "\r\nContent-Length: 3\r\n\r\npan");
        ASSERT_FALSE(response) << response.value().status_;
        EXPECT_EQ(response.error().code_, error_code::response_lost);
    }
}

TEST(http_client, a_head_that_breaks_off_does_not_merge_with_the_next)
{
    std::string const copy = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                             "X-Note: pan\r\n";
    std::string const next = "HTTP/1.1 500 Internal Server Error\r\n"
                             "Content-Type: text/plain\r\n"
                             "Content-Length: 3\r\n\r\nbad";
    for (std::size_t cut = 1; cut <= copy.size(); ++cut)
    {
        SCOPED_TRACE(copy.substr(0, cut));
        auto const response = receive(copy.substr(0, cut) + next);
        ASSERT_FALSE(response) << response.value().status_;
        EXPECT_EQ(response.error().code_, error_code::response_lost);
    }
}

TEST(http_client, a_success_that_ends_before_its_body_is_lost)
{
    for (std::string const bytes :
         {"HTTP/1.1 200 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npa",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npa"})
    {
        SCOPED_TRACE(bytes);
        auto const response = receive(bytes);
        ASSERT_FALSE(response) << response.value().body_;
        EXPECT_EQ(response.error().code_, error_code::response_lost);
    }
}

TEST(http_client, a_response_without_a_length_ends_with_its_connection)
{
    auto const success = receive("HTTP/1.1 200 OK\r\n\r\npan");
    ASSERT_TRUE(success) << to_string(success.error());
    EXPECT_EQ(success.value().body_, "pan");
    auto const failure = receive("HTTP/1.1 409 Conflict\r\n\r\n");
    ASSERT_TRUE(failure) << to_string(failure.error());
    EXPECT_EQ(failure.value().status_, 409);
    auto const empty = receive("HTTP/1.1 204 No Content\r\n\r\n");
    ASSERT_TRUE(empty) << to_string(empty.error());
}

TEST(http_client, fields_after_a_body_are_no_head_that_breaks_off)
{
    auto const response = receive("HTTP/1.1 200 OK\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"
                                  "3\r\npan\r\n0\r\nX-Sum: 1\r\n\r\n");
    ASSERT_TRUE(response) << to_string(response.error());
    EXPECT_EQ(response.value().body_, "pan");
}

TEST(http_client, fails_what_still_runs_when_destroyed)
{
    silent_listener const listener;
    std::promise<error_code> failed;
    {
        http_client client;
        client.send({"GET", fakes::loopback_url(listener.port_), {}, {}},
                    [&](result<http_response> const& answer)
                    { failed.set_value(answer.error().code_); });
    }
    EXPECT_EQ(failed.get_future().get(), error_code::response_lost);
}

TEST(http_client, names_a_url_that_it_cannot_take)
{
    http_client client;
    auto const answer = client.send_and_wait({"GET", "gopher://x/", {}, {}});
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().code_, error_code::invalid_input);
}

} // namespace auburnlb
