// The callers' HTTP interface: parsing of requests, formatting of responses.
//
// Requests and responses follow the chat-completions convention, streams the
// server-sent events format, and idempotency keys the Idempotency-Key draft.
#ifndef AUBURNLB_TRANSPORT_CALLER_API_HPP
#define AUBURNLB_TRANSPORT_CALLER_API_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/state/ids.hpp"
#include "auburnlb/state/refusal.hpp"
#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

/// A request to a model service.
struct chat_request
{
    /// Name of the service.
    std::string model_;
    /// The messages, each as "<role>: <content>\n".
    std::string prompt_;
    /// Maximum number of output tokens; zero if the caller set no limit.
    std::uint32_t max_tokens_ = 0;
    bool is_stream_ = false;

    bool operator==(chat_request const&) const = default;
};

/// Position in a streamed answer; the `id` of each event: "<request>:<index>".
struct event_id
{
    request_id request_;
    /// Index of the output token.
    std::uint32_t index_ = 0;

    auto operator<=>(event_id const&) const = default;
};

/// Options of a request that the caller sets in header fields.
struct caller_options
{
    /// The secret of "Authorization: Bearer"; empty if absent.
    std::string bearer_key_;
    std::optional<std::string> idempotency_key_;
    /// X-Request-Timeout-Ms: 1 to 600,000.
    std::optional<milliseconds> timeout_;
    /// X-Priority: low is -1, normal 0, high 1.
    std::int32_t priority_ = 0;
    /// Last-Event-ID: the last event that the caller received.
    std::optional<event_id> last_event_;

    bool operator==(caller_options const&) const = default;
};

/// The fields that every chunk of one completion contains.
struct completion_metadata
{
    request_id request_;
    std::string model_;
    /// Seconds since 1970-01-01 UTC.
    std::int64_t created_s_ = 0;
};

struct token_usage
{
    std::uint32_t prompt_tokens_ = 0;
    std::uint32_t cached_tokens_ = 0;
    std::uint32_t output_tokens_ = 0;
};

/// Why a completion ended.
enum class finish_reason
{
    /// The model ended the answer.
    stop,
    /// The token limit was reached.
    length,
};

/// Parses the body of a chat-completions request. Unknown fields are ignored
/// because common client libraries send many. The error's detail contains the
/// field, its value and the allowed values.
result<chat_request> parse_chat_request(std::string const& body,
                                        std::size_t max_body_bytes);
/// Parses the header fields of caller_options. Other fields are ignored.
result<caller_options> parse_caller_options(http_headers const& headers);
/// Returns std::nullopt if the text is not an event id.
std::optional<event_id> parse_event_id(std::string const& text);
std::string to_string(event_id const& id);

/// Returns the refusal reason for an error of parse_chat_request() or
/// parse_caller_options().
refusal_reason refusal_for(error const& failure);

/// Returns the HTTP status for a refusal.
int http_status(refusal_reason reason);

/// Header fields of a streamed response.
http_headers stream_headers();
/// Formats one token as a server-sent event.
std::string format_stream_event(completion_metadata const& head,
                                std::uint32_t index, std::string const& text);
/// Formats the last chunk and the end marker. index is one more than that of
/// the last token.
std::string format_stream_end(completion_metadata const& head,
                              std::uint32_t index, finish_reason reason,
                              token_usage const& usage);
/// Formats the error event that ends an incomplete stream.
std::string format_stream_error(refusal_reason reason, run_state state,
                                std::string const& message);
/// Formats a comment that keeps the connection of an idle stream open.
std::string format_stream_comment();

/// Formats a complete answer as one JSON body.
http_response format_completion(completion_metadata const& head,
                                std::string const& text, finish_reason reason,
                                token_usage const& usage);
http_response format_error(refusal_reason reason, run_state state,
                           std::string const& message,
                           std::optional<seconds> retry_after = std::nullopt);
http_response format_model_list(std::vector<std::string> const& services);

} // namespace auburnlb

#endif
