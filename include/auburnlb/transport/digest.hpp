// Digests of secrets, which configurations store instead of the secrets.
#ifndef AUBURNLB_TRANSPORT_DIGEST_HPP
#define AUBURNLB_TRANSPORT_DIGEST_HPP

#include <string>

namespace auburnlb
{

/// Returns the SHA-256 digest of the bytes as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string const& bytes);

} // namespace auburnlb

#endif
