// HTTP server of the stand-ins over RESTinio.
#include "fake_http.hpp"

#include <chrono>
#include <utility>

#include <restinio/all.hpp>

namespace auburnlb::fakes
{

namespace
{

constexpr std::size_t server_threads = 2;
/// With a single one, RESTinio prepares to parse a request both when it begins
/// and when it ends to write the answer before; if a head arrives in between,
/// the connection is closed at that request's body.
constexpr std::size_t max_pipelined_requests = 2;
/// Idle and waiting connections are never closed by the stand-in itself.
constexpr std::chrono::hours connection_limit{1};

struct server_traits : restinio::default_traits_t
{
    using logger_t = restinio::null_logger_t;
    using request_handler_t = restinio::default_request_handler_t;
};

class restinio_reply final : public fake_reply
{
public:
    explicit restinio_reply(restinio::request_handle_t request)
        : request_(std::move(request))
    {
    }

    void send(http_response response) override
    {
        auto const status = restinio::http_status_line_t{
            restinio::http_status_code_t{
                static_cast<std::uint16_t>(response.status_)},
            response.status_ < 300 ? "OK" : "Error"};
        auto builder = request_->create_response(status);
        for (auto const& [name, value] : response.headers_)
        {
            builder.append_header(name, value);
        }
        builder.set_body(std::move(response.body_));
        builder.done();
    }

    void drop() override
    {
        // An upgrade is RESTinio's way to take the socket from a connection.
        using connection = restinio::impl::connection_t<server_traits>;
        auto const handle =
            std::move(restinio::impl::access_req_connection(*request_));
        auto [settings, socket, lifetime] =
            dynamic_cast<connection&>(*handle).move_upgrade_internals();
        asio::error_code ignored;
        socket.close(ignored);
    }

private:
    restinio::request_handle_t request_;
};

incoming_request convert(restinio::request_t const& request)
{
    incoming_request converted;
    converted.method_ = request.header().method().c_str();
    converted.path_ = std::string(request.header().path());
    converted.query_ = std::string(request.header().query());
    request.header().for_each_field(
        [&](auto const& field)
        { converted.headers_.emplace_back(field.name(), field.value()); });
    converted.body_ = request.body();
    converted.peer_ = request.remote_endpoint().address().to_string();
    return converted;
}

class restinio_server final : public fake_http_server
{
public:
    restinio_server(std::uint16_t port, request_handler handler)
    {
        auto on_request = [handler = std::move(handler)](
                              restinio::request_handle_t const& request)
        {
            handler(convert(*request),
                    std::make_shared<restinio_reply>(request));
            return restinio::request_accepted();
        };
        auto settings =
            restinio::server_settings_t<server_traits>{}
                .address("127.0.0.1")
                .port(port)
                .max_pipelined_requests(max_pipelined_requests)
                .read_next_http_message_timelimit(connection_limit)
                .handle_request_timeout(connection_limit)
                .write_http_response_timelimit(connection_limit)
                .socket_options_setter(
                    [](restinio::socket_options_t& options)
                    { options.set_option(asio::ip::tcp::no_delay(true)); })
                .acceptor_post_bind_hook(
                    [this](asio::ip::tcp::acceptor& acceptor)
                    { port_ = acceptor.local_endpoint().port(); })
                .request_handler(std::move(on_request));
        server_ = restinio::run_async<server_traits>(
            restinio::own_io_context(), std::move(settings), server_threads);
    }

    ~restinio_server() override { stop_and_wait(); }

    std::uint16_t port() const override { return port_; }

    void stop() override { stop_and_wait(); }

private:
    void stop_and_wait()
    {
        if (std::exchange(is_stopped_, true))
        {
            return;
        }
        server_->stop();
        server_->wait();
    }

    std::uint16_t port_ = 0;
    bool is_stopped_ = false;
    restinio::running_server_handle_t<server_traits> server_;
};

} // namespace

std::unique_ptr<fake_http_server>
fake_http_server::start(std::uint16_t port, request_handler handler)
{
    return std::make_unique<restinio_server>(port, std::move(handler));
}

http_response json_response(int status, std::string text)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(text)};
}

std::string loopback_url(std::uint16_t port)
{
    return "http://127.0.0.1:" + std::to_string(port);
}

} // namespace auburnlb::fakes
