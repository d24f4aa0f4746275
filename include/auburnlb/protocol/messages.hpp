// Messages exchanged between processes, and their msgpack encoding.
#ifndef AUBURNLB_PROTOCOL_MESSAGES_HPP
#define AUBURNLB_PROTOCOL_MESSAGES_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "auburnlb/state/fleet.hpp"
#include "auburnlb/state/ids.hpp"
#include "auburnlb/state/refusal.hpp"

namespace auburnlb
{

/// One stage of a chain. It names one incarnation of the process, so that a
/// restarted process refuses the attempt.
struct chain_stage
{
    std::string address_;
    incarnation_id incarnation_ = 0;
    layer_range layers_;

    auto operator<=>(chain_stage const&) const = default;
};

/// The chain of one attempt, part of its first frame.
/// Invariant: the stages' layer ranges are adjacent and cover 0 to
/// model_layers_.
struct chain_route
{
    std::string entry_address_;
    std::string service_;
    std::uint32_t model_layers_ = 0;
    std::vector<chain_stage> stages_;
    std::uint32_t prompt_tokens_ = 0;
    /// Maximum number of output tokens, counted from the start of the response.
    std::uint32_t max_tokens_ = 0;
    std::int32_t priority_ = 0;
    /// Output tokens delivered by earlier attempts; with them the last stage
    /// holds the complete response.
    std::vector<std::string> delivered_;

    bool operator==(chain_route const&) const = default;
};

/// Input of one step for one stage. Position 0 is the prompt and position n is
/// output token n-1; running positions 0..n produces output token n.
struct step_frame
{
    request_id request_;
    std::uint32_t attempt_ = 0;
    std::uint32_t position_ = 0;
    /// First layer to run on the inputs.
    std::uint32_t next_layer_ = 0;
    std::uint64_t service_version_ = 0;
    std::vector<std::string> inputs_;
    /// Present in the first frame of an attempt.
    std::optional<chain_route> route_;

    bool operator==(step_frame const&) const = default;
};

/// One output token, sent by the last stage to the entry.
struct token_frame
{
    request_id request_;
    std::uint32_t attempt_ = 0;
    std::uint32_t index_ = 0;
    std::string text_;
    bool is_end_ = false;
    std::uint32_t cached_tokens_ = 0;
    load_report load_;

    bool operator==(token_frame const&) const = default;
};

/// Reports that a stage cannot continue an attempt.
struct step_refusal
{
    request_id request_;
    std::uint32_t attempt_ = 0;
    refusal_reason reason_ = refusal_reason::engine_failed;
    /// The refusing stage, or the stage that its predecessor cannot reach.
    std::string stage_address_;

    bool operator==(step_refusal const&) const = default;
};

/// Ends attempts of a request at a stage and frees their memory.
struct cancel_stream
{
    request_id request_;
    /// This attempt and all earlier ones end.
    std::uint32_t attempt_ = 0;

    bool operator==(cancel_stream const&) const = default;
};

/// Requests the identity and state of a process. Also serves as the heartbeat
/// on idle connections.
struct hello
{
    std::string from_address_;
    host_role role_ = host_role::entry;
    std::uint64_t nonce_ = 0;
    /// Configuration versions in force at the sender, by service.
    std::map<std::string, std::uint64_t> versions_;

    bool operator==(hello const&) const = default;
};

/// Reply to a hello. endpoint_ is absent if the sender is an entry.
struct hello_reply
{
    std::uint64_t nonce_ = 0;
    std::string from_address_;
    std::optional<endpoint_description> endpoint_;
    std::map<std::string, std::uint64_t> versions_;

    bool operator==(hello_reply const&) const = default;
};

/// Current description of an endpoint. Endpoints announce changes of their
/// state with it to the entries; entries send the companions of a plain service
/// the other endpoints of that service.
struct endpoint_update
{
    endpoint_description endpoint_;

    bool operator==(endpoint_update const&) const = default;
};

/// Requests configurations of services from a peer; an empty services_ requests
/// all of them.
struct config_request
{
    std::string from_address_;
    std::vector<std::string> services_;

    bool operator==(config_request const&) const = default;
};

/// Configuration objects by service, each as (version, JSON text of the
/// object).
struct config_push
{
    std::map<std::string, std::pair<std::uint64_t, std::string>> services_;

    bool operator==(config_push const&) const = default;
};

/// A call of a plain service, sent to its endpoint's companion.
struct call_request
{
    request_id request_;
    std::string reply_to_;
    std::string service_;
    std::uint64_t service_version_ = 0;
    incarnation_id target_incarnation_ = 0;
    std::string method_;
    std::string path_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    /// "<workspace>/<key>"; empty for a call without a key.
    std::string idempotency_key_;
    bool is_idempotent_ = false;
    /// Requests only the recorded outcome of the key; the call must not run.
    bool is_lookup_ = false;
    std::uint32_t timeout_ms_ = 0;

    bool operator==(call_request const&) const = default;
};

/// The outcome of a call. status_ is zero for a refusal.
struct call_reply
{
    request_id request_;
    std::int32_t status_ = 0;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;
    refusal_reason reason_ = refusal_reason::no_endpoint;
    run_state run_state_ = run_state::unknown;
    bool is_replay_ = false;
    load_report load_;

    bool operator==(call_reply const&) const = default;
};

/// Reports requests that are suspected of crashing endpoints.
struct suspicion_update
{
    /// Number of endpoints crashed, by request fingerprint.
    std::map<std::uint64_t, std::uint32_t> crashes_;

    bool operator==(suspicion_update const&) const = default;
};

/// Requests a companion to finish its running work and stop. Names one
/// incarnation, so that a delayed copy never stops its successor.
struct drain_request
{
    incarnation_id target_incarnation_ = 0;

    bool operator==(drain_request const&) const = default;
};

/// Redirects a response in progress to another entry after its own entry was
/// lost.
struct adopt_stream
{
    request_id request_;
    std::string entry_address_;

    bool operator==(adopt_stream const&) const = default;
};

/// Sent by the last stage to the entry that adopts a response in progress.
struct stream_adopted
{
    request_id request_;
    std::uint32_t attempt_ = 0;
    std::uint64_t service_version_ = 0;
    chain_route route_;
    /// All output tokens so far.
    std::vector<std::string> tokens_;
    bool is_end_ = false;

    bool operator==(stream_adopted const&) const = default;
};

using message =
    std::variant<step_frame, token_frame, step_refusal, cancel_stream, hello,
                 hello_reply, endpoint_update, config_request, config_push,
                 call_request, call_reply, suspicion_update, drain_request,
                 adopt_stream, stream_adopted>;

/// A message with its sender.
struct envelope
{
    incarnation_id sender_ = 0;
    message body_;

    bool operator==(envelope const&) const = default;
};

/// Encodes an envelope with msgpack.
std::string encode(envelope const& envelope);

/// Returns std::nullopt if the bytes are not a message of this protocol
/// version.
std::optional<envelope> decode(std::string const& bytes);

} // namespace auburnlb

#endif
