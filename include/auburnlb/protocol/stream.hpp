// The entry's side of one streamed answer: which tokens reach the caller, when
// a stage is asked whether it lives, and when a new attempt starts.
#ifndef AUBURNLB_PROTOCOL_STREAM_HPP
#define AUBURNLB_PROTOCOL_STREAM_HPP

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Limits of one stream.
struct stream_limits
{
    /// Silence after which the stages are probed, at least.
    milliseconds silence_{250};
    /// Factor on the usual time between tokens, for slow models.
    std::uint32_t silence_factor_ = 6;
    /// Silence before the first token, on top of silence_, for each prompt
    /// token.
    microseconds prefill_{500};
    /// Answers to a probe that are late by this much count as silence.
    milliseconds probe_timeout_{250};
    /// New attempts at most.
    std::uint32_t max_attempts_ = 6;
};

/// State of one answer at its entry.
/// Invariant: tokens_ holds what the caller was sent, in order; the next token
/// delivered has index tokens_.size().
struct stream_state
{
    request_id request_;
    stream_limits limits_;
    /// Zero before the first attempt.
    std::uint32_t attempt_ = 0;
    chain_route route_;
    std::uint64_t service_version_ = 0;
    std::string prompt_;
    std::vector<std::string> tokens_;
    time_point deadline_{};
    time_point last_progress_{};
    /// Mean time between tokens of this stream, smoothed.
    nanoseconds token_interval_{0};
    /// Addresses that later attempts avoid.
    std::set<std::string> excluded_;
    /// When the stages were probed; stages that have not answered yet.
    time_point probed_at_{};
    std::set<std::string> unanswered_;
    bool is_probing_ = false;
    bool is_ended_ = false;
};

/// Hand a token to the caller.
struct deliver_token
{
    std::uint32_t index_ = 0;
    std::string text_;
    bool is_end_ = false;

    bool operator==(deliver_token const&) const = default;
};

/// Choose a chain that avoids excluded_ and call begin_attempt().
struct restart_stream
{
    retry_reason reason_ = retry_reason::stage_died;
    /// The peer that made it necessary.
    std::string peer_;

    bool operator==(restart_stream const&) const = default;
};

/// Send a hello to the stage, on its usual connection and on a new one.
struct probe_stage
{
    std::string address_;

    bool operator==(probe_stage const&) const = default;
};

/// Free the stages' memory.
struct cancel_attempt
{
    std::uint32_t attempt_ = 0;
    std::vector<std::string> addresses_;

    bool operator==(cancel_attempt const&) const = default;
};

/// Tell the caller that the answer ends here.
struct fail_stream
{
    refusal_reason reason_ = refusal_reason::stream_lost;

    bool operator==(fail_stream const&) const = default;
};

/// A frame of an older attempt, or one that was delivered already.
struct drop_frame
{
    bool operator==(drop_frame const&) const = default;
};

using stream_action = std::variant<deliver_token, restart_stream, probe_stage,
                                   cancel_attempt, fail_stream, drop_frame>;
using stream_actions = std::vector<stream_action>;

/// Starts the next attempt over a route. Gives the frame for the first stage:
/// the prompt and every token delivered so far.
step_frame begin_attempt(stream_state& state, chain_route route,
                         std::uint64_t service_version, time_point now);

stream_actions on_token(stream_state& state, token_frame const& frame,
                        time_point now);

stream_actions on_refusal(stream_state& state, step_refusal const& refusal,
                          time_point now);

/// A stage of the route is known to be gone, or to run as another incarnation.
stream_actions on_stage_lost(stream_state& state, std::string const& address,
                             retry_reason reason, time_point now);

/// A stage answered a probe.
stream_actions on_probe_reply(stream_state& state, std::string const& address,
                              incarnation_id incarnation, time_point now);

/// Checks deadline and silence. Called at least every 50 ms.
stream_actions on_tick(stream_state& state, time_point now);

/// The caller left, or no chain can be had.
stream_actions abandon(stream_state& state);

} // namespace auburnlb

#endif
