// Bounds the prefill of long prompts, so that the first events of short prompts
// behind them stay within their latency targets.
#ifndef AUBURNLB_COORDINATION_PREFILL_SHARE_HPP
#define AUBURNLB_COORDINATION_PREFILL_SHARE_HPP

#include <optional>
#include <vector>

#include "auburnlb/coordination/path_choice.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/route_table.hpp"

namespace auburnlb
{

/// The kinds of prompts that a service receives at one router.
struct prompt_mix
{
    /// When the first long prompt arrived after the last short one.
    std::optional<time_point> only_long_since_;

    bool operator==(prompt_mix const&) const = default;
};

/// Latency targets that a stream is to be started for.
struct prefill_targets
{
    /// The shortest target of the service; zero if there is none.
    milliseconds shortest_{0};
    /// What is left of the request's own target. Zero or less if it is late.
    nanoseconds own_{0};
    /// Whether a long prompt is held until a path is within the bound.
    bool is_bounded_ = true;

    bool operator==(prefill_targets const&) const = default;
};

/// The result of a search for a path.
struct prefill_choice
{
    std::optional<path_choice> path_;
    bool is_long_ = false;
    /// Whether there is a path, but none that may take another long prompt.
    bool is_held_ = false;

    bool operator==(prefill_choice const&) const = default;
};

/// Returns the least latency target of the stream routes that lead to the
/// service, or zero if there are none.
milliseconds shortest_latency_target(route_table const& table,
                                     std::string const& service);

/// Returns how long the engine takes for its prefill backlog, in ms.
double backlog_ms(path_engine const& engine, model_profile const& model);

/// Returns whether the prefill of a prompt takes more than a quarter of the
/// service's shortest latency target on this path.
bool is_long_prompt(double prompt_tokens, stream_path const& path,
                    std::vector<path_engine> const& engines,
                    model_profile const& model, milliseconds shortest_target);

/// Returns whether the engine may take another long prompt: its backlog takes
/// less than half of the shortest latency target.
bool may_take_long(path_engine const& engine, model_profile const& model,
                   milliseconds shortest_target);

/// Returns whether the engines that may take another long prompt after this one
/// can run half as many usual streams as all engines, at every layer. Short
/// prompts that arrive next run there. Always true while no engine of the
/// service is over the bound, so that a service with a single path accepts long
/// prompts.
bool leaves_room_for_short(double prompt_tokens, stream_path const& path,
                           std::vector<path_engine> const& engines,
                           model_profile const& model,
                           milliseconds shortest_target);

/// Records a prompt that is to be started. A long prompt that is held may be
/// recorded again.
void record_prompt(prompt_mix& mix, bool is_long, time_point now);

/// Returns whether short prompts are to be expected. False once only long ones
/// have arrived for ten times the shortest latency target.
bool expects_short(prompt_mix const& mix, milliseconds shortest_target,
                   time_point now);

/// Returns until when a long prompt is held at most: until half of the time has
/// passed that its caller waits for a start.
time_point hold_end(time_point received, time_point latest_start);

/// Chooses the path of a stream. A long prompt gets only engines that may take
/// it, and none while it is held. A short prompt gets a path on which its first
/// event is expected within its own target rather than a cheaper one on which
/// it is not.
prefill_choice choose_bounded_path(std::vector<path_engine> const& engines,
                                   model_profile const& model,
                                   path_demand const& demand,
                                   prefill_targets const& targets);

} // namespace auburnlb

#endif
