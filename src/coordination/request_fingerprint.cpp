// Hashing of requests.
#include "auburnlb/coordination/request_fingerprint.hpp"

#include <array>
#include <charconv>

#include <xxhash.h>

namespace auburnlb
{

request_fingerprint fingerprint_of(std::string_view workspace,
                                   std::string_view service,
                                   std::string_view body)
{
    // Each hash seeds the next, so that moving a character from one part to
    // the next changes the fingerprint.
    XXH64_hash_t const first = XXH64(workspace.data(), workspace.size(), 0);
    XXH64_hash_t const second = XXH64(service.data(), service.size(), first);
    return XXH64(body.data(), body.size(), second);
}

std::string to_hex(request_fingerprint fingerprint)
{
    constexpr int hexadecimal = 16;
    constexpr std::size_t digits_per_byte = 2;
    std::array<char, digits_per_byte * sizeof(fingerprint)> text{};
    auto const end = std::to_chars(text.data(), text.data() + text.size(),
                                   fingerprint, hexadecimal)
                         .ptr;
    return {text.data(), end};
}

} // namespace auburnlb
