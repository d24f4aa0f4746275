// What the components of a router know together.
#include "auburnlb/router/router_core.hpp"

namespace auburnlb
{

namespace
{

/// How long an estimate of a service's capacity is used. It is asked for at
/// each attempt to start a request; the endpoints' loads are older than this.
constexpr milliseconds estimate_lifetime{50};

} // namespace

void set_demand(router_core const& core, std::string const& service_name,
                capacity_use& use, time_point now)
{
    if (auto const own = core.services_.find(service_name);
        own != core.services_.end())
    {
        use.own_demand_ = delayed_demand_at(own->second.demand_, now);
    }
    if (auto const others = core.other_routers_demands_.find(service_name);
        others != core.other_routers_demands_.end())
    {
        use.other_demand_ = others->second;
    }
    use.routers_ = core.live_router_count_;
}

service_capacity known_capacity(router_core const& core,
                                std::string const& service_name,
                                model_profile const& model, time_point now)
{
    service_capacity service = estimate_capacity(
        endpoints_of(core.directory_, service_name), model, now);
    set_demand(core, service_name, service.use_, now);
    return service;
}

service_capacity const& recent_capacity(router_core& core,
                                        std::string const& service_name,
                                        model_profile const& model,
                                        time_point now)
{
    service_runtime& runtime = core.services_[service_name];
    if (!runtime.capacity_estimated_at_ ||
        now - *runtime.capacity_estimated_at_ >= estimate_lifetime)
    {
        runtime.capacity_estimated_at_ = now;
        runtime.capacity_ = known_capacity(core, service_name, model, now);
    }
    return runtime.capacity_;
}

retry_window& retries_of(router_core& core, std::string const& service_name)
{
    retry_window& window = core.services_[service_name].retries_;
    window.began_ = core.started_at_;
    window.inherited_ = inherited_retries(core.earlier_retries_, service_name);
    return window;
}

void count_learned_crashes(router_core& core, char const* source,
                           std::size_t crashes)
{
    if (crashes > 0)
    {
        core.metrics_.add("auburnlb_router_crashes_learned_total",
                          std::string("source=\"") + source + "\"",
                          static_cast<double>(crashes));
    }
}

} // namespace auburnlb
