// The callers' HTTP interface: parsing of requests, formatting of answers.
//
// Model services follow the chat-completions convention, streamed answers the
// one of server-sent events, keys the Idempotency-Key header field.
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
    /// Answer tokens at most; zero when the caller named no limit.
    std::uint32_t max_tokens_ = 0;
    bool is_stream_ = false;

    bool operator==(chat_request const&) const = default;
};

/// Position in a streamed answer, the `id` of each event: "<request>:<index>".
struct event_id
{
    request_id request_;
    /// Index of the answer token.
    std::uint32_t index_ = 0;

    auto operator<=>(event_id const&) const = default;
};

/// What a caller says in header fields.
struct caller_options
{
    /// The secret of "Authorization: Bearer"; empty when absent.
    std::string bearer_key_;
    std::optional<std::string> idempotency_key_;
    /// X-Request-Timeout-Ms, 1 to 600,000.
    std::optional<milliseconds> timeout_;
    /// X-Priority: low is -1, normal 0, high 1.
    std::int32_t priority_ = 0;
    /// Last-Event-ID: the last event that the caller has.
    std::optional<event_id> last_event_;

    bool operator==(caller_options const&) const = default;
};

/// What every part of one answer repeats.
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
    std::uint32_t answer_tokens_ = 0;
};

/// Why an answer ended.
enum class finish_reason
{
    /// The model ended it.
    stop,
    /// The limit of tokens was reached.
    length,
};

/// Unknown fields are ignored, as ordinary clients send many. The error's
/// detail names the field, its value and what is allowed.
result<chat_request> parse_chat_request(std::string const& body,
                                        std::size_t max_body_bytes);
result<caller_options> parse_caller_options(http_headers const& headers);
std::optional<event_id> parse_event_id(std::string const& text);
std::string to_string(event_id const& id);

/// The refusal for an error of the two parsers above.
refusal_reason refusal_for(error const& failure);

/// HTTP status that goes with a refusal.
int http_status(refusal_reason reason);

/// Header fields of a streamed answer.
http_headers stream_headers();
/// One token as a server-sent event.
std::string format_stream_event(completion_metadata const& head,
                                std::uint32_t index, std::string const& text);
/// The last chunk and the end marker. index is one more than the last token's.
std::string format_stream_end(completion_metadata const& head,
                              std::uint32_t index, finish_reason reason,
                              token_usage const& usage);
/// The event that ends a stream that cannot be completed.
std::string format_stream_error(refusal_reason reason, run_state state,
                                std::string const& message);
/// A comment that keeps an idle stream's connection open.
std::string format_stream_comment();

/// A whole answer as one JSON body.
http_response format_completion(completion_metadata const& head,
                                std::string const& text, finish_reason reason,
                                token_usage const& usage);
http_response format_error(refusal_reason reason, run_state state,
                           std::string const& message,
                           std::optional<seconds> retry_after = std::nullopt);
http_response format_model_list(std::vector<std::string> const& services);

} // namespace auburnlb

#endif
