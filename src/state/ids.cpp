// Rendering of request identifiers.
#include "auburnlb/state/ids.hpp"

#include <array>
#include <cstdio>

namespace auburnlb
{

std::string to_string(request_id const& id)
{
    std::array<char, 40> text{};
    int const length =
        std::snprintf(text.data(), text.size(), "%llx-%llx",
                      static_cast<unsigned long long>(id.entry_),
                      static_cast<unsigned long long>(id.sequence_));
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace auburnlb
