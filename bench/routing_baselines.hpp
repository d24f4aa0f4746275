// Simple policies that the product's choice of chains is compared with.
#ifndef AUBURNLB_BENCH_ROUTING_BASELINES_HPP
#define AUBURNLB_BENCH_ROUTING_BASELINES_HPP

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "auburnlb/coordination/route_plan.hpp"
#include "auburnlb/protocol/messages.hpp"

namespace auburnlb::baseline
{

/// Requests in progress at each address, as one decider believes.
using load_view = std::map<std::string, double>;

inline double load_at(load_view const& loads, std::string const& address)
{
    auto const found = loads.find(address);
    return found == loads.end() ? 0 : found->second;
}

inline chain_stage to_stage(endpoint_description const& endpoint)
{
    return {endpoint.address_, endpoint.incarnation_, endpoint.layers_};
}

/// Stage by stage the candidate with the fewest requests in progress.
inline std::vector<chain_stage> least_loaded(service_plan const& plan,
                                             load_view const& loads)
{
    std::vector<chain_stage> chain;
    for (std::uint32_t hop = 0; hop != no_hop;)
    {
        planned_endpoint const* best = nullptr;
        for (planned_candidate const& candidate : plan.hops_[hop].candidates_)
        {
            planned_endpoint const& endpoint =
                plan.endpoints_[candidate.endpoint_];
            if (best == nullptr ||
                load_at(loads, endpoint.description_.address_) <
                    load_at(loads, best->description_.address_))
            {
                best = &endpoint;
            }
        }
        chain.push_back(to_stage(best->description_));
        hop = best->next_hop_;
    }
    return chain;
}

/// Stage by stage the less loaded of two candidates drawn uniformly.
inline std::vector<chain_stage> random_of_two(service_plan const& plan,
                                              load_view const& loads,
                                              std::mt19937_64& random)
{
    std::vector<chain_stage> chain;
    for (std::uint32_t hop = 0; hop != no_hop;)
    {
        auto const& candidates = plan.hops_[hop].candidates_;
        auto const draw = [&]() -> planned_endpoint const&
        {
            std::size_t const index = random() % candidates.size();
            return plan.endpoints_[candidates[index].endpoint_];
        };
        planned_endpoint const& left = draw();
        planned_endpoint const& right = draw();
        planned_endpoint const& better =
            load_at(loads, left.description_.address_) <=
                    load_at(loads, right.description_.address_)
                ? left
                : right;
        chain.push_back(to_stage(better.description_));
        hop = better.next_hop_;
    }
    return chain;
}

/// Chains that are fixed once: the n-th takes the n-th candidate of each hop,
/// modulo their number. Requests take them in turn.
inline std::vector<std::vector<chain_stage>>
fixed_chains(service_plan const& plan)
{
    std::size_t count = 0;
    for (planned_hop const& hop : plan.hops_)
    {
        count = std::max(count, hop.candidates_.size());
    }
    std::vector<std::vector<chain_stage>> chains(count);
    for (std::size_t number = 0; number < count; ++number)
    {
        for (std::uint32_t hop = 0; hop != no_hop;)
        {
            auto const& candidates = plan.hops_[hop].candidates_;
            planned_endpoint const& endpoint =
                plan.endpoints_[candidates[number % candidates.size()]
                                    .endpoint_];
            chains[number].push_back(to_stage(endpoint.description_));
            hop = endpoint.next_hop_;
        }
    }
    return chains;
}

} // namespace auburnlb::baseline

#endif
