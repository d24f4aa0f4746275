// Converts the maximum flow of each service into hops with weighted candidates.
#include "auburnlb/coordination/route_plan.hpp"

#include <algorithm>
#include <set>
#include <unordered_map>

#include <xxhash.h>

namespace auburnlb
{

namespace
{

/// A layer boundary in a data centre.
using boundary_site = std::pair<std::uint32_t, std::string>;

std::vector<layer_range>
usable_ranges(std::vector<endpoint_description> const& endpoints,
              std::uint32_t layers)
{
    std::vector<layer_range> ranges;
    for (endpoint_description const& endpoint : endpoints)
    {
        if (is_usable_stage(endpoint, layers))
        {
            ranges.push_back(endpoint.layers_);
        }
    }
    return ranges;
}

planned_endpoint make_endpoint(endpoint_description const& description,
                               double flow)
{
    std::string const& address = description.address_;
    return {description,
            XXH64(address.data(), address.size(), 0),
            flow,
            no_hop,
            {}};
}

void add_stage_endpoints(service_plan& plan,
                         std::vector<endpoint_description> const& endpoints,
                         std::set<std::uint32_t> const& viable)
{
    std::vector<double> flows(endpoints.size(), 0);
    for (flow_group const& group : plan.bound_.groups_)
    {
        for (std::size_t const index : group.endpoints_)
        {
            flows[index] = group.flow_ * rate_of(endpoints[index]) /
                           group.tokens_per_second_;
        }
    }
    for (std::size_t index = 0; index < endpoints.size(); ++index)
    {
        if (is_usable_stage(endpoints[index], plan.layers_) &&
            viable.contains(endpoints[index].layers_.end_))
        {
            plan.endpoints_.push_back(
                make_endpoint(endpoints[index], flows[index]));
        }
    }
}

/// Returns the flow that enters each data centre at each layer boundary.
std::map<boundary_site, double> sum_entering(flow_bound const& bound)
{
    std::map<boundary_site, double> sums;
    for (flow_link const& link : bound.links_)
    {
        sums[{link.layer_, link.to_}] += link.flow_;
    }
    return sums;
}

double flow_between(flow_bound const& bound, std::uint32_t layer,
                    std::string const& from, std::string const& to)
{
    auto const found = std::find_if(bound.links_.begin(), bound.links_.end(),
                                    [&](flow_link const& link) {
                                        return link.layer_ == layer &&
                                               link.from_ == from &&
                                               link.to_ == to;
                                    });
    return found == bound.links_.end() ? 0 : found->flow_;
}

planned_hop make_hop(service_plan const& plan, std::uint32_t layer,
                     std::string const& data_centre,
                     std::map<boundary_site, double> const& entering)
{
    planned_hop hop{layer, data_centre, {}};
    std::map<std::string, double> fractions;
    for (std::uint32_t index = 0; index < plan.endpoints_.size(); ++index)
    {
        planned_endpoint const& endpoint = plan.endpoints_[index];
        std::string const& centre = endpoint.description_.data_centre_;
        if (endpoint.description_.layers_.first_ != layer)
        {
            continue;
        }
        auto const [fraction, is_new] = fractions.try_emplace(centre, 1.0);
        if (is_new && layer != 0)
        {
            auto const sum = entering.find({layer, centre});
            fraction->second =
                sum == entering.end() || sum->second <= 0
                    ? 0
                    : flow_between(plan.bound_, layer, data_centre, centre) /
                          sum->second;
        }
        hop.candidates_.push_back({index, endpoint.flow_ * fraction->second});
    }
    return hop;
}

void add_hops(service_plan& plan)
{
    std::map<boundary_site, double> const entering = sum_entering(plan.bound_);
    plan.hops_.push_back(make_hop(plan, 0, {}, entering));
    std::map<boundary_site, std::uint32_t> hop_of;
    for (planned_endpoint& endpoint : plan.endpoints_)
    {
        endpoint_description const& description = endpoint.description_;
        if (description.layers_.end_ == plan.layers_)
        {
            continue;
        }
        boundary_site const key{description.layers_.end_,
                                description.data_centre_};
        auto const [hop, is_new] = hop_of.try_emplace(
            key, static_cast<std::uint32_t>(plan.hops_.size()));
        if (is_new)
        {
            plan.hops_.push_back(
                make_hop(plan, key.first, key.second, entering));
        }
        endpoint.next_hop_ = hop->second;
    }
}

void mark_degraded(service_plan& plan, link_rates const& links)
{
    std::unordered_map<std::string, std::uint32_t> index_of;
    for (std::uint32_t index = 0; index < plan.endpoints_.size(); ++index)
    {
        index_of.emplace(plan.endpoints_[index].description_.address_, index);
    }
    for (auto const& [from, to] : links.degraded_)
    {
        auto const source = index_of.find(from);
        auto const target = index_of.find(to);
        if (source != index_of.end() && target != index_of.end())
        {
            plan.endpoints_[source->second].degraded_.push_back(target->second);
        }
    }
}

void plan_model(service_plan& plan,
                std::vector<endpoint_description> const& endpoints,
                link_rates const& links)
{
    plan.bound_ = find_flow_bound(endpoints, plan.layers_, links);
    std::set<std::uint32_t> const viable = find_viable_boundaries(
        usable_ranges(endpoints, plan.layers_), plan.layers_);
    if (plan.layers_ == 0 || !viable.contains(0))
    {
        return;
    }
    add_stage_endpoints(plan, endpoints, viable);
    add_hops(plan);
    mark_degraded(plan, links);
}

void plan_plain(service_plan& plan,
                std::vector<endpoint_description> const& endpoints)
{
    planned_hop hop;
    for (endpoint_description const& endpoint : endpoints)
    {
        if (endpoint.kind_ != service_kind::plain ||
            endpoint.state_ != host_state::live)
        {
            continue;
        }
        double const rate = rate_of(endpoint);
        hop.candidates_.push_back(
            {static_cast<std::uint32_t>(plan.endpoints_.size()), rate});
        plan.endpoints_.push_back(make_endpoint(endpoint, rate));
    }
    if (!hop.candidates_.empty())
    {
        plan.hops_.push_back(std::move(hop));
    }
}

/// Incremental hash of a plan.
class plan_hash
{
public:
    void add(std::string const& text)
    {
        add(text.size());
        digest_ = XXH64(text.data(), text.size(), digest_);
    }

    template <class Value>
    void add(Value const& value)
    {
        digest_ = XXH64(&value, sizeof(value), digest_);
    }

    std::uint64_t digest() const { return digest_; }

private:
    std::uint64_t digest_ = 0;
};

std::uint64_t hash_plan(route_plan const& plan)
{
    plan_hash hash;
    for (auto const& [name, service] : plan.services_)
    {
        hash.add(name);
        hash.add(service.version_);
        for (planned_endpoint const& endpoint : service.endpoints_)
        {
            hash.add(endpoint.description_.address_);
            hash.add(endpoint.description_.incarnation_);
            hash.add(endpoint.description_.layers_.first_);
            hash.add(endpoint.description_.layers_.end_);
            hash.add(endpoint.flow_);
        }
    }
    return hash.digest();
}

/// Factor by which a rate must change. Smaller changes of a measured rate do
/// not lead to a new plan.
constexpr double significant_change_factor = 1.1;

bool is_changed(double before, double now)
{
    return now > before * significant_change_factor ||
           before > now * significant_change_factor;
}

bool is_changed(endpoint_description const& before,
                endpoint_description const& now)
{
    return before.address_ != now.address_ ||
           before.incarnation_ != now.incarnation_ ||
           before.state_ != now.state_ || before.service_ != now.service_ ||
           before.kind_ != now.kind_ || before.layers_ != now.layers_ ||
           before.data_centre_ != now.data_centre_ ||
           is_changed(rate_of(before), rate_of(now));
}

bool is_changed(link_rates const& before, link_rates const& now)
{
    return before.degraded_ != now.degraded_ ||
           !std::equal(before.between_.begin(), before.between_.end(),
                       now.between_.begin(), now.between_.end(),
                       [](auto const& left, auto const& right)
                       {
                           return left.first == right.first &&
                                  !is_changed(left.second.tokens_per_second_,
                                              right.second.tokens_per_second_);
                       });
}

} // namespace

bool needs_new_plan(plan_inputs const& planned, plan_inputs const& current)
{
    fleet_snapshot const& before = planned.fleet_;
    fleet_snapshot const& now = current.fleet_;
    bool const has_same_services =
        std::equal(before.services_.begin(), before.services_.end(),
                   now.services_.begin(), now.services_.end(),
                   [](auto const& left, auto const& right)
                   {
                       return left.first == right.first &&
                              left.second->version_ == right.second->version_;
                   });
    bool const has_same_endpoints = std::equal(
        before.endpoints_.begin(), before.endpoints_.end(),
        now.endpoints_.begin(), now.endpoints_.end(),
        [](endpoint_description const& left, endpoint_description const& right)
        { return !is_changed(left, right); });
    return !has_same_services || !has_same_endpoints ||
           is_changed(planned.links_, current.links_);
}

route_plan plan_routes(fleet_snapshot const& fleet, link_rates const& links)
{
    std::map<std::string, std::vector<endpoint_description>> by_service;
    for (endpoint_description const& endpoint : fleet.endpoints_)
    {
        by_service[endpoint.service_].push_back(endpoint);
    }
    route_plan plan;
    for (auto const& [name, config] : fleet.services_)
    {
        service_plan& service = plan.services_[name];
        service.kind_ = config->kind_;
        service.layers_ = config->layers_;
        service.version_ = config->version_;
        if (service.kind_ == service_kind::plain)
        {
            plan_plain(service, by_service[name]);
            continue;
        }
        plan_model(service, by_service[name], links);
    }
    plan.generation_ = hash_plan(plan);
    return plan;
}

} // namespace auburnlb
