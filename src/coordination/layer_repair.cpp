// Order of the repairs, and the choice of engines for each.
#include "auburnlb/coordination/layer_repair.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "auburnlb/coordination/layer_coverage.hpp"
#include "auburnlb/coordination/layer_extension.hpp"
#include "auburnlb/coordination/replica_split.hpp"

namespace auburnlb
{

namespace
{

/// Layers whose KV caches differ by at most this factor count as similar.
constexpr double similar_kv_factor = 1.3;

/// An engine is moved only if at least this share of the scarcest layer's KV
/// cache is used.
constexpr double shortage_share = 0.8;

/// Minimum factor by which a move must raise the scarcest layer's KV cache, so
/// that engines do not move back and forth.
constexpr double min_gain = 1.3;

/// Returns a range of at most count layers around the one with the least KV
/// cache, whose KV caches are similarly small.
layer_range scarcest_range(std::vector<double> const& kv_tokens,
                           std::uint32_t count)
{
    auto const scarcest = std::min_element(kv_tokens.begin(), kv_tokens.end());
    double const limit = *scarcest * similar_kv_factor;
    auto first = static_cast<std::uint32_t>(scarcest - kv_tokens.begin());
    std::uint32_t end = first + 1;
    while (end < kv_tokens.size() && end - first < count &&
           kv_tokens[end] <= limit)
    {
        ++end;
    }
    while (first > 0 && end - first < count && kv_tokens[first - 1] <= limit)
    {
        --first;
    }
    return {first, end};
}

/// Returns the least KV cache that any of the engine's layers would have
/// without the engine, in tokens.
double least_kv_tokens_without(plan_engine const& engine,
                               std::vector<double> const& kv_tokens,
                               model_profile const& model)
{
    layer_range const layers = *engine.layers_;
    double const own = kv_tokens_of(engine, model, layers.end_ - layers.first_);
    double least = std::numeric_limits<double>::infinity();
    for (std::uint32_t layer = layers.first_;
         layer < std::min(layers.end_, model.layers_); ++layer)
    {
        least = std::min(least, kv_tokens[layer] - own);
    }
    return least;
}

/// Assigns engines without layers to the layers with the least KV cache.
std::vector<plan_step> assign_empty_engines(std::vector<plan_engine>& engines,
                                            engine_list const& all,
                                            model_profile const& model)
{
    std::vector<plan_step> steps;
    for (plan_engine& engine : engines)
    {
        std::uint32_t const count = max_layers_with_kv_space(engine, model);
        if (engine.layers_ || !engine.is_movable_ || count == 0)
        {
            continue;
        }
        engine.layers_ = scarcest_range(kv_tokens_by_layer(all, model), count);
        engine.is_movable_ = false;
        steps.push_back({engine.id_, *engine.layers_});
    }
    return steps;
}

/// Returns the engine to move to the scarcest layers, or null if no move leaves
/// min_gain times the least KV cache on the engine's present layers. Prefers
/// the engine with the fewest streams, then the one whose layers keep the most
/// KV cache.
plan_engine* find_engine_to_move(std::vector<plan_engine>& engines,
                                 std::vector<double> const& kv_tokens,
                                 model_profile const& model)
{
    double const threshold =
        *std::min_element(kv_tokens.begin(), kv_tokens.end()) * min_gain;
    plan_engine* engine_to_move = nullptr;
    std::pair<std::uint32_t, double> best;
    for (plan_engine& engine : engines)
    {
        if (!engine.layers_ || !engine.is_movable_ ||
            max_layers_with_kv_space(engine, model) == 0)
        {
            continue;
        }
        double const remaining =
            least_kv_tokens_without(engine, kv_tokens, model);
        std::pair const rank(engine.streams_, -remaining);
        if (remaining > threshold && (engine_to_move == nullptr || rank < best))
        {
            best = rank;
            engine_to_move = &engine;
        }
    }
    return engine_to_move;
}

/// Returns whether the scarcest layer is not held at all, or its KV cache is
/// nearly used up.
bool is_short_of_kv_tokens(engine_list const& engines,
                           std::vector<double> const& kv_tokens)
{
    auto const scarcest = static_cast<std::uint32_t>(
        std::min_element(kv_tokens.begin(), kv_tokens.end()) -
        kv_tokens.begin());
    if (kv_tokens[scarcest] <= 0)
    {
        return true;
    }
    double used = 0;
    for (plan_engine const* const engine : engines)
    {
        if (engine->layers_ && engine->layers_->first_ <= scarcest &&
            scarcest < engine->layers_->end_)
        {
            used += engine->used_tokens_;
        }
    }
    return used >= kv_tokens[scarcest] * shortage_share;
}

/// Returns whether an engine of the data centre is changing its layers.
bool is_moving(engine_list const& engines)
{
    return std::any_of(engines.begin(), engines.end(),
                       [](plan_engine const* each)
                       { return each->layers_ && !each->is_movable_; });
}

/// Returns the step that moves an engine to layers whose KV cache is nearly
/// used up, if there are any.
std::vector<plan_step> relieve_shortage(std::vector<plan_engine>& engines,
                                        engine_list const& all,
                                        std::vector<double> const& kv_tokens,
                                        model_profile const& model)
{
    // One move at a time: each reduces the KV cache until it is complete.
    if (is_moving(all) || !is_short_of_kv_tokens(all, kv_tokens))
    {
        return {};
    }
    plan_engine const* const engine =
        find_engine_to_move(engines, kv_tokens, model);
    if (engine == nullptr)
    {
        return {};
    }
    return {{engine->id_, scarcest_range(kv_tokens, max_layers_with_kv_space(
                                                        *engine, model))}};
}

/// Sorts engines by descending memory, so that the scarcest layers go to the
/// engines that can hold the most.
void sort_for_repair(std::vector<plan_engine>& engines)
{
    std::sort(
        engines.begin(), engines.end(),
        [](plan_engine const& left, plan_engine const& right)
        {
            return std::make_pair(-left.accelerator_.memory_mb_, left.id_) <
                   std::make_pair(-right.accelerator_.memory_mb_, right.id_);
        });
}

} // namespace

std::vector<plan_step> repair_placement(std::vector<plan_engine> engines,
                                        model_profile const& model)
{
    sort_for_repair(engines);
    engine_list const all = pointers_to(engines);
    std::vector<plan_step> steps = assign_empty_engines(engines, all, model);
    std::vector<double> const kv_tokens = kv_tokens_by_layer(all, model);
    auto const extensions = extend_over_gaps(engines, model);
    steps.insert(steps.end(), extensions.begin(), extensions.end());
    return steps.empty() ? relieve_shortage(engines, all, kv_tokens, model)
                         : steps;
}

std::vector<plan_step> split_anew(std::vector<plan_engine> const& engines,
                                  model_profile const& model)
{
    engine_list order = pointers_to(engines);
    if (!first_gap(kv_tokens_by_layer(order, model)) || is_moving(order))
    {
        return {};
    }
    std::erase_if(order,
                  [](plan_engine const* each) { return !each->layers_; });
    if (memory_of(order) < min_replica_memory_mb(model))
    {
        return {};
    }
    // In the order of their present layers, so that these overlap with the new
    // ones.
    std::stable_sort(order.begin(), order.end(),
                     [](plan_engine const* left, plan_engine const* right) {
                         return left->layers_->first_ < right->layers_->first_;
                     });
    return split_layers(order, model);
}

} // namespace auburnlb
