// Identification of a request across attempts and callers' retries.
#ifndef AUBURNLB_COORDINATION_REQUEST_FINGERPRINT_HPP
#define AUBURNLB_COORDINATION_REQUEST_FINGERPRINT_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnlb
{

/// Hash of workspace, service and body that identifies a request across
/// retries.
using request_fingerprint = std::uint64_t;

request_fingerprint fingerprint_of(std::string_view workspace,
                                   std::string_view service,
                                   std::string_view body);

/// Returns the fingerprint as it stands in logs.
std::string to_hex(request_fingerprint fingerprint);

} // namespace auburnlb

#endif
