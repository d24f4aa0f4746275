// Which step frames a companion runs. Its local checks together give the
// property that every layer runs exactly once for each token, in order.
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

/// What a companion knows of one stream.
struct stage_stream
{
    /// Newest attempt seen; frames of older ones are refused for ever.
    std::uint32_t attempt_ = 0;
    /// The only position that the next frame may start at.
    std::uint32_t next_position_ = 0;
    /// False after a cancel: the entry is kept as a tombstone, because a frame
    /// of the attempt may still be on its way from another process.
    bool is_running_ = true;
    chain_route route_;
    /// Index of this stage in the route.
    std::size_t stage_index_ = 0;
    std::uint64_t service_version_ = 0;
    /// At the last stage every answer token, so that another entry can adopt
    /// the stream; empty elsewhere.
    std::vector<std::string> tokens_;
    bool is_end_ = false;
    time_point last_activity_{};

    bool operator==(stage_stream const&) const = default;
};

/// State of a companion's stage.
struct stage_table
{
    std::string address_;
    incarnation_id incarnation_ = 0;
    layer_range layers_;
    bool is_leaving_ = false;
    std::unordered_map<request_id, stage_stream> streams_;
    /// Invariant: the number of streams_ that are running. Every step's result
    /// reports it, so that it is not counted each time.
    std::size_t running_ = 0;
};

/// The frame is to be run.
struct step_accepted
{
    /// KV cache of an older attempt at this stage, to be released first.
    std::optional<std::uint32_t> replaced_attempt_;

    bool operator==(step_accepted const&) const = default;
};

using step_decision = std::variant<step_accepted, refusal_reason>;

/// Decides on a frame and, when it is accepted, moves the stream on. A refused
/// frame changes nothing.
step_decision accept_step(stage_table& table, step_frame const& frame,
                          time_point now);

/// Where the result of an accepted step goes.
struct outgoing_message
{
    std::string address_;
    /// A token_frame to the entry, or a step_frame to the next stage.
    message body_;

    bool operator==(outgoing_message const&) const = default;
};

/// Output of one step as the engine gave it.
struct step_output
{
    std::vector<std::string> outputs_;
    bool is_end_ = false;
    std::uint32_t cached_tokens_ = 0;
};

/// Messages that follow from a step that ran. Empty when the stream was
/// cancelled or replaced meanwhile, so that no late result leaves the stage.
std::vector<outgoing_message> forward_step(stage_table& table,
                                           step_frame const& frame,
                                           step_output output,
                                           load_report const& load);

/// Ends attempts up to the given one. Gives the attempt whose KV cache has to
/// be released, if any.
std::optional<std::uint32_t> cancel_at_stage(stage_table& table,
                                             cancel_stream const& cancel,
                                             time_point now);

/// Sends what follows of a stream to another entry. Gives the answer so far at
/// the last stage, and nothing elsewhere or for a stream that does not run.
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

/// Ends streams of lost entries, all streams that were idle for longer than
/// idle_limit, and forgets tombstones older than tombstone_lifetime.
std::vector<released_stream>
expire_streams(stage_table& table, time_point now, nanoseconds idle_limit,
               nanoseconds tombstone_lifetime,
               std::set<std::string> const& lost_entries);

/// Number of streams that are not tombstones.
std::size_t running_streams(stage_table const& table);

/// Name of a stream's KV cache in the engine.
std::string engine_stream_name(request_id const& request,
                               std::uint32_t attempt);

} // namespace auburnlb

#endif
