// Names of error codes and rendering of errors.
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

char const* to_string(error_code code)
{
    switch (code)
    {
    case error_code::invalid_input:
        return "invalid_input";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::timeout:
        return "timeout";
    case error_code::unreachable:
        return "unreachable";
    case error_code::response_lost:
        return "answer_lost";
    case error_code::refused:
        return "refused";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

std::string to_string(error const& failure)
{
    std::string text = failure.step_;
    if (!failure.peer_.empty())
    {
        text += " at " + failure.peer_;
    }
    return text + ": " + failure.detail_;
}

} // namespace auburnlb
