// An HTTP server of the stand-ins of the users' platform, on one thread, whose
// answers may come later or in pieces.
#ifndef AUBURNLB_FAKES_ASIO_SERVER_HPP
#define AUBURNLB_FAKES_ASIO_SERVER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "auburnlb/router/boot_clock.hpp"
#include "auburnlb/router/caller_connection.hpp"
#include "auburnlb/router/local_server.hpp"

namespace auburnlb::fakes
{

/// Takes requests on 127.0.0.1 and gives them to a function.
class asio_server final : public request_service
{
public:
    using handler =
        std::function<void(std::shared_ptr<caller_connection> caller,
                           http_head head, std::string body)>;

    /// Port zero takes a free one. Throws std::runtime_error if it is taken.
    asio_server(asio::io_context& io, std::uint16_t port, handler handler);

    std::uint16_t port() const { return port_; }
    /// Closes all connections; responses in progress are cut.
    void drop_connections();

    void serve(std::shared_ptr<caller_connection> caller, http_head head,
               std::string body, time_point received) override;
    caller_limits limits() const override;
    bool is_closing() const override { return false; }
    time_point now() const override { return clock_.now(); }
    void on_connection_closed(caller_connection& connection) override;

private:
    boot_clock clock_;
    handler handler_;
    std::uint16_t port_ = 0;
    listener listener_;
    std::set<std::shared_ptr<caller_connection>> connections_;
};

/// An answer with a JSON body.
void answer_json(caller_connection& caller, unsigned status,
                 std::string const& body, std::vector<http_field> fields = {});

/// The value of a name in a target's query, or an empty text.
std::string query_value(std::string const& target, std::string const& name);

} // namespace auburnlb::fakes

#endif
