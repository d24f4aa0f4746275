// Complete replicas for the first plan of each data centre.
#include "auburnlb/coordination/layer_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

#include "auburnlb/coordination/layer_coverage.hpp"
#include "auburnlb/coordination/layer_repair.hpp"
#include "auburnlb/coordination/replica_split.hpp"

namespace auburnlb
{

namespace
{

/// A replica that lacks layers for this long is split anew. Engines that
/// crashed are usually back, and lost ones replaced, before that.
constexpr milliseconds lasting_gap_time{5'000};

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
    double const min_memory = min_replica_memory_mb(model);
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

bool is_empty(std::vector<plan_engine> const& engines)
{
    return std::none_of(engines.begin(), engines.end(),
                        [](plan_engine const& each)
                        { return each.layers_ || !each.is_movable_; });
}

bool has_gap(std::vector<plan_engine> const& engines,
             model_profile const& model)
{
    return first_gap(kv_tokens_by_layer(pointers_to(engines), model))
        .has_value();
}

/// Returns the steps for the engines of one data centre.
std::vector<plan_step> plan_data_centre(std::vector<plan_engine> const& engines,
                                        model_profile const& model)
{
    if (is_empty(engines))
    {
        std::vector<plan_step> steps = first_plan(pointers_to(engines), model);
        if (!steps.empty())
        {
            return steps;
        }
    }
    return repair_placement(engines, model);
}

/// Updates since when the data centre has lacked layers. Returns whether this
/// has lasted so long that its layers should be split anew.
bool is_gap_lasting(gap_history& gaps, std::string const& data_centre,
                    bool has_gap, time_point now)
{
    if (!has_gap)
    {
        gaps.since_.erase(data_centre);
        return false;
    }
    auto const [entry, is_new] = gaps.since_.try_emplace(data_centre, now);
    return !is_new && now - entry->second >= lasting_gap_time;
}

} // namespace

std::vector<plan_step> plan_layers(std::vector<plan_engine> const& engines,
                                   model_profile const& model,
                                   gap_history& gaps, time_point now)
{
    std::map<std::string, std::vector<plan_engine>> by_data_centre;
    for (plan_engine const& each : engines)
    {
        by_data_centre[each.data_centre_].push_back(each);
    }
    // All engines load from one store, so one data centre is split at a time.
    bool may_split =
        std::all_of(engines.begin(), engines.end(),
                    [](plan_engine const& each) { return each.is_movable_; });
    std::vector<plan_step> steps;
    for (auto const& [name, local] : by_data_centre)
    {
        std::vector<plan_step> part = plan_data_centre(local, model);
        bool const is_lasting =
            is_gap_lasting(gaps, name, has_gap(local, model), now);
        if (part.empty() && is_lasting && may_split)
        {
            part = split_anew(local, model);
            may_split = part.empty();
        }
        steps.insert(steps.end(), part.begin(), part.end());
    }
    return steps;
}

} // namespace auburnlb
