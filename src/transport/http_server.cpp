// HTTP server over RESTinio.
#include "auburnlb/transport/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <restinio/all.hpp>

#include "http_exchange.hpp"
#include "http_rejection.hpp"

namespace auburnlb
{

namespace
{

/// A caller that reads no byte for this long is disconnected.
constexpr seconds write_timeout{30};
/// Longer than the longest timeout that a caller can request.
constexpr seconds handling_timeout{1'200};
/// With one, the connection would not be read while a request is processed, and
/// a caller's disconnect would go unnoticed until the response is written.
constexpr std::size_t max_pipelined_requests = 2;
constexpr std::size_t max_header_count = 100;
constexpr std::size_t read_buffer_bytes = 8U << 10U;
/// Callers are promised less than the idle limit, so that a request sent at the
/// end of the promise arrives before the connection closes.
constexpr milliseconds idle_margin{1'000};

/// Returns the value of Keep-Alive; empty if the limit is too short to promise
/// anything.
std::string keep_alive_value(milliseconds idle_limit)
{
    auto const promised =
        std::chrono::floor<seconds>(idle_limit - idle_margin).count();
    return promised < 1 ? std::string() : "timeout=" + std::to_string(promised);
}

class reply_handle final : public http_reply
{
public:
    explicit reply_handle(std::shared_ptr<exchange> request_exchange)
        : exchange_(std::move(request_exchange))
    {
    }
    reply_handle(reply_handle const&) = delete;
    reply_handle& operator=(reply_handle const&) = delete;
    ~reply_handle() override { exchange_->abandon(); }

    void send(http_response response) override
    {
        exchange_->send(std::move(response));
    }
    void begin_stream(int status, http_headers headers) override
    {
        exchange_->begin_stream(status, std::move(headers));
    }
    void write(std::string chunk) override { exchange_->write(chunk); }
    void end_stream() override { exchange_->end_stream(); }
    std::size_t unsent_bytes() const override
    {
        return exchange_->unsent_bytes();
    }
    void on_closed(std::function<void()> handler) override
    {
        exchange_->on_closed(std::move(handler));
    }

private:
    std::shared_ptr<exchange> exchange_;
};

incoming_request to_incoming_request(restinio::request_t const& request)
{
    incoming_request incoming;
    auto const& header = request.header();
    incoming.method_ = header.method().c_str();
    incoming.path_ = std::string(header.path());
    incoming.query_ = std::string(header.query());
    header.for_each_field(
        [&](auto const& field)
        { incoming.headers_.emplace_back(field.name(), field.value()); });
    incoming.body_ = request.body();
    incoming.peer_ = request.remote_endpoint().address().to_string() + ':' +
                     std::to_string(request.remote_endpoint().port());
    return incoming;
}

std::size_t header_bytes(incoming_request const& request)
{
    std::size_t bytes = request.path_.size() + request.query_.size();
    for (auto const& [name, value] : request.headers_)
    {
        bytes += name.size() + value.size();
    }
    return bytes;
}

class restinio_server final : public http_server
{
public:
    restinio_server(http_server_options options, request_handler handler)
        : options_(std::move(options))
        , handler_(std::move(handler))
        , ending_{keep_alive_value(options_.read_timeout_)}
        , server_(restinio::external_io_context(context_),
                  [this](auto& settings) { configure(settings); })
    {
    }
    restinio_server(restinio_server const&) = delete;
    restinio_server& operator=(restinio_server const&) = delete;
    ~restinio_server() override { close_all(); }

    /// Throws std::system_error if it cannot listen on the address.
    void open()
    {
        server_.open_sync();
        for (std::size_t count = 0; count < options_.threads_; ++count)
        {
            threads_.emplace_back([this] { context_.run(); });
        }
    }

    std::uint16_t port() const override { return port_; }

    void close_after_responses() override { ending_.is_closing_ = true; }

    /// Shuts down the listening socket instead of closing it, which is safe
    /// while server threads use it; RESTinio then stops accepting connections.
    void drain() override
    {
        close_after_responses();
        std::lock_guard lock(stop_mutex_);
        if (!is_stopped_)
        {
            ::shutdown(acceptor_handle_, SHUT_RDWR);
        }
    }

    std::size_t requests_in_progress() const override
    {
        return table_.exchange_count();
    }

    std::size_t open_connections() const override
    {
        return table_.open_count();
    }

    void stop() override { close_all(); }

private:
    template <class Settings>
    void configure(Settings& settings)
    {
        auto const limits =
            restinio::incoming_http_msg_limits_t{}
                .max_url_size(options_.max_header_bytes_)
                .max_field_name_size(options_.max_header_bytes_)
                .max_field_value_size(options_.max_header_bytes_)
                .max_field_count(max_header_count)
                .max_body_size(options_.max_body_bytes_);
        auto const check_period = std::min<nanoseconds>(
            seconds(1), nanoseconds(options_.read_timeout_) / 4);
        settings.address(asio::ip::make_address(options_.address_))
            .port(options_.port_)
            .incoming_http_msg_limits(limits)
            .buffer_size(read_buffer_bytes)
            .max_pipelined_requests(max_pipelined_requests)
            .read_next_http_message_timelimit(options_.read_timeout_)
            .write_http_response_timelimit(write_timeout)
            .handle_request_timeout(handling_timeout)
            .timer_manager(check_period)
            .connection_state_listener(
                std::make_shared<connection_listener>(table_))
            .ip_blocker(std::make_shared<connection_limit>(
                table_, options_.max_connections_))
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor)
                                     { record_listener(acceptor); })
            .request_handler([this](restinio::request_handle_t request)
                             { return handle(std::move(request)); });
    }

    void record_listener(asio::ip::tcp::acceptor& acceptor)
    {
        acceptor_handle_ = acceptor.native_handle();
        port_ = acceptor.local_endpoint().port();
    }

    restinio::request_handling_status_t
    handle(restinio::request_handle_t request)
    {
        incoming_request incoming = to_incoming_request(*request);
        auto const connection = request->connection_id();
        auto const added = std::make_shared<exchange>(context_, table_, ending_,
                                                      std::move(request));
        table_.add(connection, added);
        auto reply = std::make_shared<reply_handle>(added);
        if (header_bytes(incoming) > options_.max_header_bytes_)
        {
            reply->send(head_too_large());
            return restinio::request_accepted();
        }
        handler_(std::move(incoming), std::move(reply));
        return restinio::request_accepted();
    }

    void close_all()
    {
        {
            std::lock_guard lock(stop_mutex_);
            if (std::exchange(is_stopped_, true))
            {
                return;
            }
        }
        context_.stop();
        for (std::thread& each : threads_)
        {
            each.join();
        }
        server_.close_sync();
        table_.detach_all();
    }

    http_server_options options_;
    request_handler handler_;
    connection_table table_;
    connection_ending ending_;
    std::mutex stop_mutex_;
    bool is_stopped_ = false;
    int acceptor_handle_ = -1;
    std::uint16_t port_ = 0;
    asio::io_context context_;
    restinio::http_server_t<server_traits> server_;
    std::vector<std::thread> threads_;
};

error listen_error(std::string const& address, std::system_error const& cause)
{
    return {error_code::unreachable, "listen for HTTP", address,
            "cannot listen on " + address + ": " + cause.what()};
}

} // namespace

result<std::unique_ptr<http_server>>
http_server::start(http_server_options options, request_handler handler)
{
    asio::error_code failure;
    asio::ip::make_address(options.address_, failure);
    if (failure)
    {
        return error{error_code::invalid_input,
                     "listen for HTTP",
                     {},
                     "address \"" + options.address_ +
                         "\" is not an IP address"};
    }
    std::string const address =
        options.address_ + ':' + std::to_string(options.port_);
    try
    {
        auto server = std::make_unique<restinio_server>(std::move(options),
                                                        std::move(handler));
        server->open();
        return std::unique_ptr<http_server>(std::move(server));
    }
    catch (std::system_error const& cause)
    {
        return listen_error(address, cause);
    }
}

} // namespace auburnlb
