// Message parsing with http_parser, and rules for header fields.
#include "auburnlb/router/http_message.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <climits>

#include "auburnlb/protocol/status_line.hpp"

namespace auburnlb
{

namespace
{

/// Returned by a callback to stop the parser.
constexpr int invalid = -1;

/// Fields that are always hop-by-hop.
constexpr std::array<std::string_view, 9> always_hop_by_hop{
    "connection", "keep-alive",       "proxy-authenticate",
    "te",         "trailer",          "proxy-authorization",
    "upgrade",    "proxy-connection", "transfer-encoding"};

unsigned char to_lower(char letter)
{
    return static_cast<unsigned char>(
        std::tolower(static_cast<unsigned char>(letter)));
}

std::string in_lower_case(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), to_lower);
    return lower;
}

/// Whether the end of the body can be found before the connection ends.
bool is_body_framed(http_parser const& parser)
{
    if (parser.type == HTTP_REQUEST)
    {
        return true;
    }
    bool const has_no_body = parser.status_code / 100 == 1 ||
                             parser.status_code == HTTP_STATUS_NO_CONTENT ||
                             parser.status_code == HTTP_STATUS_NOT_MODIFIED;
    return has_no_body || (parser.flags & F_CHUNKED) != 0 ||
           parser.content_length != ULLONG_MAX;
}

} // namespace

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    {
        text.remove_suffix(1);
    }
    return text;
}

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b)
                      { return to_lower(a) == to_lower(b); });
}

std::string const* http_head::find(std::string_view name) const
{
    auto const found =
        std::find_if(fields_.begin(), fields_.end(),
                     [&](http_field const& field)
                     { return equals_ignoring_case(field.name_, name); });
    return found == fields_.end() ? nullptr : &found->value_;
}

hop_by_hop_fields::hop_by_hop_fields(http_head const& head)
    : names_(always_hop_by_hop.begin(), always_hop_by_hop.end())
{
    std::string const* const named = head.find("connection");
    std::string_view list = named == nullptr ? std::string_view() : *named;
    while (!list.empty())
    {
        std::size_t const comma = list.find(',');
        names_.insert(in_lower_case(trim(list.substr(0, comma))));
        list.remove_prefix(comma == std::string_view::npos ? list.size()
                                                           : comma + 1);
    }
}

bool hop_by_hop_fields::contains(std::string_view name) const
{
    return names_.contains(in_lower_case(name));
}

void append_field(std::string& out, std::string_view name,
                  std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void append_status_line(std::string& out, unsigned status)
{
    out += "HTTP/1.1 ";
    out += std::to_string(status);
    out += ' ';
    out += http_status_str(static_cast<http_status>(status));
    out += "\r\n";
}

http_reader::http_reader(message_kind kind, http_message_sink& sink,
                         std::size_t max_head_bytes)
    : sink_(sink)
    , max_head_bytes_(max_head_bytes)
{
    http_parser_init(&parser_, kind == message_kind::request ? HTTP_REQUEST
                                                             : HTTP_RESPONSE);
    parser_.data = this;
}

http_reader& http_reader::self_of(http_parser* parser)
{
    return *static_cast<http_reader*>(parser->data);
}

http_parser_settings const& http_reader::callbacks()
{
    static http_parser_settings const settings = []
    {
        http_parser_settings value;
        http_parser_settings_init(&value);
        value.on_message_begin = [](http_parser* parser)
        {
            self_of(parser).reset_message();
            self_of(parser).is_inside_ = true;
            return 0;
        };
        value.on_url =
            [](http_parser* parser, char const* at, std::size_t length)
        {
            http_reader& self = self_of(parser);
            self.head_.target_.append(at, length);
            return self.count_head_bytes(length) ? 0 : invalid;
        };
        value.on_status =
            [](http_parser* parser, char const* at, std::size_t length)
        {
            http_reader& self = self_of(parser);
            self.reason_phrase_.append(at, length);
            return self.count_head_bytes(length) ? 0 : invalid;
        };
        value.on_header_field =
            [](http_parser* parser, char const* at, std::size_t length)
        {
            http_reader& self = self_of(parser);
            self.append_header_text({at, length}, true);
            return self.count_head_bytes(length) ? 0 : invalid;
        };
        value.on_header_value =
            [](http_parser* parser, char const* at, std::size_t length)
        {
            http_reader& self = self_of(parser);
            self.append_header_text({at, length}, false);
            return self.count_head_bytes(length) ? 0 : invalid;
        };
        value.on_headers_complete = [](http_parser* parser)
        {
            http_reader& self = self_of(parser);
            constexpr int has_no_body = 1;
            if (!self.finish_head())
            {
                return invalid;
            }
            return self.expects_no_body_ ? has_no_body : 0;
        };
        value.on_body =
            [](http_parser* parser, char const* at, std::size_t length)
        {
            self_of(parser).sink_.on_body({at, length});
            return 0;
        };
        value.on_message_complete = [](http_parser* parser)
        {
            self_of(parser).is_ended_ = true;
            // The following bytes belong to the next message, which is read
            // when the owner is ready for it.
            http_parser_pause(parser, 1);
            return 0;
        };
        return value;
    }();
    return settings;
}

bool http_reader::count_head_bytes(std::size_t length)
{
    // Trailers after the body count as well.
    head_bytes_ += length;
    is_head_too_large_ = head_bytes_ > max_head_bytes_;
    return !is_head_too_large_;
}

void http_reader::append_header_text(std::string_view text, bool is_name)
{
    // The parser passes a name or value in several pieces if its bytes arrive
    // separately.
    if (is_name && (!is_last_text_name_ || head_.fields_.empty()))
    {
        head_.fields_.emplace_back();
    }
    is_last_text_name_ = is_name;
    if (head_.fields_.empty())
    {
        return;
    }
    http_field& field = head_.fields_.back();
    (is_name ? field.name_ : field.value_).append(text);
}

bool http_reader::is_of_two_responses() const
{
    return contains_status_line(reason_phrase_) ||
           std::any_of(head_.fields_.begin(), head_.fields_.end(),
                       [](http_field const& field)
                       { return contains_status_line(field.value_); });
}

bool http_reader::finish_head()
{
    // The parser accepts some names with whitespace, which other
    // implementations interpret differently.
    for (http_field const& field : head_.fields_)
    {
        if (field.name_.find_first_of(" \t") != std::string::npos)
        {
            return false;
        }
    }
    if (parser_.type == HTTP_RESPONSE &&
        (!is_valid_status(parser_.status_code) || is_of_two_responses()))
    {
        return false;
    }
    if (parser_.type == HTTP_REQUEST)
    {
        head_.method_ =
            http_method_str(static_cast<http_method>(parser_.method));
    }
    else
    {
        head_.status_ = parser_.status_code;
    }
    head_.is_keep_alive_ = http_should_keep_alive(&parser_) != 0;
    head_.is_framed_ = is_body_framed(parser_);
    is_head_done_ = true;
    sink_.on_head(std::move(head_));
    head_ = http_head{};
    return true;
}

void http_reader::reset_message()
{
    head_ = http_head{};
    reason_phrase_.clear();
    head_bytes_ = 0;
    is_last_text_name_ = false;
    is_inside_ = false;
    is_head_done_ = false;
    is_ended_ = false;
}

http_read_result http_reader::read(std::string_view bytes)
{
    std::size_t const consumed =
        http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    if (is_head_too_large_)
    {
        return {http_read_status::head_too_large, consumed};
    }
    if (is_ended_)
    {
        http_parser_pause(&parser_, 0);
        reset_message();
        sink_.on_message_end();
        return {http_read_status::message_end, consumed};
    }
    http_errno const failure = HTTP_PARSER_ERRNO(&parser_);
    if (failure == HPE_HEADER_OVERFLOW)
    {
        return {http_read_status::head_too_large, consumed};
    }
    if (failure != HPE_OK || consumed != bytes.size())
    {
        return {http_read_status::malformed, consumed};
    }
    return {http_read_status::need_more, consumed};
}

http_read_status http_reader::read_eof()
{
    http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    if (is_ended_)
    {
        http_parser_pause(&parser_, 0);
        reset_message();
        sink_.on_message_end();
        return http_read_status::message_end;
    }
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || is_inside_)
    {
        return http_read_status::malformed;
    }
    return http_read_status::need_more;
}

} // namespace auburnlb
