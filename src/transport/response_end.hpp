// Decides whether a response that libcurl takes for complete is: libcurl does
// so wherever a connection ends, once it has read a status line.
#ifndef AUBURNLB_SRC_TRANSPORT_RESPONSE_END_HPP
#define AUBURNLB_SRC_TRANSPORT_RESPONSE_END_HPP

#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

/// Returns why the response is not complete; null if it is.
/// @param is_head_complete whether the empty line after its fields has come
char const* incompleteness(http_request const& request,
                           http_response const& response,
                           bool is_head_complete);

} // namespace auburnlb

#endif
