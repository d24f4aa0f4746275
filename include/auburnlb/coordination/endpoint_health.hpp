// What a router has seen of an endpoint's health: failures of requests count
// more than what the endpoint says of itself.
#ifndef AUBURNLB_COORDINATION_ENDPOINT_HEALTH_HPP
#define AUBURNLB_COORDINATION_ENDPOINT_HEALTH_HPP

#include <cstdint>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// What a request showed about an endpoint.
enum class health_signal
{
    /// A complete answer, or an event of a stream.
    success,
    /// An error answer, a broken connection or a spoiled answer.
    failure,
    /// No connection came about, or it said that it does not hold the layers.
    unreachable,
    /// Work at it made no progress while it should have.
    silence,
    /// It refused a request that it did not run.
    refusal,
};

/// One endpoint's health as one router sees it.
struct endpoint_health
{
    /// Failures, each halved every failure_half_life. Invariant: not negative.
    double failures_ = 0;
    time_point updated_{};
    /// No request is sent there before this time.
    time_point avoid_until_{};
    time_point last_success_{};
    /// Times in a row that it was avoided without a success between.
    std::uint32_t avoidances_ = 0;
    /// How much slower than it should it works, by its own report.
    double slowness_ = 1;
    time_point slowness_seen_{};

    bool operator==(endpoint_health const&) const = default;
};

void record_health_signal(endpoint_health& health, health_signal evidence,
                          time_point now);

/// Takes the slowness that the endpoint reported.
void record_slowness(endpoint_health& health, double slowness, time_point now);

/// Whether requests may be sent there.
bool is_trusted(endpoint_health const& health, time_point now);

/// By how much the endpoint should seem more costly than a sound one; at least
/// 1.
double cost_factor(endpoint_health const& health, time_point now);

} // namespace auburnlb

#endif
