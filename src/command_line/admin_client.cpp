// Carries administration requests over HTTP.
#include "auburnlb/command_line/admin_client.hpp"

#include <utility>

namespace auburnlb
{

namespace
{

// The server may read back an uncertain write several times.
constexpr milliseconds admin_timeout{30'000};

} // namespace

result<admin_response> call_admin_api(http_client& client,
                                      std::string const& base_url,
                                      admin_request const& request)
{
    http_request call;
    call.method_ = request.method_;
    call.url_ = base_url + request.path_;
    call.headers_ = {{"Authorization", "Bearer " + request.token_},
                     {"Content-Type", "application/json"},
                     {author_header, request.author_}};
    call.body_ = request.body_;
    call.timeout_ = admin_timeout;
    auto response = client.send_and_wait(std::move(call));
    if (!response)
    {
        return response.error();
    }
    return admin_response{response.value().status_,
                          std::move(response.value().body_)};
}

} // namespace auburnlb
