// Divides the KV cache of a service among the routers by their demand, so that
// they do not learn from rejections that engines are full.
#ifndef AUBURNLB_COORDINATION_CAPACITY_SHARE_HPP
#define AUBURNLB_COORDINATION_CAPACITY_SHARE_HPP

#include <cstdint>
#include <vector>

#include "auburnlb/coordination/endpoint_directory.hpp"
#include "auburnlb/coordination/path_choice.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Moving average of the tokens that arrive in a second.
struct demand_meter
{
    double tokens_per_s_ = 0;
    /// The same average, smoothed a second time. It lags by the time constant.
    double delayed_tokens_per_s_ = 0;
    time_point updated_at_{};

    bool operator==(demand_meter const&) const = default;
};

/// Counts the tokens of a request that has arrived.
void record_demand(demand_meter& meter, double tokens, time_point now);

/// Returns the tokens that arrive in a second, as reported to other routers.
double demand_at(demand_meter const& meter, time_point now);

/// Returns the demand with about the delay that the reports of other routers
/// have. A router that compared its current demand with old ones of the others
/// would take too much in a surge, as would all others.
double delayed_demand_at(demand_meter const& meter, time_point now);

/// Demand on a service, and what its streams reserve, at this router and at all
/// others together.
struct capacity_use
{
    /// Tokens that arrive in a second.
    double own_demand_ = 0;
    double other_demand_ = 0;
    /// Tokens in the KV cache.
    double own_reserved_ = 0;
    double other_reserved_ = 0;
    /// Number of routers, including this one; positive.
    std::uint32_t routers_ = 1;

    bool operator==(capacity_use const&) const = default;
};

/// What a router knows of the KV cache of a service.
struct service_capacity
{
    double tokens_ = 0;
    capacity_use use_;

    bool operator==(service_capacity const&) const = default;
};

/// Returns how many tokens of streams the usable engines can hold together: as
/// many as those that hold the scarcest layer.
double stream_capacity(std::vector<path_engine> const& engines,
                       std::uint32_t layers);

/// Returns the capacity of the service's usable engines and what is reserved on
/// them. Reservations on other engines count as little as their capacity.
service_capacity estimate_capacity(std::vector<endpoint_ptr> const& endpoints,
                                   model_profile const& model, time_point now);

/// Returns this router's part of the demand. A router that knows of no demand
/// has the same part as all others.
double demand_ratio(capacity_use const& use);

/// Returns how many tokens the streams of this router may reserve. The limits
/// of all routers add up to the usable capacity while it is used up; a router
/// with little demand may use an equal part of what is idle.
double reservation_limit(service_capacity const& service);

/// Returns whether a new stream of this size is within the router's limit. One
/// stream at a time may always start, so that a share that is smaller than a
/// request starves none.
bool has_share_for(service_capacity const& service, double tokens);

/// Returns the reservation by which engines are compared: the mean of what is
/// known to be reserved and of what would be if all routers spread their
/// streams as this one does. Routers that compared engines by equally old loads
/// alone would all choose the same one.
double compared_reservation(double own, double total, double ratio);

} // namespace auburnlb

#endif
