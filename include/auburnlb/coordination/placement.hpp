// Proposals of which endpoint should hold which layers.
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
    /// Bytes of weights of one layer.
    std::uint64_t bytes_per_layer_ = 1;
    /// A move must raise the flow by this share at least.
    double min_gain_ = 0.05;
    /// An endpoint is not moved again within this time.
    seconds move_cooldown_{600};
    /// Layers that an endpoint can hold, by accelerator; one that is absent
    /// holds no more than it does now.
    std::map<std::string, std::uint32_t> max_layers_;
};

/// What the planner remembers.
struct placement_state
{
    /// When each endpoint was ordered to move, by address.
    std::map<std::string, time_point> moved_at_;

    bool operator==(placement_state const&) const = default;
};

/// One endpoint's change of layers.
struct placement_move
{
    std::string address_;
    layer_range from_;
    layer_range to_;
    /// Tokens a second that the bound gains once the layers are loaded.
    double gain_ = 0;
    /// Bytes to read from the weights store.
    std::uint64_t bytes_ = 0;

    bool operator==(placement_move const&) const = default;
};

/// Proposes the move of one endpoint that gains most flow for each byte read,
/// among those that do not lower the flow while the endpoint loads. Gives
/// nothing while an endpoint that was moved loads, or if no move gains enough.
/// @param endpoints those of the service; one that loads is not live
std::optional<placement_move>
propose_move(std::vector<endpoint_description> const& endpoints,
             std::uint32_t layers, link_rates const& links,
             placement_settings const& settings, placement_state const& state,
             time_point now);

/// Remembers that a move was ordered.
void record_move(placement_state& state, placement_move const& move,
                 time_point now);

} // namespace auburnlb

#endif
