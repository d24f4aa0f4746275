// Extends the layer ranges of engines over layers that no responsive engine of
// the data centre holds any more, after engines have left or failed.
#ifndef AUBURNLB_COORDINATION_LAYER_EXTENSION_HPP
#define AUBURNLB_COORDINATION_LAYER_EXTENSION_HPP

#include <vector>

#include "auburnlb/coordination/layer_plan.hpp"

namespace auburnlb
{

/// Returns the steps that close the gaps in the layers of one data centre by
/// engines that hold the layers next to them. An extended engine gives up
/// nothing, so it keeps serving its present layers while it loads the others.
/// A gap that its neighbours have no memory for is left as it is, since a part
/// of it would complete no path.
std::vector<plan_step> extend_over_gaps(std::vector<plan_engine> engines,
                                        model_profile const& model);

} // namespace auburnlb

#endif
