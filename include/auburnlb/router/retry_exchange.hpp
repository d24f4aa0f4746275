// Lends retries to other routers and borrows theirs, so that the retry budget
// of the fleet is used where requests break off.
#ifndef AUBURNLB_ROUTER_RETRY_EXCHANGE_HPP
#define AUBURNLB_ROUTER_RETRY_EXCHANGE_HPP

#include <functional>
#include <string>
#include <vector>

#include "auburnlb/coordination/retry_borrowing.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/local_server.hpp"
#include "auburnlb/router/router_core.hpp"

namespace auburnlb
{

/// Returns the control addresses of the routers that may be asked.
using list_routers = std::function<std::vector<std::string>()>;

class retry_exchange
{
public:
    retry_exchange(router_core& core, internal_http_client& http_client,
                   list_routers routers);

    /// Returns the response to another router that asks for retries.
    local_response handle_request(std::string const& body);
    /// Asks other routers if requests wait for retries.
    void on_tick(time_point now);

private:
    std::uint32_t lend(std::string const& service, std::uint32_t wanted);
    void request_loans(std::string const& service, time_point now);
    void send_request(std::string const& service, loan_request const& request,
                      time_point now);
    void on_reply(std::string const& service, time_point asked_at,
                  result<http_reply> const& reply);

    router_core& core_;
    internal_http_client& http_client_;
    list_routers routers_;
};

} // namespace auburnlb

#endif
