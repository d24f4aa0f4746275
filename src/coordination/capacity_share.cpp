// Demand, capacity and the part of it that one router may reserve.
#include "auburnlb/coordination/capacity_share.hpp"

#include <algorithm>
#include <cmath>

namespace auburnlb
{

namespace
{

using seconds_as_double = std::chrono::duration<double>;

/// Time constant of the average, and of its delayed copy: longer than the age
/// of what the routers know of each other, so that a surge does not reach some
/// shares before others, and short enough that a new router soon has its own.
constexpr seconds_as_double demand_time{1.5};

/// Part of the capacity that the routers divide. The rest is for differences
/// between engines.
constexpr double usable_share = 0.9;

/// Multiple of the KV cache that streams may reserve. A reservation is for the
/// whole response, and not all responses are complete at the same time.
constexpr double reservable_share = 1.1;

/// Less than this is the rounding of sums of reservations.
constexpr double min_reservation = 1;

/// Sums of amounts beyond this are errors of the sender.
constexpr double max_amount = 1e15;

/// Returns a value that sums and quotients stay finite with.
double to_amount(double value)
{
    return value > 0 ? std::min(value, max_amount) : 0;
}

double tokens_that_fit(path_engine const& engine)
{
    if (engine.layers_.end_ <= engine.layers_.first_)
    {
        return 0;
    }
    return to_amount(
        engine.kv_capacity_ /
        static_cast<double>(engine.layers_.end_ - engine.layers_.first_));
}

demand_meter advanced(demand_meter meter, time_point now)
{
    seconds_as_double const age =
        std::max(now - meter.updated_at_, nanoseconds(0));
    double const elapsed = age / demand_time;
    double const kept = std::exp(-elapsed);
    meter.delayed_tokens_per_s_ =
        (meter.delayed_tokens_per_s_ + meter.tokens_per_s_ * elapsed) * kept;
    meter.tokens_per_s_ *= kept;
    meter.updated_at_ = std::max(meter.updated_at_, now);
    return meter;
}

} // namespace

void record_demand(demand_meter& meter, double tokens, time_point now)
{
    meter = advanced(meter, now);
    meter.tokens_per_s_ += to_amount(tokens) / demand_time.count();
}

double demand_at(demand_meter const& meter, time_point now)
{
    return advanced(meter, now).tokens_per_s_;
}

double delayed_demand_at(demand_meter const& meter, time_point now)
{
    return advanced(meter, now).delayed_tokens_per_s_;
}

double stream_capacity(std::vector<path_engine> const& engines,
                       std::uint32_t layers)
{
    std::vector<double> by_layer(layers, 0);
    for (path_engine const& engine : engines)
    {
        if (!engine.is_usable_)
        {
            continue;
        }
        double const tokens = tokens_that_fit(engine);
        std::uint32_t const end = std::min(engine.layers_.end_, layers);
        for (std::uint32_t at = engine.layers_.first_; at < end; ++at)
        {
            by_layer[at] += tokens;
        }
    }
    auto const scarcest = std::min_element(by_layer.begin(), by_layer.end());
    return scarcest == by_layer.end() ? 0 : *scarcest;
}

service_capacity estimate_capacity(std::vector<endpoint_ptr> const& endpoints,
                                   model_profile const& model, time_point now)
{
    service_capacity service;
    std::vector<path_engine> engines;
    engines.reserve(endpoints.size());
    double const layers = std::max(1.0, static_cast<double>(model.layers_));
    for (endpoint_ptr const& each : endpoints)
    {
        engines.push_back(to_path_engine(*each, model, now));
        if (engines.back().is_usable_)
        {
            service.use_.own_reserved_ += each->load_.kv_reserved_ / layers;
            service.use_.other_reserved_ +=
                each->other_routers_load_.kv_reserved_ / layers;
        }
    }
    service.tokens_ =
        stream_capacity(engines, model.layers_) * reservable_share;
    return service;
}

double demand_ratio(capacity_use const& use)
{
    double const own = to_amount(use.own_demand_);
    double const all = own + to_amount(use.other_demand_);
    return all > 0 ? own / all : 1.0 / std::max(1U, use.routers_);
}

double reservation_limit(service_capacity const& service)
{
    capacity_use const& use = service.use_;
    double const usable = to_amount(service.tokens_) * usable_share;
    double const idle = std::max(0.0, usable - to_amount(use.own_reserved_) -
                                          to_amount(use.other_reserved_));
    return std::max(usable * demand_ratio(use),
                    (to_amount(use.own_reserved_) + idle) /
                        std::max(1U, use.routers_));
}

bool has_share_for(service_capacity const& service, double tokens)
{
    double const own = service.use_.own_reserved_;
    return own < min_reservation || own + tokens <= reservation_limit(service);
}

double compared_reservation(double own, double total, double ratio)
{
    return ratio > 0 ? (own / ratio + total) / 2 : total;
}

} // namespace auburnlb
