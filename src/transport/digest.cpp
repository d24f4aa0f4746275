// SHA-256 with OpenSSL.
#include "auburnlb/transport/digest.hpp"

#include <array>
#include <stdexcept>

#include <openssl/evp.h>

namespace auburnlb
{

std::string sha256_hex(std::string const& bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length,
                   EVP_sha256(), nullptr) != 1)
    {
        throw std::runtime_error("OpenSSL failed to compute a SHA-256 digest");
    }
    constexpr char const* digits = "0123456789abcdef";
    std::string text;
    text.reserve(std::size_t{2} * length);
    for (unsigned int index = 0; index < length; ++index)
    {
        text += digits[digest[index] >> 4U];
        text += digits[digest[index] & 0x0FU];
    }
    return text;
}

} // namespace auburnlb
