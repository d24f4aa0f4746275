// Health of an endpoint as observed by a router. Failed requests count more
// than the endpoint's own reports.
#ifndef AUBURNLB_COORDINATION_ENDPOINT_HEALTH_HPP
#define AUBURNLB_COORDINATION_ENDPOINT_HEALTH_HPP

#include <cstdint>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// The outcome of a request or probe with respect to an endpoint's health.
enum class health_signal
{
    /// A complete response, or an event of a stream.
    success,
    /// An error response, a broken connection or a malformed response.
    failure,
    /// The connection failed, or the endpoint reported that it does not hold
    /// the layers.
    unreachable,
    /// A request at the endpoint made no progress in the expected time.
    silence,
    /// The endpoint refused a request without running it.
    refusal,
};

/// Health of one endpoint as observed by one router.
struct endpoint_health
{
    /// Number of failures, decaying exponentially with failure_half_life.
    /// Invariant: not negative.
    double failures_ = 0;
    time_point updated_at_{};
    /// No request is sent to the endpoint before this time.
    time_point avoid_until_{};
    time_point last_success_{};
    /// Number of times the endpoint was avoided since the last success.
    std::uint32_t consecutive_avoidances_ = 0;
    /// Factor by which the endpoint is slower than expected, as it reported.
    double slowness_ = 1;
    time_point slowness_reported_at_{};

    bool operator==(endpoint_health const&) const = default;
};

/// Updates the failures and the time to avoid the endpoint.
void record_health_signal(endpoint_health& health, health_signal signal,
                          time_point now);

/// Records the slowness that the endpoint reported.
void record_slowness(endpoint_health& health, double slowness, time_point now);

/// Returns whether requests may be sent to the endpoint.
bool is_available(endpoint_health const& health, time_point now);

/// Returns the factor by which the endpoint's cost is to be multiplied when
/// endpoints are compared: 1 for a healthy endpoint, else more.
double cost_factor(endpoint_health const& health, time_point now);

} // namespace auburnlb

#endif
