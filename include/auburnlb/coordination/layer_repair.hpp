// Repairs the placement of a model's layers in one data centre after engines
// have joined, left or failed.
#ifndef AUBURNLB_COORDINATION_LAYER_REPAIR_HPP
#define AUBURNLB_COORDINATION_LAYER_REPAIR_HPP

#include <vector>

#include "auburnlb/coordination/layer_plan.hpp"

namespace auburnlb
{

/// Returns the steps that improve the placement. Engines without layers get
/// those with the least KV cache. Layers that no engine holds go to the engines
/// next to them. If nothing is missing, one engine moves to layers whose KV
/// cache is nearly used up. Returns no steps if the placement is good.
std::vector<plan_step> repair_placement(std::vector<plan_engine> engines,
                                        model_profile const& model);

/// Returns the steps that split all layers anew over the engines that hold any.
/// Each engine gives up most of its layers, so this is for gaps that nothing
/// else closes. Empty if there is no gap, or an engine is changing its layers,
/// or the memory is too small for a replica.
std::vector<plan_step> split_anew(std::vector<plan_engine> const& engines,
                                  model_profile const& model);

} // namespace auburnlb

#endif
