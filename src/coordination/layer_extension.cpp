// Assignment of missing layers to the engines that hold adjacent ones.
#include "auburnlb/coordination/layer_extension.hpp"

#include <algorithm>

#include "auburnlb/coordination/layer_coverage.hpp"

namespace auburnlb
{

namespace
{

/// KV cache is reserved for whole responses; of all the requests in progress
/// together, about this share of it is filled. An engine that lacked memory for
/// that much would cut streams off.
constexpr double mean_filled_share = 0.7;

std::uint32_t layer_count(layer_range const& layers)
{
    return layers.end_ - layers.first_;
}

/// Returns the engine's layers with one more at the gap's edge; std::nullopt if
/// the engine does not hold the layer next to the gap.
std::optional<layer_range> extended_by_one(plan_engine const& engine,
                                           layer_range const& gap)
{
    if (!engine.layers_ || !engine.is_movable_ || engine.is_probably_lost_)
    {
        return std::nullopt;
    }
    layer_range layers = *engine.layers_;
    if (layers.end_ == gap.first_)
    {
        ++layers.end_;
        return layers;
    }
    if (layers.first_ == gap.end_)
    {
        --layers.first_;
        return layers;
    }
    return std::nullopt;
}

/// Extends the engine that would have the most free KV cache with one more
/// layer. Returns false if none has memory for it.
bool extend_one_engine(std::vector<plan_engine>& engines,
                       layer_range const& gap, model_profile const& model)
{
    plan_engine* best = nullptr;
    layer_range best_layers;
    double most_free_tokens = 0;
    for (plan_engine& engine : engines)
    {
        auto const layers = extended_by_one(engine, gap);
        if (!layers ||
            layer_count(*layers) > max_layers_with_kv_space(engine, model))
        {
            continue;
        }
        double const free_tokens =
            kv_tokens_of(engine, model, layer_count(*layers)) -
            engine.used_tokens_ * mean_filled_share;
        if (free_tokens > most_free_tokens)
        {
            best = &engine;
            best_layers = *layers;
            most_free_tokens = free_tokens;
        }
    }
    if (best == nullptr)
    {
        return false;
    }
    best->layers_ = best_layers;
    return true;
}

std::vector<plan_step> changed_engines(std::vector<plan_engine> const& before,
                                       std::vector<plan_engine> const& after)
{
    std::vector<plan_step> steps;
    for (std::size_t index = 0; index < before.size(); ++index)
    {
        if (after[index].layers_ != before[index].layers_)
        {
            steps.push_back({after[index].id_, *after[index].layers_});
        }
    }
    return steps;
}

/// Returns the first range of layers that no responsive engine holds.
std::optional<layer_range> next_gap(std::vector<plan_engine> const& engines,
                                    model_profile const& model)
{
    engine_list responsive = pointers_to(engines);
    std::erase_if(responsive, [](plan_engine const* each)
                  { return each->is_probably_lost_; });
    return first_gap(kv_tokens_by_layer(responsive, model));
}

} // namespace

std::vector<plan_step> extend_over_gaps(std::vector<plan_engine> engines,
                                        model_profile const& model)
{
    std::vector<plan_engine> const before = engines;
    while (auto const gap = next_gap(engines, model))
    {
        if (!extend_one_engine(engines, *gap, model))
        {
            return {};
        }
    }
    return changed_engines(before, engines);
}

} // namespace auburnlb
