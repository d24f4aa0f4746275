// Client of the administration API.
#ifndef AUBURNLB_COMMAND_LINE_ADMIN_CLIENT_HPP
#define AUBURNLB_COMMAND_LINE_ADMIN_CLIENT_HPP

#include <string>

#include "auburnlb/coordination/admin_api.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

/// Header that carries the operator's name.
inline constexpr char author_header[] = "X-Operator";

/// Sends a request to the API at the base URL, such as
/// "http://127.0.0.1:9090", and waits.
result<admin_response> call_admin_api(http_client& client,
                                      std::string const& base_url,
                                      admin_request const& request);

} // namespace auburnlb

#endif
