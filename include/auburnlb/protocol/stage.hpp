// Acceptance of step frames by a companion. The local checks of all stages
// together ensure that every layer runs exactly once for each token, in order.
#ifndef AUBURNLB_PROTOCOL_STAGE_HPP
#define AUBURNLB_PROTOCOL_STAGE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// State of one stream at a stage.
struct stage_stream
{
    /// Newest attempt seen; frames of older attempts are always refused.
    std::uint32_t attempt_ = 0;
    /// The only position at which the next frame may start.
    std::uint32_t next_position_ = 0;
    /// False after a cancel: the record is kept as a tombstone, because a frame
    /// of the attempt may still arrive from another process.
    bool is_running_ = true;
    chain_route route_;
    /// Index of this stage in the route.
    std::size_t stage_index_ = 0;
    std::uint64_t service_version_ = 0;
    /// All output tokens at the last stage, so that another entry can adopt the
    /// stream; empty at other stages.
    std::vector<std::string> tokens_;
    bool is_end_ = false;
    time_point last_activity_{};

    bool operator==(stage_stream const&) const = default;
};

/// State of a companion's stage and of its streams.
struct stage_table
{
    std::string address_;
    incarnation_id incarnation_ = 0;
    layer_range layers_;
    bool is_leaving_ = false;
    std::unordered_map<request_id, stage_stream> streams_;
    /// Invariant: the number of running streams in streams_. Kept as a counter
    /// because every step result reports it.
    std::size_t running_ = 0;
};

/// The frame is accepted and has to be run.
struct step_accepted
{
    /// An older attempt at this stage whose KV cache has to be released first.
    std::optional<std::uint32_t> replaced_attempt_;

    bool operator==(step_accepted const&) const = default;
};

using step_decision = std::variant<step_accepted, refusal_reason>;

/// Accepts or refuses a frame. An accepted frame advances the stream; a refused
/// one changes nothing.
step_decision accept_step(stage_table& table, step_frame const& frame,
                          time_point now);

/// A message with the result of a step, and its destination.
struct outgoing_message
{
    std::string address_;
    /// A token_frame for the entry or a step_frame for a stage.
    message body_;

    bool operator==(outgoing_message const&) const = default;
};

/// Output of one step as returned by the engine.
struct step_output
{
    std::vector<std::string> outputs_;
    bool is_end_ = false;
    std::uint32_t cached_tokens_ = 0;
};

/// Returns the messages that follow from a completed step. Returns none if the
/// attempt was cancelled or replaced in the meantime, so that no late result
/// leaves the stage.
std::vector<outgoing_message> forward_step(stage_table& table,
                                           step_frame const& frame,
                                           step_output output,
                                           load_report const& load);

/// Ends attempts up to the given one. Returns the attempt whose KV cache has to
/// be released, if any.
std::optional<std::uint32_t> cancel_at_stage(stage_table& table,
                                             cancel_stream const& cancel,
                                             time_point now);

/// Redirects the rest of a stream to another entry. Returns the response so far
/// at the last stage, and std::nullopt at other stages or if the stream is not
/// running.
std::optional<stream_adopted> adopt_at_stage(stage_table& table,
                                             adopt_stream const& adoption,
                                             time_point now);

/// An attempt whose KV cache has to be released.
struct released_stream
{
    request_id request_;
    std::uint32_t attempt_ = 0;
    std::string entry_address_;

    auto operator<=>(released_stream const&) const = default;
};

/// Ends streams of lost entries and streams that were idle for longer than
/// idle_limit, and removes tombstones older than tombstone_lifetime. Returns
/// the ended attempts.
std::vector<released_stream>
expire_streams(stage_table& table, time_point now, nanoseconds idle_limit,
               nanoseconds tombstone_lifetime,
               std::set<std::string> const& lost_entries);

/// Returns the number of streams that are not tombstones.
std::size_t running_streams(stage_table const& table);

/// Returns the name of an attempt's KV cache in the engine.
std::string engine_stream_name(request_id const& request,
                               std::uint32_t attempt);

} // namespace auburnlb

#endif
