// Tests of the HTTP server on real sockets: good requests, bad ones,
// departures.
#include <atomic>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <asio.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include "auburnlb/transport/http_server.hpp"
#include "transport/mutation.hpp"

using namespace auburnlb;

namespace
{

using tcp = asio::ip::tcp;

/// A hung test fails after this long; no verdict depends on it otherwise.
constexpr seconds hang_limit{20};

/// A plain blocking connection, so that tests can send anything.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port)
        : socket_(context_)
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), port});
        timeval const limit{hang_limit.count(), 0};
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                     sizeof limit);
    }

    void write(std::string const& bytes)
    {
        asio::error_code ignored;
        asio::write(socket_, asio::buffer(bytes), ignored);
    }

    /// Reads until the text was seen or the connection ends, and gives what
    /// came up to there.
    std::string read_until(std::string const& text)
    {
        std::size_t searched = 0;
        while (received_.find(text, searched) == std::string::npos)
        {
            // The text may begin in what was received so far.
            searched =
                received_.size() - std::min(received_.size(), text.size());
            if (!read_some())
            {
                break;
            }
        }
        auto const found = received_.find(text);
        auto const length =
            found == std::string::npos ? received_.size() : found + text.size();
        std::string taken = received_.substr(0, length);
        received_.erase(0, length);
        return taken;
    }

    std::string read_to_end()
    {
        while (read_some())
        {
        }
        return std::exchange(received_, {});
    }

    /// Reads one response with a Content-Length and gives its body.
    std::string read_body()
    {
        std::string const head = read_until("\r\n\r\n");
        auto const field = head.find("Content-Length: ");
        if (field == std::string::npos)
        {
            return {};
        }
        std::size_t const length = std::stoul(head.substr(field + 16));
        while (received_.size() < length && read_some())
        {
        }
        std::string body = received_.substr(0, length);
        received_.erase(0, length);
        return body;
    }

    /// Ends the sending half, so that the server waits for nothing more.
    void end_sending()
    {
        asio::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void close() { socket_.close(); }

private:
    bool read_some()
    {
        std::array<char, 4'096> buffer{};
        ssize_t const count =
            ::recv(socket_.native_handle(), buffer.data(), buffer.size(), 0);
        if (count <= 0)
        {
            return false;
        }
        received_.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }

    asio::io_context context_;
    tcp::socket socket_;
    std::string received_;
};

void echo(incoming_request request, std::shared_ptr<http_reply> reply)
{
    reply->send({200,
                 {{"X-Path", request.path_}, {"X-Query", request.query_}},
                 request.method_ + " " + request.body_});
}

std::unique_ptr<http_server> start(http_server::request_handler handler,
                                   http_server_options options = {})
{
    auto server = http_server::start(std::move(options), std::move(handler));
    return server ? std::move(server).value() : nullptr;
}

std::string post(std::string const& body)
{
    return "POST /echo?a=b HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

template <class Value>
bool is_ready(std::future<Value> const& outcome)
{
    return outcome.wait_for(hang_limit) == std::future_status::ready;
}

/// Fails the test when the condition does not come true in time.
void wait_until(std::function<bool()> const& condition)
{
    auto const give_up = std::chrono::steady_clock::now() + hang_limit;
    while (!condition() && std::chrono::steady_clock::now() < give_up)
    {
        std::this_thread::yield();
    }
    EXPECT_TRUE(condition());
}

nlohmann::json error_of(std::string const& response)
{
    auto const body = response.find("\r\n\r\n");
    return nlohmann::json::parse(response.substr(body + 4))["error"];
}

} // namespace

TEST(http_server, passes_the_request_and_sends_the_reply)
{
    auto const server = start(echo);
    raw_client client(server->port());
    client.write(post("hello"));
    std::string const head = client.read_until("\r\n\r\n");
    EXPECT_TRUE(head.starts_with("HTTP/1.1 200"));
    EXPECT_NE(head.find("X-Path: /echo\r\n"), std::string::npos);
    EXPECT_NE(head.find("X-Query: a=b\r\n"), std::string::npos);
    EXPECT_EQ(client.read_until("hello"), "POST hello");
}

TEST(http_server, streams_chunks_in_order_from_another_thread)
{
    std::thread writer;
    auto const server = start(
        [&](incoming_request const&, std::shared_ptr<http_reply> reply)
        {
            writer = std::thread(
                [reply = std::move(reply)]
                {
                    reply->begin_stream(200, {{"Content-Type", "text/x"}});
                    for (int index = 0; index < 2'000; ++index)
                    {
                        reply->write(std::to_string(index) + ",");
                    }
                    reply->end_stream();
                    reply->write("late");
                    reply->send({500, {}, "late"});
                });
        });
    raw_client client(server->port());
    client.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    std::string const head = client.read_until("\r\n\r\n");
    EXPECT_NE(head.find("Transfer-Encoding: chunked"), std::string::npos);
    std::string body;
    while (true)
    {
        std::string const size_line = client.read_until("\r\n");
        std::size_t const size = std::stoul(size_line, nullptr, 16);
        if (size == 0)
        {
            break;
        }
        std::string chunk = client.read_until("\r\n");
        ASSERT_EQ(chunk.size(), size + 2);
        body += chunk.substr(0, size);
    }
    writer.join();
    std::string expected;
    for (int index = 0; index < 2'000; ++index)
    {
        expected += std::to_string(index) + ",";
    }
    EXPECT_EQ(body, expected);
}

TEST(http_server, serves_many_connections_that_stay_open)
{
    auto const server = start(echo);
    std::atomic<int> right{0};
    std::vector<std::thread> threads;
    threads.reserve(32);
    for (int thread = 0; thread < 32; ++thread)
    {
        threads.emplace_back(
            [&, thread]
            {
                raw_client client(server->port());
                for (int round = 0; round < 50; ++round)
                {
                    std::string const body =
                        std::to_string(thread * 1'000 + round);
                    client.write(post(body));
                    right += client.read_body() == "POST " + body;
                }
            });
    }
    for (auto& each : threads)
    {
        each.join();
    }
    EXPECT_EQ(right, 32 * 50);
}

TEST(http_server, a_request_may_arrive_in_part_before_the_answer_to_another)
{
    std::promise<std::shared_ptr<http_reply>> held;
    std::atomic<int> requests{0};
    auto const server = start(
        [&](incoming_request request, std::shared_ptr<http_reply> reply)
        {
            if (requests++ == 0)
            {
                held.set_value(std::move(reply));
                return;
            }
            echo(std::move(request), std::move(reply));
        });
    raw_client client(server->port());
    std::string const second = post("second");
    std::size_t const part = second.size() - 3;
    client.write(post("first") + second.substr(0, part));
    auto const reply = held.get_future().get();
    reply->send({200, {}, "answered"});
    EXPECT_EQ(client.read_body(), "answered");
    client.write(second.substr(part));
    EXPECT_EQ(client.read_body(), "POST second");
}

TEST(http_server, port_in_use_is_an_error_that_names_the_address)
{
    auto const first = start(echo);
    http_server_options options;
    options.port_ = first->port();
    auto const second = http_server::start(options, echo);
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().code_, error_code::unreachable);
    EXPECT_NE(second.error().detail_.find("127.0.0.1:" +
                                          std::to_string(first->port())),
              std::string::npos);
    options.address_ = "nowhere";
    auto const third = http_server::start(options, echo);
    ASSERT_FALSE(third);
    EXPECT_EQ(third.error().code_, error_code::invalid_input);
    EXPECT_NE(third.error().detail_.find("nowhere"), std::string::npos);
}

TEST(http_server, malformed_requests_get_an_error_and_never_reach_the_handler)
{
    std::atomic<int> handled{0};
    auto const server =
        start([&](incoming_request const&, std::shared_ptr<http_reply> const&)
              { ++handled; });
    for (std::string const bytes :
         {"garbage\r\n\r\n", "GET / HTTP/9\r\n\r\n",
          "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"})
    {
        raw_client client(server->port());
        client.write(bytes);
        std::string const response = client.read_to_end();
        ASSERT_TRUE(response.starts_with("HTTP/1.1 400 ")) << bytes << response;
        EXPECT_EQ(error_of(response)["code"], 1001);
        EXPECT_EQ(error_of(response)["run_state"], "not_run");
    }
    EXPECT_EQ(handled, 0);
}

TEST(http_server, oversized_requests_get_an_error_and_never_reach_the_handler)
{
    std::atomic<int> handled{0};
    http_server_options options;
    options.max_body_bytes_ = 1'000;
    options.max_header_bytes_ = 2'000;
    auto const server =
        start([&](incoming_request const&, std::shared_ptr<http_reply> const&)
              { ++handled; },
              options);
    std::string many_fields;
    for (int index = 0; index < 30; ++index)
    {
        many_fields += "X-Field: " + std::string(100, 'v') + "\r\n";
    }
    struct oversized
    {
        std::string bytes_;
        std::string status_;
    };
    std::vector<oversized> const cases = {
        {post(std::string(1'001, 'b')), "413"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7D0\r\n" +
             std::string(2'000, 'c') + "\r\n0\r\n\r\n",
         "413"},
        {"GET /" + std::string(3'000, 'u') + " HTTP/1.1\r\n\r\n", "431"},
        {"GET / HTTP/1.1\r\nX: " + std::string(3'000, 'h') + "\r\n\r\n", "431"},
        {"GET / HTTP/1.1\r\nConnection: close\r\n" + many_fields + "\r\n",
         "431"},
    };
    for (auto const& each : cases)
    {
        raw_client client(server->port());
        client.write(each.bytes_);
        std::string const response = client.read_to_end();
        ASSERT_TRUE(response.starts_with("HTTP/1.1 " + each.status_))
            << response;
        EXPECT_EQ(error_of(response)["run_state"], "not_run");
    }
    EXPECT_EQ(handled, 0);
}

TEST(http_server, half_sent_requests_are_closed_after_the_read_timeout)
{
    std::atomic<int> handled{0};
    http_server_options options;
    options.read_timeout_ = milliseconds(200);
    auto const server =
        start([&](incoming_request const&, std::shared_ptr<http_reply> const&)
              { ++handled; },
              options);
    for (std::string const bytes :
         {"", "GET / HT", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf"})
    {
        raw_client client(server->port());
        client.write(bytes);
        EXPECT_EQ(client.read_to_end(), "");
    }
    EXPECT_EQ(handled, 0);
}

TEST(http_server, slow_request_does_not_hold_up_others)
{
    auto const server = start(echo);
    raw_client slow(server->port());
    slow.write("POST /echo HTTP/1.1\r\nContent-Length: 4\r\n\r\nsl");
    raw_client quick(server->port());
    quick.write(post("quick"));
    EXPECT_EQ(quick.read_body(), "POST quick");
    slow.write("ow");
    EXPECT_EQ(slow.read_body(), "POST slow");
}

TEST(http_server, tells_that_a_caller_left_while_streaming)
{
    std::promise<void> closed;
    std::shared_ptr<http_reply> kept;
    auto const server = start(
        [&](incoming_request const&, std::shared_ptr<http_reply> reply)
        {
            reply->on_closed([&] { closed.set_value(); });
            reply->begin_stream(200, {});
            reply->write("first");
            kept = std::move(reply);
        });
    raw_client client(server->port());
    client.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    client.read_until("first");
    client.close();
    EXPECT_TRUE(is_ready(closed.get_future()));
    kept->write("nobody reads this");
    kept->end_stream();
}

TEST(http_server, tells_that_a_caller_left_before_the_first_byte)
{
    std::promise<void> closed;
    std::promise<std::shared_ptr<http_reply>> received;
    auto const server = start(
        [&](incoming_request const&, std::shared_ptr<http_reply> reply)
        {
            reply->on_closed([&] { closed.set_value(); });
            received.set_value(std::move(reply));
        });
    raw_client client(server->port());
    client.write(post("x"));
    auto const reply = received.get_future().get();
    client.close();
    EXPECT_TRUE(is_ready(closed.get_future()));
    std::promise<void> registered_late;
    reply->on_closed([&] { registered_late.set_value(); });
    EXPECT_TRUE(is_ready(registered_late.get_future()));
}

TEST(http_server, a_complete_reply_is_not_reported_as_closed)
{
    std::atomic<int> closed{0};
    std::promise<void> next_is_handled;
    std::atomic<int> handled{0};
    auto const server = start(
        [&](incoming_request request, std::shared_ptr<http_reply> reply)
        {
            reply->on_closed([&] { ++closed; });
            if (++handled == 2)
            {
                next_is_handled.set_value();
            }
            echo(std::move(request), std::move(reply));
        });
    {
        raw_client client(server->port());
        client.write(post("one"));
        EXPECT_EQ(client.read_body(), "POST one");
        client.write(post("two"));
        EXPECT_EQ(client.read_body(), "POST two");
    }
    EXPECT_TRUE(is_ready(next_is_handled.get_future()));
    server->stop();
    EXPECT_EQ(closed, 0);
}

TEST(http_server, counts_bytes_that_a_slow_reader_has_not_taken)
{
    constexpr std::size_t size = 64U << 20U;
    std::promise<std::shared_ptr<http_reply>> received;
    auto const server = start(
        [&](incoming_request const&, std::shared_ptr<http_reply> reply)
        {
            reply->begin_stream(200, {});
            reply->write(std::string(size, 'x'));
            received.set_value(std::move(reply));
        });
    raw_client client(server->port());
    client.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    auto const reply = received.get_future().get();
    EXPECT_EQ(reply->unsent_bytes(), size);
    reply->write("end-of-stream");
    reply->end_stream();
    EXPECT_GT(client.read_until("end-of-stream").size(), size);
    client.read_until("0\r\n\r\n");
    wait_until([&] { return reply->unsent_bytes() == 0; });
}

TEST(http_server, a_dropped_request_is_answered_and_a_dropped_stream_is_cut)
{
    auto const server = start(
        [&](incoming_request const& request,
            std::shared_ptr<http_reply> const& reply)
        {
            if (request.path_ == "/stream")
            {
                reply->begin_stream(200, {});
                reply->write("begun");
            }
        });
    raw_client client(server->port());
    client.write(post("x"));
    EXPECT_NE(client.read_body().find("\"run_state\":\"unknown\""),
              std::string::npos);
    raw_client stream(server->port());
    stream.write("GET /stream HTTP/1.1\r\nHost: x\r\n\r\n");
    std::string const cut = stream.read_to_end();
    EXPECT_EQ(cut.find("0\r\n\r\n"), std::string::npos) << cut;
}

TEST(http_server, drain_refuses_connections_and_closes_after_later_replies)
{
    std::promise<std::shared_ptr<http_reply>> received;
    auto const server = start(
        [&](incoming_request request, std::shared_ptr<http_reply> reply)
        {
            if (request.body_ == "hold")
            {
                received.set_value(std::move(reply));
                return;
            }
            echo(std::move(request), std::move(reply));
        });
    raw_client running(server->port());
    running.write(post("hold"));
    auto const reply = received.get_future().get();
    raw_client idle(server->port());
    idle.write(post("before"));
    EXPECT_EQ(idle.read_body(), "POST before");

    server->drain();
    EXPECT_THROW(raw_client{server->port()}, std::system_error);
    idle.write(post("after"));
    std::string const last = idle.read_to_end();
    EXPECT_NE(last.find("Connection: close"), std::string::npos) << last;
    EXPECT_NE(last.find("POST after"), std::string::npos);
    reply->send({200, {}, "whole"});
    EXPECT_NE(running.read_to_end().find("whole"), std::string::npos);
    wait_until([&] { return server->open_connections() == 0; });
}

TEST(http_server, a_drain_answers_a_request_read_behind_another)
{
    std::promise<std::shared_ptr<http_reply>> first;
    std::promise<std::shared_ptr<http_reply>> second;
    auto const server = start(
        [&](incoming_request const& request, std::shared_ptr<http_reply> reply)
        {
            auto& received = request.body_ == "first" ? first : second;
            received.set_value(std::move(reply));
        });
    raw_client client(server->port());
    client.write(post("first") + post("second"));
    auto const first_reply = first.get_future().get();
    auto const second_reply = second.get_future().get();
    server->drain();
    first_reply->send({200, {}, "one"});
    second_reply->send({200, {}, "two"});
    std::string const all = client.read_to_end();
    EXPECT_NE(all.find("one"), std::string::npos) << all;
    EXPECT_NE(all.find("two"), std::string::npos) << all;
}

TEST(http_server, a_request_is_in_progress_until_its_last_byte_is_taken)
{
    constexpr std::size_t size = 64U << 20U;
    auto const server = start(
        [](incoming_request const&, std::shared_ptr<http_reply> reply) {
            reply->send({200, {}, std::string(size, 'x') + "end"});
        });
    EXPECT_EQ(server->requests_in_progress(), 0U);
    raw_client client(server->port());
    client.write(post("x"));
    client.read_until("\r\n\r\n");
    EXPECT_EQ(server->requests_in_progress(), 1U);
    EXPECT_EQ(server->open_connections(), 1U);
    EXPECT_EQ(client.read_until("end").size(), size + 3);
    wait_until([&] { return server->requests_in_progress() == 0; });
    EXPECT_EQ(server->open_connections(), 1U);
}

TEST(http_server, connections_over_the_limit_are_closed)
{
    http_server_options options;
    options.max_connections_ = 2;
    auto const server = start(echo, options);
    raw_client first(server->port());
    first.write(post("1"));
    EXPECT_EQ(first.read_body(), "POST 1");
    raw_client second(server->port());
    second.write(post("2"));
    EXPECT_EQ(second.read_body(), "POST 2");
    raw_client third(server->port());
    third.write(post("3"));
    EXPECT_EQ(third.read_to_end(), "");
    second.write(post("4"));
    EXPECT_EQ(second.read_body(), "POST 4");
}

TEST(http_server, replies_outlive_the_server)
{
    std::promise<std::shared_ptr<http_reply>> received;
    auto server = start(
        [&](incoming_request const&, std::shared_ptr<http_reply> reply)
        {
            reply->begin_stream(200, {});
            reply->write("begun");
            received.set_value(std::move(reply));
        });
    raw_client client(server->port());
    client.write(post("x"));
    auto const reply = received.get_future().get();
    client.read_until("begun");
    server->stop();
    server.reset();
    reply->write("late");
    reply->end_stream();
    EXPECT_EQ(client.read_until("late"), "\r\n");
}

RC_GTEST_PROP(http_server_property, survives_mutated_requests, ())
{
    static auto const server = start(echo);
    std::string bytes = post("hello") +
                        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                        "Expect: 100-continue\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (auto const& change : *any_mutations())
    {
        apply(bytes, change);
    }
    raw_client hostile(server->port());
    hostile.write(bytes);
    hostile.end_sending();
    std::string const response = hostile.read_to_end();
    RC_ASSERT(response.empty() || response.starts_with("HTTP/1.1 "));
    raw_client good(server->port());
    good.write(post("still here"));
    RC_ASSERT(good.read_body() == "POST still here");
}
