// HTTP/1.1 messages as the router reads them: a head, and a body in pieces.
#ifndef AUBURNLB_ROUTER_HTTP_MESSAGE_HPP
#define AUBURNLB_ROUTER_HTTP_MESSAGE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
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
    /// Of a request; empty for a response.
    std::string method_;
    std::string target_;
    /// Of a response; 0 for a request.
    unsigned status_ = 0;
    std::vector<http_field> fields_;
    /// Whether the connection may carry another message after this one.
    bool is_keep_alive_ = false;
    /// Whether the end of the body is marked, by a length or by chunks.
    bool is_framed_ = false;

    /// The first field of that name, compared without case, or null.
    std::string const* find(std::string_view name) const;

    bool operator==(http_head const&) const = default;
};

/// Whether two texts are the same but for the case of ASCII letters.
bool equals_ignoring_case(std::string_view left, std::string_view right);

/// Whether a header field concerns one connection only and is not passed on.
bool is_hop_by_hop_field(http_head const& head, std::string_view name);

/// Appends a field's line.
void append_field(std::string& out, std::string_view name,
                  std::string_view value);

/// Appends the status line of a response.
void append_status_line(std::string& out, unsigned status);

/// Receives the parts of messages in their order.
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
    /// All bytes were taken; the message may go on.
    need_more,
    /// A message has ended; bytes after it were not taken.
    message_end,
    /// The bytes are no message of the protocol.
    malformed,
    /// The head exceeds the limit.
    head_too_large,
};

struct http_read_result
{
    http_read_status status_ = http_read_status::need_more;
    /// Bytes that were taken.
    std::size_t consumed_ = 0;
};

/// Reads one message after the other from the bytes of a connection.
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

    /// Gives the parts found to the sink. After message_end, reading begins
    /// with the next message.
    http_read_result read(std::string_view bytes);

    /// The connection has ended. Gives message_end if that ends a body without
    /// length, and need_more if nothing was begun.
    http_read_status read_eof();

    /// Answers to HEAD have no body.
    void set_expects_no_body(bool is_without_body)
    {
        expects_no_body_ = is_without_body;
    }

    /// Whether a part of a message was read.
    bool is_inside_message() const { return is_inside_; }
    bool is_inside_body() const { return is_inside_ && is_head_done_; }

private:
    static http_parser_settings const& callbacks();
    static http_reader& self_of(http_parser* parser);
    /// Counts bytes of the head; false if they exceed the limit.
    bool count_head_bytes(std::size_t length);
    void append_header_text(std::string_view text, bool is_name);
    /// Gives the head to the sink; whether its names are valid.
    bool finish_head();
    void reset_message();

    http_parser parser_{};
    http_message_sink& sink_;
    std::size_t max_head_bytes_;
    http_head head_;
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
