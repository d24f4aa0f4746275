// This router's part of the bandwidth between data centres. All streams share
// the links, so an overload delays every stream that crosses data centres.
#ifndef AUBURNLB_COORDINATION_LINK_BUDGET_HPP
#define AUBURNLB_COORDINATION_LINK_BUDGET_HPP

#include <cstdint>

#include "auburnlb/coordination/path_choice.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/model_profile.hpp"

namespace auburnlb
{

/// A token bucket for the bits that streams send between data centres.
struct link_budget
{
    /// Bits that may be sent; negative after a stream that took more than was
    /// left. Invariant: at most the bits of link_burst.
    double bits_ = 0;
    time_point refilled_{};

    bool operator==(link_budget const&) const = default;
};

/// Returns the bits that a stream sends each time its path crosses between data
/// centres.
double crossing_bits(model_profile const& model, path_demand const& demand);

/// Refills the budget, and returns whether a path may cross now.
/// @param routers number of routers that share the links, at least 1
bool may_cross(link_budget& budget, model_profile const& model,
               std::uint32_t routers, time_point now);

/// Subtracts the bits of a path's crossings from the budget.
void consume_crossings(link_budget& budget, model_profile const& model,
                       path_demand const& demand, std::uint32_t crossings);

} // namespace auburnlb

#endif
