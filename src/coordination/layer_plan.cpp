// Complete replicas for the first plan, and incremental repairs afterwards.
#include "auburnlb/coordination/layer_plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <tuple>

namespace auburnlb
{

namespace
{

/// Minimum ratio of the memory of a replica's engines to the weights of the
/// model. The remaining memory holds the KV cache of requests.
constexpr double min_memory_factor = 1.2;

/// Maximum share of an engine's memory for weights in a repair. The remaining
/// memory holds the KV cache of about as many tokens as in a first plan.
constexpr double max_weight_share = 1 / min_memory_factor;

/// Layers whose KV caches differ by at most this factor count as similar.
constexpr double similar_kv_factor = 1.3;

/// An engine is moved only if at least this share of the scarcest layer's KV
/// cache is used.
constexpr double shortage_share = 0.8;

/// Minimum factor by which a move must raise the scarcest layer's KV cache, so
/// that engines do not move back and forth.
constexpr double min_gain = 1.3;

/// Returns the maximum number of layers that leaves memory for KV cache.
std::uint32_t max_layers_with_kv_space(plan_engine const& engine,
                                       model_profile const& model)
{
    if (model.layer_mb_ <= 0)
    {
        return model.layers_;
    }
    double const fitting = std::floor(engine.accelerator_.memory_mb_ *
                                      max_weight_share / model.layer_mb_);
    return static_cast<std::uint32_t>(
        std::clamp(fitting, 0.0, static_cast<double>(model.layers_)));
}

double weights_mb(model_profile const& model)
{
    return model.layer_mb_ * static_cast<double>(model.layers_);
}

using engine_list = std::vector<plan_engine const*>;

double memory_of(engine_list const& engines)
{
    return std::accumulate(engines.begin(), engines.end(), 0.0,
                           [](double sum, plan_engine const* each)
                           { return sum + each->accelerator_.memory_mb_; });
}

/// Splits the layers over the engines in proportion to memory, so that all hold
/// the KV cache of about the same number of tokens. Returns an empty vector if
/// their memory is too small.
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

/// Splits engines, fastest first, into groups that can each hold a replica and
/// KV cache for requests.
std::vector<engine_list> group_replicas(engine_list engines,
                                        model_profile const& model)
{
    std::sort(engines.begin(), engines.end(),
              [](plan_engine const* left, plan_engine const* right)
              {
                  return std::tie(left->accelerator_.step_factor_, left->id_) <
                         std::tie(right->accelerator_.step_factor_, right->id_);
              });
    double const min_memory = weights_mb(model) * min_memory_factor;
    double const total_memory = memory_of(engines);
    auto const replicas = static_cast<std::size_t>(std::max(
        1.0, std::floor(min_memory > 0 ? total_memory / min_memory : 1.0)));
    double const target_memory = std::max(
        min_memory, total_memory / static_cast<double>(replicas) * 0.98);
    std::vector<engine_list> groups(1);
    for (plan_engine const* const engine : engines)
    {
        if (groups.size() < replicas &&
            memory_of(groups.back()) >= target_memory)
        {
            groups.emplace_back();
        }
        groups.back().push_back(engine);
    }
    return groups;
}

std::vector<plan_step> first_plan(engine_list const& engines,
                                  model_profile const& model)
{
    std::vector<plan_step> steps;
    for (engine_list const& group : group_replicas(engines, model))
    {
        auto const part = split_layers(group, model);
        steps.insert(steps.end(), part.begin(), part.end());
    }
    return steps;
}

/// Returns the KV cache of a data centre's engines at each layer, in tokens;
/// zero where no engine holds the layer.
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
        std::uint32_t const count =
            engine->layers_->end_ - engine->layers_->first_;
        // At least one token, because an engine without memory for KV cache
        // still holds the layer.
        double const tokens = std::max(
            1.0, kv_capacity_tokens(model, engine->accelerator_, count));
        for (std::uint32_t layer = engine->layers_->first_;
             layer < std::min(engine->layers_->end_, model.layers_); ++layer)
        {
            kv_tokens[layer] += tokens;
        }
    }
    return kv_tokens;
}

/// Returns the KV cache of an engine with this many layers, in tokens. At least
/// one, because an engine without memory for KV cache still holds its layers.
double kv_tokens_of(plan_engine const& engine, model_profile const& model,
                    std::uint32_t layers)
{
    return std::max(1.0,
                    kv_capacity_tokens(model, engine.accelerator_, layers));
}

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

/// Returns the steps that assign engines without layers or, if there are none,
/// at most one move.
std::vector<plan_step> repair(std::vector<plan_engine> engines,
                              model_profile const& model)
{
    engine_list all;
    for (plan_engine const& each : engines)
    {
        all.push_back(&each);
    }
    std::vector<plan_step> steps = assign_empty_engines(engines, all, model);
    std::vector<double> const kv_tokens = kv_tokens_by_layer(all, model);
    // One move at a time: each reduces the KV cache until it is complete.
    if (!steps.empty() || is_moving(all) ||
        !is_short_of_kv_tokens(all, kv_tokens))
    {
        return steps;
    }
    if (plan_engine const* const engine =
            find_engine_to_move(engines, kv_tokens, model))
    {
        steps.push_back(
            {engine->id_, scarcest_range(kv_tokens, max_layers_with_kv_space(
                                                        *engine, model))});
    }
    return steps;
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

std::vector<plan_step> plan_layers(std::vector<plan_engine> const& engines,
                                   model_profile const& model)
{
    std::map<std::string, std::vector<plan_engine>> by_data_centre;
    for (plan_engine const& each : engines)
    {
        by_data_centre[each.data_centre_].push_back(each);
    }
    std::vector<plan_step> steps;
    for (auto& [name, local] : by_data_centre)
    {
        bool const is_empty =
            std::none_of(local.begin(), local.end(),
                         [](plan_engine const& each)
                         { return each.layers_ || !each.is_movable_; });
        engine_list all;
        for (plan_engine const& each : local)
        {
            all.push_back(&each);
        }
        std::vector<plan_step> part;
        if (is_empty)
        {
            part = first_plan(all, model);
        }
        if (part.empty())
        {
            sort_for_repair(local);
            part = repair(local, model);
        }
        steps.insert(steps.end(), part.begin(), part.end());
    }
    return steps;
}

} // namespace auburnlb
