// Paces the attempts at stages that failed or refused an attempt.
#ifndef AUBURNLB_COORDINATION_STAGE_BACKOFF_HPP
#define AUBURNLB_COORDINATION_STAGE_BACKOFF_HPP

#include <map>
#include <set>
#include <string>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Why a stage gave up an attempt.
enum class stage_failure
{
    /// The engine did not answer or reported a failure.
    engine_failed,
    /// The engine had no memory left and did not run the step.
    engine_full,
};

struct stage_backoff_limits
{
    /// Time without attempts after the first failure. Doubles with each further
    /// one, up to the maximum.
    milliseconds min_wait_{100};
    milliseconds max_wait_{1'000};
    /// Least time between attempts at an engine that was full.
    milliseconds full_wait_{10};
    /// A stage without a failure for this long is paced no more.
    milliseconds memory_{5'000};
};

/// A stage that failed and whose attempts are paced.
struct resting_stage
{
    stage_failure failure_ = stage_failure::engine_failed;
    time_point failed_at_{};
    milliseconds wait_{0};
    /// When the latest attempt that made progress began.
    time_point progressed_at_{};
    time_point next_attempt_at_{};
};

/// Shared by all requests of an entry, so that each of them does not have to
/// spend retries to find out the same.
struct stage_backoff
{
    stage_backoff_limits limits_;
    std::map<std::string, resting_stage> stages_;
};

/// Records that a stage gave up an attempt. Attempts that began before the
/// stage's last failure are part of that failure.
void on_stage_failure(stage_backoff& backoff, std::string const& address,
                      stage_failure failure, time_point begun_at,
                      time_point now);

/// Records that an attempt begins at a stage. Until it shows progress, further
/// attempts follow one at a time.
void on_stage_attempt(stage_backoff& backoff, std::string const& address,
                      time_point now);

/// Records progress of an attempt through a stage. An engine that failed works
/// again. An engine that was full takes further attempts at shorter intervals;
/// attempts that hold their memory already show nothing.
void on_stage_progress(stage_backoff& backoff, std::string const& address,
                       time_point begun_at);

/// Forgets stages without a recent failure. Must be called now and then.
void forget_recovered_stages(stage_backoff& backoff, time_point now);

/// Forgets a stage whose state the entry learns otherwise.
void forget_stage(stage_backoff& backoff, std::string const& address);

/// Returns the stages that are not to be tried yet.
std::set<std::string> resting_stages(stage_backoff const& backoff,
                                     time_point now);

} // namespace auburnlb

#endif
