// Translates operators' HTTP requests to requests of the administration API.
#include "auburnlb/entry/admin_http_handler.hpp"

#include <string_view>
#include <utility>

namespace auburnlb
{

namespace
{

std::string bearer_token(http_headers const& headers)
{
    constexpr std::string_view bearer = "Bearer ";
    std::string const value = find_header(headers, "Authorization");
    return value.starts_with(bearer) ? value.substr(bearer.size())
                                     : std::string();
}

} // namespace

admin_http_handler::admin_http_handler(object_store& store,
                                       metrics_registry const& metrics,
                                       std::string token, admin_hooks hooks)
    : metrics_(metrics)
    , api_(store, std::move(token), std::move(hooks))
{
}

void admin_http_handler::handle(incoming_request const& request,
                                std::shared_ptr<http_reply> const& reply)
{
    if (request.path_ == "/metrics")
    {
        reply->send({200,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     metrics_.render()});
        return;
    }
    admin_request const api_request{
        request.method_, request.path_, request.body_,
        bearer_token(request.headers_),
        find_header(request.headers_, "X-Operator")};
    api_.handle(api_request,
                [reply](admin_response response)
                {
                    reply->send({response.status_,
                                 {{"Content-Type", "application/json"}},
                                 std::move(response.body_)});
                });
}

} // namespace auburnlb
