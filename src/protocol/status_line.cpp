// Search for status lines.
#include "auburnlb/protocol/status_line.hpp"

#include <algorithm>

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

bool contains_status_line(std::string_view text)
{
    return std::search(text.begin(), text.end(), status_line_form.begin(),
                       status_line_form.end(), fits) != text.end();
}

} // namespace auburnlb
