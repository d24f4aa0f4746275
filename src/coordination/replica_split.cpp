// Split of a model's layers in proportion to memory.
#include "auburnlb/coordination/replica_split.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace auburnlb
{

engine_list pointers_to(std::vector<plan_engine> const& engines)
{
    engine_list pointers;
    pointers.reserve(engines.size());
    for (plan_engine const& each : engines)
    {
        pointers.push_back(&each);
    }
    return pointers;
}

double memory_of(engine_list const& engines)
{
    return std::accumulate(engines.begin(), engines.end(), 0.0,
                           [](double sum, plan_engine const* each)
                           { return sum + each->accelerator_.memory_mb_; });
}

double min_replica_memory_mb(model_profile const& model)
{
    return model.layer_mb_ * static_cast<double>(model.layers_) *
           min_memory_factor;
}

std::vector<plan_step> split_layers(engine_list const& engines,
                                    model_profile const& model)
{
    double const total_memory = memory_of(engines);
    std::vector<plan_step> steps;
    double memory_sum = 0;
    std::uint32_t first = 0;
    for (plan_engine const* const engine : engines)
    {
        memory_sum += engine->accelerator_.memory_mb_;
        auto const target_end = static_cast<std::uint32_t>(std::lround(
            memory_sum / total_memory * static_cast<double>(model.layers_)));
        std::uint32_t const end =
            std::min({target_end, model.layers_,
                      first + max_layers(model, engine->accelerator_)});
        if (end > first)
        {
            steps.push_back({engine->id_, {first, end}});
        }
        first = end;
    }
    return first == model.layers_ ? steps : std::vector<plan_step>();
}

} // namespace auburnlb
