// Incremental parsing of HTTP/1.1 messages, and helpers for header fields.
#ifndef AUBURNLB_ROUTER_HTTP_MESSAGE_HPP
#define AUBURNLB_ROUTER_HTTP_MESSAGE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <http_parser.h>

namespace auburnlb
{

/// One header field.
struct http_field
{
    std::string name_;
    std::string value_;

    bool operator==(http_field const&) const = default;
};

/// The head of a request or response.
struct http_head
{
    /// Requests only.
    std::string method_;
    std::string target_;
    /// Responses only; 0 for a request.
    unsigned status_ = 0;
    std::vector<http_field> fields_;
    /// Whether the connection may be reused after this message.
    bool is_keep_alive_ = false;
    /// Whether the body has a length or is chunked, rather than ending with the
    /// connection.
    bool is_framed_ = false;

    /// Returns the value of the first field of that name, ignoring case, or
    /// null.
    std::string const* find(std::string_view name) const;

    bool operator==(http_head const&) const = default;
};

/// Compares two strings, ignoring the case of ASCII letters.
bool equals_ignoring_case(std::string_view left, std::string_view right);

/// Returns the text without spaces and tabs at its ends.
std::string_view trim(std::string_view text);

/// The header fields of a message that are hop-by-hop and must not be
/// forwarded.
class hop_by_hop_fields
{
public:
    explicit hop_by_hop_fields(http_head const& head);

    bool contains(std::string_view name) const;

private:
    /// In lower case, with those that the message itself names.
    std::set<std::string, std::less<>> names_;
};

/// Appends a header field line.
void append_field(std::string& out, std::string_view name,
                  std::string_view value);

/// Appends the status line of a response.
void append_status_line(std::string& out, unsigned status);

/// Receives the parts of messages in order.
class http_message_sink
{
public:
    virtual ~http_message_sink() = default;
    virtual void on_head(http_head head) = 0;
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_message_end() = 0;
};

/// Why reading stopped.
enum class http_read_status
{
    /// All bytes were consumed; the message may be incomplete.
    need_more,
    /// A message is complete; the bytes after it were not consumed.
    message_end,
    /// The bytes are not a valid HTTP message.
    malformed,
    /// The head exceeds the size limit.
    head_too_large,
};

struct http_read_result
{
    http_read_status status_ = http_read_status::need_more;
    /// Number of bytes consumed.
    std::size_t consumed_ = 0;
};

/// Memory that a head takes. A field without text takes far more than its bytes
/// on the connection.
inline std::size_t held_bytes(http_head const& head, std::size_t text_bytes)
{
    return text_bytes + head.fields_.capacity() * sizeof(http_field);
}

/// Parses the consecutive messages of a connection.
class http_reader
{
public:
    enum class message_kind
    {
        request,
        response,
    };

    http_reader(message_kind kind, http_message_sink& sink,
                std::size_t max_head_bytes);
    http_reader(http_reader const&) = delete;
    http_reader& operator=(http_reader const&) = delete;

    /// Parses bytes and passes the parts to the sink. After message_end, the
    /// next call begins with the next message.
    http_read_result read(std::string_view bytes);

    /// Handles the end of the connection. Returns message_end if it ends a body
    /// without length, and need_more if no message had begun.
    http_read_status read_eof();

    /// Sets whether messages have no body, whatever their heads say, as with
    /// responses to HEAD.
    void set_expects_no_body(bool expects_no_body)
    {
        expects_no_body_ = expects_no_body;
    }

    /// Sets the limit of the heads of later messages. Called between messages.
    void set_max_head_bytes(std::size_t max_head_bytes)
    {
        max_head_bytes_ = max_head_bytes;
    }

    /// Memory of the head or the trailer that is being read, and the bytes of
    /// the text of both.
    std::size_t held_head_bytes() const
    {
        return is_inside_ ? held_bytes(head_, head_bytes_) : 0;
    }
    /// Frees what was read of an incomplete head. No message is read after it.
    void drop_head() { head_ = http_head{}; }
    /// Whether a message has begun and is incomplete.
    bool is_inside_message() const { return is_inside_; }
    bool is_inside_body() const { return is_inside_ && is_head_done_; }

private:
    static http_parser_settings const& callbacks();
    static http_reader& self_of(http_parser* parser);
    /// Counts bytes of the head; returns false if they exceed the limit.
    bool count_head_bytes(std::size_t length);
    void append_header_text(std::string_view text, bool is_name);
    /// Returns whether a response's head broke off and the next one follows it,
    /// so that its status line is within the text of the first.
    bool is_of_two_responses() const;
    /// Passes the head to the sink; returns false if it is invalid.
    bool finish_head();
    void reset_message();

    http_parser parser_{};
    http_message_sink& sink_;
    std::size_t max_head_bytes_;
    http_head head_;
    std::string reason_phrase_;
    std::size_t head_bytes_ = 0;
    bool is_last_text_name_ = false;
    bool is_inside_ = false;
    bool is_head_done_ = false;
    bool is_ended_ = false;
    bool is_head_too_large_ = false;
    bool expects_no_body_ = false;
};

} // namespace auburnlb

#endif
