// Valid statuses, and the search for status lines.
#include "auburnlb/protocol/status_line.hpp"

#include <algorithm>
#include <string>

namespace auburnlb
{

namespace
{

/// Each 0 stands for any digit.
constexpr std::string_view status_line_form = "HTTP/0.0 000";

bool fits(char letter, char form)
{
    return form == '0' ? letter >= '0' && letter <= '9' : letter == form;
}

} // namespace

bool is_valid_status(long status)
{
    constexpr long first_status = 100;
    constexpr long last_status = 599;
    return status >= first_status && status <= last_status;
}

bool contains_status_line(std::string_view text)
{
    return std::search(text.begin(), text.end(), status_line_form.begin(),
                       status_line_form.end(), fits) != text.end();
}

bool begins_status_line(std::string_view text, std::string_view following)
{
    // One that begins within the text ends before as many bytes after it.
    constexpr std::size_t overlap = status_line_form.size() - 1;
    std::string border(
        text.substr(text.size() - std::min(text.size(), overlap)));
    border += following.substr(0, overlap);
    return contains_status_line(text) || contains_status_line(border);
}

} // namespace auburnlb
