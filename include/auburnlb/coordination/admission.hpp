// Admission of requests to one service at one entry host.
#ifndef AUBURNLB_COORDINATION_ADMISSION_HPP
#define AUBURNLB_COORDINATION_ADMISSION_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/refusal.hpp"
#include "auburnlb/state/service_config.hpp"

namespace auburnlb
{

/// A request that asks for admission.
struct admission_request
{
    /// Unique at this entry; names the request in later calls.
    std::uint64_t ticket_ = 0;
    std::string workspace_;
    /// Higher goes first within its workspace.
    std::int32_t priority_ = 0;
    /// Tokens that it will take: prompt tokens that are not cached, at their
    /// relative cost, and expected answer tokens.
    double token_cost_ = 1;
    time_point deadline_{};
    /// Whether a first token within the service's target is wanted. Not for
    /// requests whose caller has no person waiting.
    bool is_interactive_ = true;

    bool operator==(admission_request const&) const = default;
};

enum class admission_verdict
{
    admit,
    queue,
    refuse,
};

/// The decision on one request.
struct admission_decision
{
    std::uint64_t ticket_ = 0;
    admission_verdict verdict_ = admission_verdict::refuse;
    /// Set for a refusal.
    refusal_reason reason_ = refusal_reason::overloaded;
    /// When a new try has a prospect; zero if that is not known.
    milliseconds retry_after_{0};

    bool operator==(admission_decision const&) const = default;
};

/// Order within a workspace: priority, then deadline, then arrival.
struct queue_key
{
    std::int32_t negative_priority_ = 0;
    time_point deadline_{};
    std::uint64_t sequence_ = 0;

    bool operator==(queue_key const&) const = default;
    bool operator<(queue_key const& other) const
    {
        return std::tie(negative_priority_, deadline_, sequence_) <
               std::tie(other.negative_priority_, other.deadline_,
                        other.sequence_);
    }
};

/// A request that waits.
struct queued_request
{
    std::uint64_t ticket_ = 0;
    double token_cost_ = 1;
    /// The start after which it cannot be of use any more.
    time_point latest_start_{};

    bool operator==(queued_request const&) const = default;
};

/// One workspace at this entry.
struct workspace_admission
{
    std::uint32_t weight_ = 1;
    /// This entry's part of the limits; zero means no limit.
    double tokens_per_second_ = 0;
    std::uint32_t max_in_flight_ = 0;
    bool has_in_flight_limit_ = false;
    /// Token bucket; negative after a request that cost more than was left.
    double bucket_ = 0;
    time_point refilled_{};
    /// Invariant: at most max_in_flight_ when that is a limit, but for limits
    /// that were lowered after requests began.
    std::uint32_t in_flight_ = 0;
    /// Virtual time at which its next request starts, and at which its last
    /// one ended, in tokens for each unit of weight.
    double start_tag_ = 0;
    double finish_tag_ = 0;
    /// Whether it is in admission_state::round_, that is, has a queue.
    bool is_active_ = false;
    std::map<queue_key, queued_request> queue_;
};

/// A request in progress.
struct admitted_request
{
    std::uint32_t workspace_ = 0;
    double token_cost_ = 0;
};

/// Part of the limit by which requests of workspaces that had no more than
/// their share may exceed it. So a small workspace need not wait for a large
/// one's requests to end.
inline constexpr double limit_headroom = 0.25;

/// Limits and queues of one service at one entry. Not thread-safe.
struct admission_state
{
    milliseconds first_token_target_{940};
    milliseconds token_interval_target_{44};
    std::size_t max_queue_ = 4'096;

    std::unordered_map<std::string, std::uint32_t> index_of_;
    std::vector<workspace_admission> workspaces_;
    std::unordered_map<std::uint64_t, admitted_request> in_progress_;
    /// Start-time fair queueing: (start tag, workspace) of those with a queue.
    std::set<std::pair<double, std::uint32_t>> round_;
    /// Greatest start tag of a request that was started.
    double virtual_time_ = 0;
    /// Workspace and key of each waiting request.
    std::unordered_map<std::uint64_t, std::pair<std::uint32_t, queue_key>>
        waiting_;
    std::vector<admission_decision> pending_;
    std::uint64_t sequence_ = 0;

    /// Adaptive limit of requests in progress.
    /// Invariant: min_limit_ <= limit_ <= max_limit_.
    double limit_ = 0;
    double min_limit_ = 1;
    double max_limit_ = 0;
    /// Samples since the limit was last adapted.
    std::uint32_t samples_ = 0;
    std::uint32_t late_samples_ = 0;
    bool was_limited_ = false;
    time_point adapted_{};

    /// Moving means.
    double first_token_s_ = 0;
    double service_time_s_ = 0;
    double mean_cost_ = 0;
    /// Sum of the weights of workspaces that have a queue.
    double active_weight_ = 0;
};

/// How limits over all entries are split: this entry's place among the live.
struct entry_share
{
    std::uint32_t index_ = 0;
    std::uint32_t entries_ = 1;

    bool operator==(entry_share const&) const = default;
};

/// @param bound tokens a second of the service's maximum flow, 0 if unknown
admission_state make_admission(service_config const& config, entry_share share,
                               double bound, time_point now);

/// Takes a new configuration, number of entries or bound; keeps what runs and
/// waits.
void reconfigure(admission_state& state, service_config const& config,
                 entry_share share, double bound, time_point now);

/// Splits a limit by the demand seen at each entry: half of it equally, half
/// by demand. The parts add up to 1.
std::vector<double> split_by_demand(std::vector<double> const& demand);

/// Replaces the equal part of a workspace's limits by another fraction of the
/// limits over all entries.
void set_share(admission_state& state, workspace_limits const& limits,
               double fraction);

/// Decides on a new request. A request with the verdict queue is decided by a
/// later on_tick.
admission_decision admit(admission_state& state,
                         admission_request const& request, time_point now);

/// A request got its first token, that long after its admission.
void on_first_token(admission_state& state, nanoseconds since_admission);

/// A request got a further token, that long after the one before.
void on_token_interval(admission_state& state, nanoseconds interval);

/// An admitted request ended. Call on_tick next, to let others in.
/// @param token_cost the cost as it turned out
void on_finish(admission_state& state, std::uint64_t ticket, double token_cost,
               nanoseconds since_admission);

/// A waiting request's caller left.
void on_caller_disconnect(admission_state& state, std::uint64_t ticket);

/// Adapts the limit, and decides on waiting requests.
std::vector<admission_decision> on_tick(admission_state& state, time_point now);

} // namespace auburnlb

#endif
