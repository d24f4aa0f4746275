// Replicas for a first start, and small repairs afterwards.
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

/// Memory of a replica's engines over the weights of the model: the rest holds
/// the KV cache of requests.
constexpr double min_memory_factor = 1.2;

/// Part of an engine's memory that weights may take in a repair: what is left
/// holds the KV cache of about as many tokens as in a first plan.
constexpr double max_weight_share = 1 / min_memory_factor;

/// A layer has about as much room as another up to this factor.
constexpr double similar_room = 1.3;

/// Part of the weakest layers' room whose use calls for a move.
constexpr double short_share = 0.8;

/// Factor by which a move must raise the least room, so that engines do not
/// move to and fro.
constexpr double min_gain = 1.3;

/// Most layers that leave room for requests.
std::uint32_t roomy_layers(plan_engine const& engine,
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

/// Splits the layers over the engines by memory, so that all hold the KV cache
/// of equally many tokens. Nothing if their memory does not suffice.
std::vector<plan_step> split_layers(engine_list const& engines,
                                    model_profile const& model)
{
    double const memory = memory_of(engines);
    std::vector<plan_step> steps;
    double share_sum = 0;
    std::uint32_t first = 0;
    for (plan_engine const* const engine : engines)
    {
        share_sum += engine->accelerator_.memory_mb_;
        auto const wanted = static_cast<std::uint32_t>(std::lround(
            share_sum / memory * static_cast<double>(model.layers_)));
        std::uint32_t const end =
            std::min({wanted, model.layers_,
                      first + max_layers(model, engine->accelerator_)});
        if (end > first)
        {
            steps.push_back({engine->id_, {first, end}});
        }
        first = end;
    }
    return first == model.layers_ ? steps : std::vector<plan_step>();
}

/// Splits engines, the quickest first, into groups that can each hold a replica
/// with room for requests.
std::vector<engine_list> group_replicas(engine_list engines,
                                        model_profile const& model)
{
    std::sort(engines.begin(), engines.end(),
              [](plan_engine const* left, plan_engine const* right)
              {
                  return std::tie(left->accelerator_.step_factor_, left->id_) <
                         std::tie(right->accelerator_.step_factor_, right->id_);
              });
    double const least = weights_mb(model) * min_memory_factor;
    double const all = memory_of(engines);
    auto const replicas = static_cast<std::size_t>(
        std::max(1.0, std::floor(least > 0 ? all / least : 1.0)));
    double const wanted =
        std::max(least, all / static_cast<double>(replicas) * 0.98);
    std::vector<engine_list> groups(1);
    for (plan_engine const* const engine : engines)
    {
        if (groups.size() < replicas && memory_of(groups.back()) >= wanted)
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

/// KV tokens that the engines of a data centre have room for at each layer;
/// zero where no engine holds the layer.
std::vector<double> room_by_layer(engine_list const& engines,
                                  model_profile const& model)
{
    std::vector<double> room(model.layers_, 0.0);
    for (plan_engine const* const engine : engines)
    {
        if (!engine->layers_)
        {
            continue;
        }
        std::uint32_t const count =
            engine->layers_->end_ - engine->layers_->first_;
        // At least one token, since a full engine still holds the layer.
        double const tokens = std::max(
            1.0, kv_capacity_tokens(model, engine->accelerator_, count));
        for (std::uint32_t layer = engine->layers_->first_;
             layer < std::min(engine->layers_->end_, model.layers_); ++layer)
        {
            room[layer] += tokens;
        }
    }
    return room;
}

/// KV tokens of an engine that holds this many layers; at least one, since an
/// engine without room still holds its layers.
double own_room(plan_engine const& engine, model_profile const& model,
                std::uint32_t layers)
{
    return std::max(1.0,
                    kv_capacity_tokens(model, engine.accelerator_, layers));
}

/// At most count layers around the weakest one whose room is about as small.
layer_range weakest_range(std::vector<double> const& room, std::uint32_t count)
{
    auto const weakest = std::min_element(room.begin(), room.end());
    double const limit = *weakest * similar_room;
    auto first = static_cast<std::uint32_t>(weakest - room.begin());
    std::uint32_t end = first + 1;
    while (end < room.size() && end - first < count && room[end] <= limit)
    {
        ++end;
    }
    while (first > 0 && end - first < count && room[first - 1] <= limit)
    {
        --first;
    }
    return {first, end};
}

/// The least room that the engine's layers would have without it.
double room_without(plan_engine const& engine, std::vector<double> const& room,
                    model_profile const& model)
{
    layer_range const layers = *engine.layers_;
    double const own = own_room(engine, model, layers.end_ - layers.first_);
    double least = std::numeric_limits<double>::infinity();
    for (std::uint32_t layer = layers.first_;
         layer < std::min(layers.end_, model.layers_); ++layer)
    {
        least = std::min(least, room[layer] - own);
    }
    return least;
}

/// Gives engines that hold nothing the layers that are held least.
std::vector<plan_step> fill_with_empty(std::vector<plan_engine>& engines,
                                       engine_list const& all,
                                       model_profile const& model)
{
    std::vector<plan_step> steps;
    for (plan_engine& engine : engines)
    {
        std::uint32_t const count = roomy_layers(engine, model);
        if (engine.layers_ || !engine.is_movable_ || count == 0)
        {
            continue;
        }
        engine.layers_ = weakest_range(room_by_layer(all, model), count);
        engine.is_movable_ = false;
        steps.push_back({engine.id_, *engine.layers_});
    }
    return steps;
}

/// The engine whose move to the weakest layers raises the least room enough:
/// the one with the fewest streams, then the one that leaves most. Null if none
/// does.
plan_engine* find_mover(std::vector<plan_engine>& engines,
                        std::vector<double> const& room,
                        model_profile const& model)
{
    double const least = *std::min_element(room.begin(), room.end()) * min_gain;
    plan_engine* mover = nullptr;
    std::pair<std::uint32_t, double> best;
    for (plan_engine& engine : engines)
    {
        if (!engine.layers_ || !engine.is_movable_ ||
            roomy_layers(engine, model) == 0)
        {
            continue;
        }
        double const left = room_without(engine, room, model);
        std::pair const rank(engine.streams_, -left);
        if (left > least && (mover == nullptr || rank < best))
        {
            best = rank;
            mover = &engine;
        }
    }
    return mover;
}

/// Whether streams are kept waiting by the weakest layers.
bool is_short_of_room(engine_list const& engines,
                      std::vector<double> const& room)
{
    auto const weakest = static_cast<std::uint32_t>(
        std::min_element(room.begin(), room.end()) - room.begin());
    if (room[weakest] <= 0)
    {
        return true;
    }
    double used = 0;
    for (plan_engine const* const engine : engines)
    {
        if (engine->layers_ && engine->layers_->first_ <= weakest &&
            weakest < engine->layers_->end_)
        {
            used += engine->used_tokens_;
        }
    }
    return used >= room[weakest] * short_share;
}

/// Whether an engine of the data centre is changing its layers.
bool is_moving(engine_list const& engines)
{
    return std::any_of(engines.begin(), engines.end(),
                       [](plan_engine const* each)
                       { return each->layers_ && !each->is_movable_; });
}

/// Fills what is missing, one step for each engine.
std::vector<plan_step> repair(std::vector<plan_engine> engines,
                              model_profile const& model)
{
    engine_list all;
    for (plan_engine const& each : engines)
    {
        all.push_back(&each);
    }
    std::vector<plan_step> steps = fill_with_empty(engines, all, model);
    std::vector<double> const room = room_by_layer(all, model);
    // One move at a time: each takes room away until it is done.
    if (!steps.empty() || is_moving(all) || !is_short_of_room(all, room))
    {
        return steps;
    }
    if (plan_engine const* const mover = find_mover(engines, room, model))
    {
        steps.push_back(
            {mover->id_, weakest_range(room, roomy_layers(*mover, model))});
    }
    return steps;
}

/// Largest memory first, so that what is needed most goes to who can hold most.
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
