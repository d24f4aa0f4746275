// Admission control for the requests to one service at one entry.
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

/// A request to be admitted.
struct admission_request
{
    /// Unique at this entry; identifies the request in later calls.
    std::uint64_t ticket_ = 0;
    std::string workspace_;
    /// Higher values are served first within the workspace.
    std::int32_t priority_ = 0;
    /// Expected cost in tokens: prompt tokens that are not cached, at their
    /// relative cost, and expected output tokens.
    double token_cost_ = 1;
    time_point deadline_{};
    /// Whether the first token is wanted within the service's target. False for
    /// requests on whose response no person waits.
    bool is_interactive_ = true;

    bool operator==(admission_request const&) const = default;
};

/// The kinds of decision on a request.
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
    /// Reason of a refusal; meaningless for other verdicts.
    refusal_reason reason_ = refusal_reason::overloaded;
    /// After which time a retry may succeed; zero if that is not known.
    milliseconds retry_after_{0};

    bool operator==(admission_decision const&) const = default;
};

/// Order of requests within a workspace: priority, then deadline, then arrival.
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

/// A request that waits in a workspace's queue.
struct queued_request
{
    std::uint64_t ticket_ = 0;
    double token_cost_ = 1;
    /// The request is refused when it has not started by then.
    time_point latest_start_{};

    bool operator==(queued_request const&) const = default;
};

/// Limits, usage and queue of one workspace at this entry.
struct workspace_admission
{
    std::uint32_t weight_ = 1;
    /// This entry's share of the workspace's rate limit; zero means no limit.
    double tokens_per_second_ = 0;
    /// This entry's share of the in-flight limit, which may be zero.
    std::uint32_t max_in_flight_ = 0;
    bool has_in_flight_limit_ = false;
    /// Fill of the token bucket. Negative after a request that cost more than
    /// was left.
    double bucket_ = 0;
    time_point refilled_at_{};
    /// Invariant: at most max_in_flight_ if has_in_flight_limit_ is set, unless
    /// the limit was lowered while requests were in progress.
    std::uint32_t in_flight_ = 0;
    /// Virtual times at which the next request starts and at which the last one
    /// finished, in tokens per unit of weight.
    double start_tag_ = 0;
    double finish_tag_ = 0;
    /// Whether the workspace is in admission_state::service_order_, that is,
    /// its queue is not empty.
    bool is_active_ = false;
    std::map<queue_key, queued_request> queue_;
};

/// A request in progress.
struct admitted_request
{
    std::uint32_t workspace_ = 0;
    double token_cost_ = 0;
};

/// Fraction by which the concurrency limit may be exceeded for workspaces that
/// have not used more than their share, so that a small workspace need not wait
/// until requests of a large one end.
inline constexpr double limit_headroom = 0.25;

/// Concurrency limit, workspaces and queues of one service at one entry. Not
/// thread-safe.
struct admission_state
{
    milliseconds first_token_target_{940};
    milliseconds token_interval_target_{44};
    std::size_t max_queue_ = 4'096;

    /// Index into workspaces_ by workspace name.
    std::unordered_map<std::string, std::uint32_t> index_of_;
    std::vector<workspace_admission> workspaces_;
    /// By ticket.
    std::unordered_map<std::uint64_t, admitted_request> in_progress_;
    /// Start-time fair queueing: (start tag, workspace index) of each workspace
    /// whose queue is not empty.
    std::set<std::pair<double, std::uint32_t>> service_order_;
    /// Greatest start tag of any request started so far.
    double virtual_time_ = 0;
    /// Workspace index and queue key of each waiting request, by ticket.
    std::unordered_map<std::uint64_t, std::pair<std::uint32_t, queue_key>>
        waiting_;
    /// Decisions that the next on_tick returns.
    std::vector<admission_decision> pending_;
    /// Number of the last request that was queued.
    std::uint64_t sequence_ = 0;

    /// Adaptive limit of requests in progress.
    /// Invariant: min_limit_ <= limit_ <= max_limit_.
    double limit_ = 0;
    double min_limit_ = 1;
    double max_limit_ = 0;
    /// Samples since the limit was last adapted, and those of them that missed
    /// their target.
    std::uint32_t samples_ = 0;
    std::uint32_t late_samples_ = 0;
    /// Whether the limit held back a request since it was last adapted.
    bool was_limited_ = false;
    time_point limit_adapted_at_{};

    /// Moving averages, in seconds and tokens. Zero until the first sample.
    double first_token_s_ = 0;
    double service_time_s_ = 0;
    double mean_cost_ = 0;
    /// Sum of the weights of the workspaces in service_order_.
    double active_weight_ = 0;
};

/// This entry's index among the live entries, and their number. The limits of a
/// workspace are split among the live entries.
struct entry_share
{
    std::uint32_t index_ = 0;
    std::uint32_t entries_ = 1;

    bool operator==(entry_share const&) const = default;
};

/// Creates the state with a first configuration.
/// @param bound the service's maximum flow in tokens per second, 0 if unknown
admission_state make_admission(service_config const& config, entry_share share,
                               double bound, time_point now);

/// Applies a new configuration, share or bound. Requests in progress and queued
/// requests are kept.
void reconfigure(admission_state& state, service_config const& config,
                 entry_share share, double bound, time_point now);

/// Splits a limit by the demand at each entry: half of it equally, half in
/// proportion to demand. Returns one fraction for each entry; their sum is 1.
std::vector<double> split_by_demand(std::vector<double> const& demand);

/// Sets this entry's limits of a workspace to a fraction of the limits over all
/// entries, in place of the equal share.
void set_share(admission_state& state, workspace_limits const& limits,
               double fraction);

/// Decides on a new request. The final decision on a queued request is returned
/// by a later on_tick.
admission_decision admit(admission_state& state,
                         admission_request const& request, time_point now);

/// Records the time from a request's admission to its first token.
void on_first_token(admission_state& state, nanoseconds since_admission);

/// Records the time between two tokens of a request.
void on_token_interval(admission_state& state, nanoseconds interval);

/// Records the end of an admitted request. Call on_tick next, to admit waiting
/// requests.
/// @param token_cost the actual cost
void on_finish(admission_state& state, std::uint64_t ticket, double token_cost,
               nanoseconds since_admission);

/// Removes a waiting request whose caller has disconnected.
void on_caller_disconnect(admission_state& state, std::uint64_t ticket);

/// Adapts the limit and returns the decisions on waiting requests.
std::vector<admission_decision> on_tick(admission_state& state, time_point now);

} // namespace auburnlb

#endif
