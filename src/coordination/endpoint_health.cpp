// Decaying failure counts and the avoidance of failing endpoints.
#include "auburnlb/coordination/endpoint_health.hpp"

#include <algorithm>
#include <cmath>

namespace auburnlb
{

namespace
{

/// Short enough that a fault of a few seconds loses its effect soon after it
/// ends.
constexpr std::chrono::duration<double> failure_half_life{2.0};

/// Number of failures above which an endpoint is avoided for a time.
constexpr double max_failures = 2.5;

/// Fraction by which one success reduces the failures.
constexpr double success_reduction = 0.15;

/// Length of the first avoidance. Each further one is twice as long, up to
/// longest_avoidance.
constexpr milliseconds first_avoidance{400};
constexpr milliseconds longest_avoidance{3'200};

/// Length of the first avoidance after a refusal. It is short because a full
/// endpoint has room again soon; an endpoint that is leaving keeps refusing, so
/// its avoidances grow.
constexpr milliseconds first_refusal_avoidance{150};

/// How long a reported slowness is used.
constexpr milliseconds slowness_lifetime{4'000};

double decayed_failures(endpoint_health const& health, time_point now)
{
    std::chrono::duration<double> const age =
        std::max(now - health.updated_at_, nanoseconds(0));
    return health.failures_ * std::exp2(-(age / failure_half_life));
}

void avoid(endpoint_health& health, milliseconds first, time_point now)
{
    constexpr std::uint32_t max_doublings = 5;
    std::uint32_t const doublings =
        std::min(health.consecutive_avoidances_, max_doublings);
    milliseconds const length =
        std::min(first * (1U << doublings), longest_avoidance);
    health.avoid_until_ = std::max(health.avoid_until_, now + length);
    ++health.consecutive_avoidances_;
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

void record_health_signal(endpoint_health& health, health_signal signal,
                          time_point now)
{
    health.failures_ = decayed_failures(health, now);
    health.updated_at_ = now;
    switch (signal)
    {
    case health_signal::success:
        health.failures_ *= 1 - success_reduction;
        health.last_success_ = now;
        health.consecutive_avoidances_ = 0;
        return;
    case health_signal::failure:
        add_failure(health, now);
        return;
    case health_signal::unreachable:
    case health_signal::silence:
    case health_signal::refusal:
        // Requests that were sent together fail together, so they count only
        // once.
        if (health.avoid_until_ <= now)
        {
            avoid(health,
                  signal == health_signal::refusal ? first_refusal_avoidance
                                                   : first_avoidance,
                  now);
        }
        return;
    }
}

void record_slowness(endpoint_health& health, double slowness, time_point now)
{
    health.slowness_ = std::max(slowness, 1.0);
    health.slowness_reported_at_ = now;
}

bool is_available(endpoint_health const& health, time_point now)
{
    return now >= health.avoid_until_;
}

double cost_factor(endpoint_health const& health, time_point now)
{
    bool const is_slowness_known =
        now - health.slowness_reported_at_ < slowness_lifetime;
    double const slowness = is_slowness_known ? health.slowness_ : 1;
    return slowness * (1 + decayed_failures(health, now));
}

} // namespace auburnlb
