// Splits the layers of a model over the engines of one replica.
#ifndef AUBURNLB_COORDINATION_REPLICA_SPLIT_HPP
#define AUBURNLB_COORDINATION_REPLICA_SPLIT_HPP

#include <vector>

#include "auburnlb/coordination/layer_plan.hpp"

namespace auburnlb
{

/// Minimum ratio of the memory of a replica's engines to the weights of the
/// model. The remaining memory holds the KV cache of requests.
inline constexpr double min_memory_factor = 1.2;

using engine_list = std::vector<plan_engine const*>;

engine_list pointers_to(std::vector<plan_engine> const& engines);

/// Returns the memory of all the engines, in MB.
double memory_of(engine_list const& engines);

/// Returns the memory that a replica needs for its weights and for the KV cache
/// of requests, in MB.
double min_replica_memory_mb(model_profile const& model);

/// Splits the layers over the engines in their order and in proportion to
/// memory, so that all hold the KV cache of about the same number of tokens.
/// Returns an empty vector if their memory is too small.
std::vector<plan_step> split_layers(engine_list const& engines,
                                    model_profile const& model);

} // namespace auburnlb

#endif
