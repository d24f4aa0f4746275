// Decaying counts of failures.
#include "auburnlb/coordination/endpoint_health.hpp"

#include <algorithm>
#include <cmath>

namespace auburnlb
{

namespace
{

/// A fault of a few seconds is forgotten soon after it ends.
constexpr std::chrono::duration<double> failure_half_life{2.0};

/// Failures at which an endpoint is avoided for a while.
constexpr double max_failures = 2.5;

/// What one success takes off the failures.
constexpr double success_share = 0.15;

/// First time of avoidance; it doubles up to the longest.
constexpr milliseconds first_avoidance{400};
constexpr milliseconds longest_avoidance{3'200};

/// The same after a refusal: a full endpoint has room again soon, while one
/// that is leaving goes on refusing.
constexpr milliseconds first_refusal_avoidance{150};

/// How long a reported slowness is believed.
constexpr milliseconds slowness_lifetime{4'000};

double decayed_failures(endpoint_health const& health, time_point now)
{
    std::chrono::duration<double> const age =
        std::max(now - health.updated_, nanoseconds(0));
    return health.failures_ * std::exp2(-(age / failure_half_life));
}

void avoid(endpoint_health& health, milliseconds first, time_point now)
{
    constexpr std::uint32_t most_doublings = 5;
    std::uint32_t const doublings =
        std::min(health.avoidances_, most_doublings);
    milliseconds const length =
        std::min(first * (1U << doublings), longest_avoidance);
    health.avoid_until_ = std::max(health.avoid_until_, now + length);
    ++health.avoidances_;
}

void add_failure(endpoint_health& health, time_point now)
{
    health.failures_ += 1;
    if (health.failures_ > max_failures && health.avoid_until_ <= now)
    {
        avoid(health, first_avoidance, now);
    }
}

} // namespace

void record_health_signal(endpoint_health& health, health_signal evidence,
                          time_point now)
{
    health.failures_ = decayed_failures(health, now);
    health.updated_ = now;
    switch (evidence)
    {
    case health_signal::success:
        health.failures_ *= 1 - success_share;
        health.last_success_ = now;
        health.avoidances_ = 0;
        return;
    case health_signal::failure:
        add_failure(health, now);
        return;
    case health_signal::unreachable:
    case health_signal::silence:
    case health_signal::refusal:
        // Requests that were sent together fail together; they are one sign.
        if (health.avoid_until_ <= now)
        {
            avoid(health,
                  evidence == health_signal::refusal ? first_refusal_avoidance
                                                     : first_avoidance,
                  now);
        }
        return;
    }
}

void record_slowness(endpoint_health& health, double slowness, time_point now)
{
    health.slowness_ = std::max(slowness, 1.0);
    health.slowness_seen_ = now;
}

bool is_trusted(endpoint_health const& health, time_point now)
{
    return now >= health.avoid_until_;
}

double cost_factor(endpoint_health const& health, time_point now)
{
    bool const is_slowness_known =
        now - health.slowness_seen_ < slowness_lifetime;
    double const slowness = is_slowness_known ? health.slowness_ : 1;
    return slowness * (1 + decayed_failures(health, now));
}

} // namespace auburnlb
