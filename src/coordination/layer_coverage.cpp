// KV cache for each layer, and gaps in the layers.
#include "auburnlb/coordination/layer_coverage.hpp"

#include <algorithm>
#include <cmath>

namespace auburnlb
{

std::uint32_t max_layers_with_kv_space(plan_engine const& engine,
                                       model_profile const& model)
{
    if (model.layer_mb_ <= 0)
    {
        return model.layers_;
    }
    double const fitting = std::floor(engine.accelerator_.memory_mb_ /
                                      min_memory_factor / model.layer_mb_);
    return static_cast<std::uint32_t>(
        std::clamp(fitting, 0.0, static_cast<double>(model.layers_)));
}

double kv_tokens_of(plan_engine const& engine, model_profile const& model,
                    std::uint32_t layers)
{
    return std::max(1.0,
                    kv_capacity_tokens(model, engine.accelerator_, layers));
}

std::vector<double> kv_tokens_by_layer(engine_list const& engines,
                                       model_profile const& model)
{
    std::vector<double> kv_tokens(model.layers_, 0.0);
    for (plan_engine const* const engine : engines)
    {
        if (!engine->layers_)
        {
            continue;
        }
        layer_range const layers = *engine->layers_;
        double const tokens =
            kv_tokens_of(*engine, model, layers.end_ - layers.first_);
        for (std::uint32_t layer = layers.first_;
             layer < std::min(layers.end_, model.layers_); ++layer)
        {
            kv_tokens[layer] += tokens;
        }
    }
    return kv_tokens;
}

std::optional<layer_range> first_gap(std::vector<double> const& kv_tokens)
{
    auto const is_held = [](double tokens)
    {
        return tokens > 0;
    };
    auto const first =
        std::find_if_not(kv_tokens.begin(), kv_tokens.end(), is_held);
    if (first == kv_tokens.end())
    {
        return std::nullopt;
    }
    auto const end = std::find_if(first, kv_tokens.end(), is_held);
    return layer_range{static_cast<std::uint32_t>(first - kv_tokens.begin()),
                       static_cast<std::uint32_t>(end - kv_tokens.begin())};
}

} // namespace auburnlb
