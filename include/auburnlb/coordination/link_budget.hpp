// This router's part of the bandwidth between data centres, which all streams
// share: one that is overrun delays every stream that crosses.
#ifndef AUBURNLB_COORDINATION_LINK_BUDGET_HPP
#define AUBURNLB_COORDINATION_LINK_BUDGET_HPP

#include <cstdint>

#include "auburnlb/coordination/path_choice.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/model_profile.hpp"

namespace auburnlb
{

/// A token bucket over the bits that streams move between data centres.
struct link_budget
{
    /// Negative after a stream that took more than was left.
    /// Invariant: at most the bits of link_burst.
    double bits_ = 0;
    time_point refilled_{};

    bool operator==(link_budget const&) const = default;
};

/// Bits that a stream moves each time its path crosses between data centres.
double crossing_bits(model_profile const& model, path_demand const& demand);

/// Whether a path may cross now.
/// @param routers how many routers share the links, at least 1
bool may_cross(link_budget& budget, model_profile const& model,
               std::uint32_t routers, time_point now);

/// Takes the bits of a path's crossings.
void consume_crossings(link_budget& budget, model_profile const& model,
                       path_demand const& demand, std::uint32_t crossings);

} // namespace auburnlb

#endif
