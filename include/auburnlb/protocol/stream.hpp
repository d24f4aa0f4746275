// The entry's state machine for one streamed response.
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
    /// Minimum time without progress after which the stages are probed.
    milliseconds silence_{250};
    /// Multiple of the mean time between tokens after which the stages are
    /// probed if that is longer than silence_, as for slow models.
    std::uint32_t silence_factor_ = 6;
    /// Added to that time before an attempt's first token, for each token of
    /// the prompt and of the response so far.
    microseconds prefill_per_token_{500};
    /// A stage that does not reply to a probe within this time counts as
    /// silent.
    milliseconds probe_timeout_{250};
    /// Maximum number of attempts, including the first.
    std::uint32_t max_attempts_ = 6;
};

/// State of one response at its entry.
/// Invariant: tokens_ holds the tokens sent to the caller, in order; the next
/// token to deliver has index tokens_.size().
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
    /// Smoothed time between tokens of the attempt; zero until measured.
    nanoseconds token_interval_{0};
    /// Addresses that later attempts avoid.
    std::set<std::string> excluded_;
    /// Time of the last probe, and the stages that have not replied to it.
    time_point probed_at_{};
    std::set<std::string> pending_probes_;
    bool is_probing_ = false;
    bool is_ended_ = false;
};

/// Send a token to the caller.
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
    /// Address of the stage that caused the restart; may be empty.
    std::string peer_;

    bool operator==(restart_stream const&) const = default;
};

/// Send a hello to the stage, on the existing connection and on a new one.
struct probe_stage
{
    std::string address_;

    bool operator==(probe_stage const&) const = default;
};

/// Cancel the attempt at its stages, which frees their memory.
struct cancel_attempt
{
    std::uint32_t attempt_ = 0;
    std::vector<std::string> addresses_;

    bool operator==(cancel_attempt const&) const = default;
};

/// End the response to the caller with an error.
struct fail_stream
{
    refusal_reason reason_ = refusal_reason::stream_lost;

    bool operator==(fail_stream const&) const = default;
};

/// Ignore a frame of an older attempt or of a token already delivered.
struct drop_frame
{
    bool operator==(drop_frame const&) const = default;
};

using stream_action = std::variant<deliver_token, restart_stream, probe_stage,
                                   cancel_attempt, fail_stream, drop_frame>;
using stream_actions = std::vector<stream_action>;

/// Starts the next attempt over a route. Returns the frame for the first stage,
/// with the prompt and every token delivered so far.
step_frame begin_attempt(stream_state& state, chain_route route,
                         std::uint64_t service_version, time_point now);

stream_actions on_token(stream_state& state, token_frame const& frame,
                        time_point now);

stream_actions on_refusal(stream_state& state, step_refusal const& refusal,
                          time_point now);

/// Handles a stage that is gone or runs as another incarnation. Has no effect
/// if the stage is not on the route.
stream_actions on_stage_lost(stream_state& state, std::string const& address,
                             retry_reason reason, time_point now);

/// Handles a stage's reply to a probe.
stream_actions on_probe_reply(stream_state& state, std::string const& address,
                              incarnation_id incarnation, time_point now);

/// Checks the deadline and the time without progress. Must be called at least
/// every 50 ms.
stream_actions on_tick(stream_state& state, time_point now);

/// Ends the stream after the caller left or if no chain is available.
stream_actions abandon(stream_state& state);

} // namespace auburnlb

#endif
