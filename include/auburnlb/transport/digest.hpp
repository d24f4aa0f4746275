// Digests of secrets, so that configuration never holds the secrets themselves.
#ifndef AUBURNLB_TRANSPORT_DIGEST_HPP
#define AUBURNLB_TRANSPORT_DIGEST_HPP

#include <string>

namespace auburnlb
{

/// The SHA-256 of the bytes in 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string const& bytes);

} // namespace auburnlb

#endif
