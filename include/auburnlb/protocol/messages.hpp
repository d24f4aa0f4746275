// Messages between the system's processes.
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

/// One stage of a chain, pinned to the incarnation that was chosen.
struct chain_stage
{
    std::string address_;
    incarnation_id incarnation_ = 0;
    layer_range layers_;

    auto operator<=>(chain_stage const&) const = default;
};

/// The chain of one attempt, carried by its first frame.
/// Invariant: the stages' layers are adjacent, from 0 to the model's depth.
struct chain_route
{
    std::string entry_address_;
    std::string service_;
    std::uint32_t model_layers_ = 0;
    std::vector<chain_stage> stages_;
    std::uint32_t prompt_tokens_ = 0;
    /// Answer tokens wanted at most, counted from the answer's start.
    std::uint32_t max_tokens_ = 0;
    std::int32_t priority_ = 0;
    /// Answer tokens that earlier attempts gave, so that the last stage knows
    /// the whole answer.
    std::vector<std::string> delivered_;

    bool operator==(chain_route const&) const = default;
};

/// Work for one stage. Position 0 is the prompt and position n is answer token
/// n-1; running positions 0..n gives answer token n.
struct step_frame
{
    request_id request_;
    std::uint32_t attempt_ = 0;
    std::uint32_t position_ = 0;
    /// The layer that the inputs enter.
    std::uint32_t next_layer_ = 0;
    std::uint64_t service_version_ = 0;
    std::vector<std::string> inputs_;
    /// Present on the first frame of an attempt.
    std::optional<chain_route> route_;

    bool operator==(step_frame const&) const = default;
};

/// One answer token, from the last stage to the entry.
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

/// A stage cannot go on with an attempt.
struct step_refusal
{
    request_id request_;
    std::uint32_t attempt_ = 0;
    refusal_reason reason_ = refusal_reason::engine_failed;
    /// The stage that refused, or the one that its predecessor cannot reach.
    std::string stage_address_;

    bool operator==(step_refusal const&) const = default;
};

/// Ends an attempt at a stage and frees its memory.
struct cancel_stream
{
    request_id request_;
    /// Attempts up to this one end.
    std::uint32_t attempt_ = 0;

    bool operator==(cancel_stream const&) const = default;
};

/// Asks a process who it is, and how it is. Also the beat on idle links.
struct hello
{
    std::string from_address_;
    host_role role_ = host_role::entry;
    std::uint64_t nonce_ = 0;
    /// Versions of configuration that the sender has in force.
    std::map<std::string, std::uint64_t> versions_;

    bool operator==(hello const&) const = default;
};

/// Answers a hello. The description is absent from an entry's answer.
struct hello_reply
{
    std::uint64_t nonce_ = 0;
    std::string from_address_;
    std::optional<endpoint_description> endpoint_;
    std::map<std::string, std::uint64_t> versions_;

    bool operator==(hello_reply const&) const = default;
};

/// An endpoint leaves or comes back: told to every entry that knows it.
struct endpoint_update
{
    endpoint_description endpoint_;

    bool operator==(endpoint_update const&) const = default;
};

/// Asks a peer for services' configurations; empty names ask for all.
struct config_request
{
    std::string from_address_;
    std::vector<std::string> services_;

    bool operator==(config_request const&) const = default;
};

/// Configuration objects, each as (version, JSON text of the object).
struct config_push
{
    std::map<std::string, std::pair<std::uint64_t, std::string>> services_;

    bool operator==(config_push const&) const = default;
};

/// A call of a plain service through its companion.
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
    /// Only the outcome of the key is wanted; nothing may run.
    bool is_lookup_ = false;
    std::uint32_t timeout_ms_ = 0;

    bool operator==(call_request const&) const = default;
};

/// The outcome of a call. status is zero for a refusal.
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

/// Requests under suspicion of crashing endpoints, by fingerprint.
struct suspicion_update
{
    /// Fingerprint to the number of endpoints that it has crashed.
    std::map<std::uint64_t, std::uint32_t> crashes_;

    bool operator==(suspicion_update const&) const = default;
};

/// Asks a companion to finish what runs and stop. Pinned to an incarnation, so
/// that a delayed copy never stops a successor.
struct drain_request
{
    incarnation_id target_incarnation_ = 0;

    bool operator==(drain_request const&) const = default;
};

/// Another entry sees a running answer through, because its own is gone.
struct adopt_stream
{
    request_id request_;
    std::string entry_address_;

    bool operator==(adopt_stream const&) const = default;
};

/// The last stage hands a running answer to the entry that adopts it.
struct stream_adopted
{
    request_id request_;
    std::uint32_t attempt_ = 0;
    std::uint64_t service_version_ = 0;
    chain_route route_;
    /// Every answer token so far.
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

/// Encodes with msgpack.
std::string encode(envelope const& envelope);

/// Gives nothing for a frame that is no message of this protocol.
std::optional<envelope> decode(std::string const& bytes);

} // namespace auburnlb

#endif
