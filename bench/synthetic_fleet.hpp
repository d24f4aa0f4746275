// Fleets of a stated size for the benches.
#ifndef AUBURNLB_BENCH_SYNTHETIC_FLEET_HPP
#define AUBURNLB_BENCH_SYNTHETIC_FLEET_HPP

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "auburnlb/coordination/flow_bound.hpp"
#include "auburnlb/state/fleet.hpp"

namespace auburnlb::synthetic
{

inline constexpr std::uint32_t stages = 4;
inline constexpr std::uint32_t layers_per_stage = 12;

inline std::string centre_name(int number)
{
    return "centre-" + std::to_string(number);
}

/// Engines of four kinds, spread over services, stages and data centres.
/// Services in the smallest fleets share too few engines for a chain each;
/// such a fleet has fewer services.
inline fleet_snapshot make_fleet(int engines, int services, int centres,
                                 int workspaces)
{
    double const kinds[] = {400, 800, 1'600, 3'200};
    fleet_snapshot fleet;
    for (int service = 0; service < services; ++service)
    {
        service_config config;
        config.name_ = "model-" + std::to_string(service);
        config.layers_ = stages * layers_per_stage;
        config.version_ = 1;
        for (int workspace = 0; workspace < workspaces; ++workspace)
        {
            workspace_limits limits;
            limits.name_ = "workspace-" + std::to_string(workspace);
            config.workspaces_.push_back(limits);
        }
        fleet.services_[config.name_] =
            std::make_shared<service_config const>(config);
    }
    for (int number = 0; number < engines; ++number)
    {
        int const service = number % services;
        int const within = number / services;
        endpoint_description endpoint;
        endpoint.name_ = "engine-" + std::to_string(number);
        endpoint.address_ = "tcp://10.0." + std::to_string(number / 250) + "." +
                            std::to_string(number % 250) + ":7000";
        endpoint.incarnation_ = static_cast<incarnation_id>(number) + 1;
        endpoint.data_centre_ = centre_name(within % centres);
        endpoint.service_ = "model-" + std::to_string(service);
        auto const stage = static_cast<std::uint32_t>(within) % stages;
        endpoint.layers_ = {stage * layers_per_stage,
                            (stage + 1) * layers_per_stage};
        endpoint.tokens_per_second_ = kinds[(within / 4 + within) % 4];
        fleet.endpoints_.push_back(std::move(endpoint));
    }
    std::sort(fleet.endpoints_.begin(), fleet.endpoints_.end(),
              [](auto const& left, auto const& right)
              { return left.address_ < right.address_; });
    return fleet;
}

/// Links whose rates differ a hundredfold.
inline link_rates make_links(int centres)
{
    link_rates links;
    for (int from = 0; from < centres; ++from)
    {
        for (int to = 0; to < centres; ++to)
        {
            if (from == to)
            {
                continue;
            }
            double const rate = (from + to) % 3 == 0 ? 100.0 : 10'000.0;
            links.between_[{centre_name(from), centre_name(to)}] = {
                rate, microseconds(500 + 100 * (from + to))};
        }
    }
    return links;
}

} // namespace auburnlb::synthetic

#endif
