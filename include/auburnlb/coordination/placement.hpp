// Planner of moves of endpoints to other layers of a model.
#ifndef AUBURNLB_COORDINATION_PLACEMENT_HPP
#define AUBURNLB_COORDINATION_PLACEMENT_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/flow_bound.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/fleet.hpp"

namespace auburnlb
{

struct placement_settings
{
    /// Size of one layer's weights, in bytes.
    std::uint64_t bytes_per_layer_ = 1;
    /// Minimum relative increase of the flow that justifies a move.
    double min_gain_ = 0.05;
    /// Minimum time between two moves of an endpoint.
    seconds move_cooldown_{600};
    /// Maximum number of layers of an endpoint, by accelerator. An endpoint
    /// whose accelerator is absent does not get more layers than it holds.
    std::map<std::string, std::uint32_t> max_layers_;
};

/// State of the planner.
struct placement_state
{
    /// When each endpoint was last ordered to move, by address.
    std::map<std::string, time_point> moved_at_;

    bool operator==(placement_state const&) const = default;
};

/// One endpoint's change of layers.
struct placement_move
{
    std::string address_;
    layer_range from_;
    layer_range to_;
    /// Increase of the flow bound once the layers are loaded, in tokens per
    /// second.
    double gain_ = 0;
    /// Bytes to read from the weight store.
    std::uint64_t bytes_ = 0;

    bool operator==(placement_move const&) const = default;
};

/// Proposes the move of one endpoint that gains the most flow per byte read,
/// among those that do not lower the flow while the endpoint loads. Returns
/// std::nullopt while a moved endpoint is loading, or if no move gains enough.
/// @param endpoints the endpoints of the service; one that loads is not live
std::optional<placement_move>
propose_move(std::vector<endpoint_description> const& endpoints,
             std::uint32_t layers, link_rates const& links,
             placement_settings const& settings, placement_state const& state,
             time_point now);

/// Records that a move was ordered.
void record_move(placement_state& state, placement_move const& move,
                 time_point now);

} // namespace auburnlb

#endif
