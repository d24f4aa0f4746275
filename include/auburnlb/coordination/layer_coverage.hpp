// How well the engines of a data centre cover each layer of a model.
#ifndef AUBURNLB_COORDINATION_LAYER_COVERAGE_HPP
#define AUBURNLB_COORDINATION_LAYER_COVERAGE_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "auburnlb/coordination/layer_plan.hpp"
#include "auburnlb/coordination/replica_split.hpp"

namespace auburnlb
{

/// Returns the maximum number of layers that leaves memory for the KV cache of
/// about as many tokens as in a first plan.
std::uint32_t max_layers_with_kv_space(plan_engine const& engine,
                                       model_profile const& model);

/// Returns the KV cache of an engine with this many layers, in tokens. At least
/// one, because an engine without memory for KV cache still holds its layers.
double kv_tokens_of(plan_engine const& engine, model_profile const& model,
                    std::uint32_t layers);

/// Returns the KV cache of the engines at each layer, in tokens; zero where no
/// engine holds the layer.
std::vector<double> kv_tokens_by_layer(engine_list const& engines,
                                       model_profile const& model);

/// Returns the first range of layers that no engine holds.
std::optional<layer_range> first_gap(std::vector<double> const& kv_tokens);

} // namespace auburnlb

#endif
