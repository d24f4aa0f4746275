// Small fleets for the tests of routing.
#ifndef AUBURNLB_TEST_COORDINATION_ROUTING_FIXTURE_HPP
#define AUBURNLB_TEST_COORDINATION_ROUTING_FIXTURE_HPP

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "auburnlb/state/fleet.hpp"

namespace auburnlb::routing_fixture
{

inline endpoint_description stage(int number, layer_range layers, double rate,
                                  std::string const& data_centre = "surat")
{
    endpoint_description endpoint;
    endpoint.name_ = "engine-" + std::to_string(number);
    endpoint.address_ = "tcp://127.0.0.1:" + std::to_string(10'000 + number);
    endpoint.incarnation_ = static_cast<incarnation_id>(number) + 1;
    endpoint.data_centre_ = data_centre;
    endpoint.service_ = "kalai-writer";
    endpoint.layers_ = layers;
    endpoint.tokens_per_second_ = rate;
    return endpoint;
}

inline fleet_snapshot fleet_of(std::vector<endpoint_description> endpoints,
                               std::uint32_t layers)
{
    service_config config;
    config.name_ = "kalai-writer";
    config.layers_ = layers;
    config.version_ = 1;
    fleet_snapshot fleet;
    fleet.services_[config.name_] =
        std::make_shared<service_config const>(config);
    fleet.endpoints_ = std::move(endpoints);
    std::sort(fleet.endpoints_.begin(), fleet.endpoints_.end(),
              [](auto const& left, auto const& right)
              { return left.address_ < right.address_; });
    return fleet;
}

} // namespace auburnlb::routing_fixture

#endif
