// Checks of status lines: valid statuses, and the beginning of a response where
// none may be.
#ifndef AUBURNLB_PROTOCOL_STATUS_LINE_HPP
#define AUBURNLB_PROTOCOL_STATUS_LINE_HPP

#include <string_view>

namespace auburnlb
{

/// Returns whether a response may have the status: one of the five classes of
/// HTTP. Others tell nothing about the request.
bool is_valid_status(long status);

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
