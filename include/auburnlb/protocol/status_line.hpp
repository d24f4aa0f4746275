// Recognises the beginning of a response where none may be.
#ifndef AUBURNLB_PROTOCOL_STATUS_LINE_HPP
#define AUBURNLB_PROTOCOL_STATUS_LINE_HPP

#include <string_view>

namespace auburnlb
{

/// Returns whether the text contains the beginning of a status line, such as
/// "HTTP/1.1 200". The text of a head does if that head broke off and another
/// one follows it.
bool contains_status_line(std::string_view text);

/// Returns whether a status line begins within the text, which may end within
/// that line.
/// @param following what follows the text
bool begins_status_line(std::string_view text, std::string_view following);

} // namespace auburnlb

#endif
