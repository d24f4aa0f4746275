// Cost of the HTTP server on loopback: requests a second, and processor time
// for each request and for each chunk. Prints one JSON line a case.
//
// Clients run in the same process; their processor time is taken off, so that
// server figures are the server's threads alone.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <unistd.h>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "auburnlb/state/metrics.hpp"
#include "auburnlb/transport/caller_api.hpp"
#include "auburnlb/transport/http_server.hpp"

using namespace auburnlb;

namespace
{

using tcp = asio::ip::tcp;
using std::chrono::steady_clock;

constexpr int rounds = 5;
completion_metadata const head{{0x5EED, 1}, "kalai-writer", 1'700'000'000};

double cpu_s(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / 1e9;
}

double seconds_since(steady_clock::time_point start)
{
    return std::chrono::duration<double>(steady_clock::now() - start).count();
}

/// Wall time and processor time of a run, the clients' taken off.
class stopwatch
{
public:
    void add_client_cpu(double used_s)
    {
        std::lock_guard lock(mutex_);
        client_cpu_s_ += used_s;
    }
    double wall_s() const { return seconds_since(start_); }
    double server_cpu_s() const
    {
        return cpu_s(CLOCK_PROCESS_CPUTIME_ID) - start_cpu_s_ - client_cpu_s_;
    }

private:
    steady_clock::time_point start_ = steady_clock::now();
    double start_cpu_s_ = cpu_s(CLOCK_PROCESS_CPUTIME_ID);
    std::mutex mutex_;
    double client_cpu_s_ = 0;
};

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

std::unique_ptr<http_server> start(http_server::request_handler handler)
{
    auto server = http_server::start({}, std::move(handler));
    if (!server)
    {
        std::cerr << to_string(server.error()) << std::endl;
        std::exit(1);
    }
    return std::move(server).value();
}

tcp::endpoint endpoint_of(http_server const& server)
{
    return {asio::ip::make_address("127.0.0.1"), server.port()};
}

void run_requests(tcp::endpoint const& target, int count)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(target);
    std::string const body(200, 'b');
    std::string const request =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        "Authorization: Bearer key\r\nContent-Length: 200\r\n\r\n" +
        body;
    std::string received;
    for (int index = 0; index < count; ++index)
    {
        asio::write(socket, asio::buffer(request));
        auto const size = asio::read_until(
            socket, asio::dynamic_buffer(received), "\"end\"}");
        received.erase(0, size);
    }
}

void bench_requests(int connections)
{
    constexpr int requests_each = 5'000;
    auto const server = start(
        [](incoming_request const&, std::shared_ptr<http_reply> reply) {
            reply->send({200, {}, R"({"answer":"end"})"});
        });
    std::vector<double> rates;
    std::vector<double> costs_us;
    for (int round = 0; round < rounds; ++round)
    {
        stopwatch watch;
        std::vector<std::thread> clients;
        clients.reserve(static_cast<std::size_t>(connections));
        for (int index = 0; index < connections; ++index)
        {
            clients.emplace_back(
                [&]
                {
                    run_requests(endpoint_of(*server), requests_each);
                    watch.add_client_cpu(cpu_s(CLOCK_THREAD_CPUTIME_ID));
                });
        }
        for (auto& each : clients)
        {
            each.join();
        }
        double const total = requests_each * connections;
        rates.push_back(total / watch.wall_s());
        costs_us.push_back(watch.server_cpu_s() * 1e6 / total);
    }
    std::cout << nlohmann::ordered_json{{"case", "http_requests"},
                                        {"connections", connections},
                                        {"server_threads", 2},
                                        {"rounds", rounds},
                                        {"requests_per_s", median(rates)},
                                        {"server_cpu_us_per_request",
                                         median(costs_us)}}
              << std::endl;
}

/// Reads and drops whatever arrives on some connections, on one thread.
class stream_readers
{
public:
    stream_readers(tcp::endpoint const& target, int count)
    {
        for (int index = 0; index < count; ++index)
        {
            auto& socket = sockets_.emplace_back(context_);
            socket.connect(target);
            asio::write(socket, asio::buffer(std::string(
                                    "GET / HTTP/1.1\r\nHost: bench\r\n\r\n")));
        }
        buffers_.resize(sockets_.size());
        for (std::size_t index = 0; index < sockets_.size(); ++index)
        {
            read(index);
        }
        thread_ = std::thread(
            [this]
            {
                context_.run();
                used_cpu_s_ = cpu_s(CLOCK_THREAD_CPUTIME_ID);
            });
    }
    stream_readers(stream_readers const&) = delete;
    stream_readers& operator=(stream_readers const&) = delete;
    ~stream_readers() { stop(); }

    /// Gives the processor time that reading took.
    double stop()
    {
        context_.stop();
        if (thread_.joinable())
        {
            thread_.join();
        }
        return used_cpu_s_;
    }

private:
    void read(std::size_t index)
    {
        sockets_[index].async_read_some(
            asio::buffer(buffers_[index]),
            [this, index](asio::error_code failure, std::size_t)
            {
                if (!failure)
                {
                    read(index);
                }
            });
    }

    asio::io_context context_;
    std::vector<tcp::socket> sockets_;
    std::vector<std::array<char, 4'096>> buffers_;
    std::thread thread_;
    double used_cpu_s_ = 0;
};

/// Collects the replies of all streams.
class reply_collector
{
public:
    void add(std::shared_ptr<http_reply> reply)
    {
        std::lock_guard lock(mutex_);
        replies_.push_back(std::move(reply));
    }
    std::vector<std::shared_ptr<http_reply>> wait_for(std::size_t count)
    {
        while (true)
        {
            std::lock_guard lock(mutex_);
            if (replies_.size() >= count)
            {
                return std::exchange(replies_, {});
            }
        }
    }

private:
    std::mutex mutex_;
    std::vector<std::shared_ptr<http_reply>> replies_;
};

/// Each stream gets a chunk only after its last one was taken, so that no two
/// tokens share a write.
void write_chunks(std::vector<std::shared_ptr<http_reply>> const& replies,
                  std::string const& chunk, int count)
{
    for (int index = 0; index < count; ++index)
    {
        for (auto const& reply : replies)
        {
            reply->write(chunk);
        }
        for (auto const& reply : replies)
        {
            while (reply->unsent_bytes() > 0)
            {
                std::this_thread::yield();
            }
        }
    }
}

void bench_chunks(int streams)
{
    int const chunks_each = 100'000 / streams;
    reply_collector collector;
    auto const server = start(
        [&](incoming_request const&, std::shared_ptr<http_reply> reply)
        {
            reply->begin_stream(200, stream_headers());
            collector.add(std::move(reply));
        });
    std::string const chunk = format_stream_event(head, 7, "t3fa9 ");
    std::vector<double> rates;
    std::vector<double> costs_us;
    for (int round = 0; round < rounds; ++round)
    {
        stream_readers readers(endpoint_of(*server), streams);
        auto const replies =
            collector.wait_for(static_cast<std::size_t>(streams));
        stopwatch watch;
        double const writer_start_s = cpu_s(CLOCK_THREAD_CPUTIME_ID);
        write_chunks(replies, chunk, chunks_each);
        double const wall_s = watch.wall_s();
        watch.add_client_cpu(cpu_s(CLOCK_THREAD_CPUTIME_ID) - writer_start_s);
        watch.add_client_cpu(readers.stop());
        double const total = static_cast<double>(chunks_each) * streams;
        rates.push_back(total / wall_s);
        costs_us.push_back(watch.server_cpu_s() * 1e6 / total);
    }
    std::cout << nlohmann::ordered_json{{"case", "http_chunks"},
                                        {"streams", streams},
                                        {"server_threads", 2},
                                        {"chunk_bytes", chunk.size()},
                                        {"rounds", rounds},
                                        {"chunks_per_s", median(rates)},
                                        {"server_cpu_us_per_chunk",
                                         median(costs_us)}}
              << std::endl;
}

double resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    double total_pages = 0;
    double resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Memory of an idle connection, the clients' sockets included and the kernel's
/// buffers left out.
void bench_idle_connections()
{
    constexpr std::size_t connections = 2'000;
    auto const server = start(
        [](incoming_request const&, std::shared_ptr<http_reply> reply) {
            reply->send({200, {}, "end"});
        });
    double const before_bytes = resident_bytes();
    asio::io_context context;
    std::vector<tcp::socket> sockets;
    sockets.reserve(connections);
    for (std::size_t index = 0; index < connections; ++index)
    {
        auto& socket = sockets.emplace_back(context);
        socket.connect(endpoint_of(*server));
        asio::write(socket, asio::buffer(std::string(
                                "GET / HTTP/1.1\r\nHost: bench\r\n\r\n")));
        std::string received;
        asio::read_until(socket, asio::dynamic_buffer(received), "end");
    }
    double const used_bytes = resident_bytes() - before_bytes;
    std::cout << nlohmann::ordered_json{{"case", "http_idle_connections"},
                                        {"connections", connections},
                                        {"open", server->open_connections()},
                                        {"bytes_per_connection",
                                         used_bytes / connections}}
              << std::endl;
}

/// Nanoseconds for one call, the median of the rounds.
template <class Function>
void bench_call(char const* name, Function const& function)
{
    constexpr int calls = 200'000;
    std::vector<double> costs_ns;
    for (int round = 0; round < rounds; ++round)
    {
        auto const start = steady_clock::now();
        for (int index = 0; index < calls; ++index)
        {
            function(index);
        }
        costs_ns.push_back(seconds_since(start) * 1e9 / calls);
    }
    std::cout << nlohmann::ordered_json{{"case", name},
                                        {"rounds", rounds},
                                        {"ns_per_call", median(costs_ns)}}
              << std::endl;
}

void bench_calls()
{
    std::atomic<std::size_t> bytes{0};
    bench_call("format_stream_event",
               [&](int index)
               {
                   bytes +=
                       format_stream_event(
                           head, static_cast<std::uint32_t>(index), "t3fa9 ")
                           .size();
               });
    std::string const body =
        R"({"model":"kalai-writer","messages":[{"role":"user","content":")" +
        std::string(1'000, 'x') + R"("}],"max_tokens":64,"stream":true})";
    bench_call(
        "parse_chat_request_1kB",
        [&](int) {
            bytes += parse_chat_request(body, 1U << 20U).value().prompt_.size();
        });
    metrics_registry metrics;
    bench_call("metrics_add",
               [&](int) {
                   metrics.add("auburnlb_requests_total",
                               "service=\"kalai-writer\"");
               });
    bench_call("metrics_observe",
               [&](int index)
               {
                   metrics.observe("auburnlb_first_token_seconds",
                                   "service=\"kalai-writer\"",
                                   microseconds(index));
               });
}

} // namespace

int main()
{
    bench_calls();
    bench_idle_connections();
    for (int const connections : {1, 8, 64})
    {
        bench_requests(connections);
    }
    for (int const streams : {1, 32, 512})
    {
        bench_chunks(streams);
    }
    return 0;
}
