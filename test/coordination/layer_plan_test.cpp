// Tests of the layer planner.
#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/layer_plan.hpp"

#include "split_model.hpp"

using namespace auburnlb;
using split_model::carry_out;
using split_model::data_centre;

namespace
{

model_profile const model = split_model::profile();

/// Returns how many engines hold each layer.
std::vector<int> coverage(std::vector<plan_engine> const& engines)
{
    std::vector<int> count(model.layers_, 0);
    for (plan_engine const& each : engines)
    {
        if (each.layers_)
        {
            for (auto layer = each.layers_->first_; layer < each.layers_->end_;
                 ++layer)
            {
                ++count[layer];
            }
        }
    }
    return count;
}

int min_coverage(std::vector<plan_engine> const& engines)
{
    auto const count = coverage(engines);
    return *std::min_element(count.begin(), count.end());
}

std::vector<plan_engine> make_placement()
{
    auto engines = data_centre();
    carry_out(engines, plan_layers(engines, model));
    return engines;
}

plan_engine& find_engine(std::vector<plan_engine>& engines,
                         std::string const& id)
{
    return *std::find_if(engines.begin(), engines.end(),
                         [&](plan_engine const& each)
                         { return each.id_ == id; });
}

void remove_engine(std::vector<plan_engine>& engines, std::string const& id)
{
    std::erase_if(engines,
                  [&](plan_engine const& each) { return each.id_ == id; });
}

} // namespace

TEST(layer_plan, the_first_plan_makes_complete_replicas)
{
    auto const engines = make_placement();
    EXPECT_EQ(coverage(engines), std::vector<int>(model.layers_, 2));
}

TEST(layer_plan, fast_engines_share_a_replica)
{
    auto engines = make_placement();
    std::vector<int> fast(model.layers_, 0);
    for (plan_engine const& each : engines)
    {
        if (each.accelerator_.step_factor_ < 10)
        {
            for (auto layer = each.layers_->first_; layer < each.layers_->end_;
                 ++layer)
            {
                ++fast[layer];
            }
        }
    }
    EXPECT_EQ(fast, std::vector<int>(model.layers_, 1));
}

TEST(layer_plan, a_good_placement_needs_no_steps)
{
    EXPECT_EQ(plan_layers(make_placement(), model), std::vector<plan_step>());
}

TEST(layer_plan, an_engine_that_restarts_empty_gets_its_layers_back)
{
    auto engines = make_placement();
    plan_engine& lost = find_engine(engines, "dc-1-small-3");
    layer_range const before = *lost.layers_;
    lost.layers_.reset();
    auto const steps = plan_layers(engines, model);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps.front().id_, "dc-1-small-3");
    EXPECT_EQ(steps.front().layers_, before);
}

TEST(layer_plan, no_move_after_a_loss_while_kv_cache_is_free)
{
    auto engines = make_placement();
    remove_engine(engines, "dc-1-middle-1");
    EXPECT_EQ(plan_layers(engines, model), std::vector<plan_step>());
}

TEST(layer_plan, one_idle_engine_moves_where_the_kv_cache_is_used_up)
{
    auto engines = make_placement();
    layer_range const gap = *find_engine(engines, "dc-1-middle-1").layers_;
    remove_engine(engines, "dc-1-middle-1");
    for (plan_engine& each : engines)
    {
        each.streams_ = each.id_ == "dc-1-small-0" ? 0 : 5;
        each.used_tokens_ = 40'000;
    }
    auto const steps = plan_layers(engines, model);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps.front().id_, "dc-1-small-0");
    EXPECT_GE(steps.front().layers_.first_, gap.first_);
    EXPECT_LE(steps.front().layers_.end_, gap.end_);
}

TEST(layer_plan, one_move_at_a_time)
{
    auto engines = make_placement();
    remove_engine(engines, "dc-1-middle-1");
    for (plan_engine& each : engines)
    {
        each.used_tokens_ = 40'000;
    }
    find_engine(engines, "dc-1-small-7").is_movable_ = false;
    EXPECT_EQ(plan_layers(engines, model), std::vector<plan_step>());
}

TEST(layer_plan, missing_layers_are_filled_without_demand)
{
    auto engines = data_centre();
    std::erase_if(engines, [](plan_engine const& each)
                  { return each.id_.find("small") != std::string::npos; });
    carry_out(engines, plan_layers(engines, model));
    ASSERT_EQ(min_coverage(engines), 1);
    // A spare engine holds the same layers as the first middle engine, while
    // the layers of the third one are lost.
    plan_engine spare = split_model::engine("spare", "middle");
    spare.layers_ = find_engine(engines, "dc-1-middle-0").layers_;
    engines.push_back(spare);
    remove_engine(engines, "dc-1-middle-2");
    for (int round = 0; round < 4; ++round)
    {
        carry_out(engines, plan_layers(engines, model));
    }
    EXPECT_EQ(min_coverage(engines), 1);
}

TEST(layer_plan, data_centres_are_planned_separately)
{
    auto engines = make_placement();
    auto other = data_centre("dc-2");
    engines.insert(engines.end(), other.begin(), other.end());
    auto const steps = plan_layers(engines, model);
    EXPECT_TRUE(std::all_of(steps.begin(), steps.end(),
                            [](plan_step const& step)
                            { return step.id_.starts_with("dc-2"); }));
    EXPECT_EQ(steps.size(), other.size());
}

RC_GTEST_PROP(layer_plan, plans_respect_memory_and_converge, ())
{
    std::vector<plan_engine> engines;
    auto const count = *rc::gen::inRange(1, 24);
    for (int index = 0; index < count; ++index)
    {
        auto const kind =
            *rc::gen::element<std::string>("large", "middle", "small");
        engines.push_back(split_model::engine(
            "engine-" + std::to_string(index), kind,
            *rc::gen::element<std::string>("dc-1", "dc-2")));
    }
    for (int round = 0; round < 40; ++round)
    {
        // Engines lose their layers between the plans.
        auto const lost = *rc::gen::inRange<std::size_t>(0, engines.size());
        if (round < 5)
        {
            engines[lost].layers_.reset();
        }
        auto const steps = plan_layers(engines, model);
        for (plan_step const& step : steps)
        {
            RC_ASSERT(step.layers_.first_ < step.layers_.end_);
            RC_ASSERT(step.layers_.end_ <= model.layers_);
            plan_engine const& target = find_engine(engines, step.id_);
            RC_ASSERT(step.layers_.end_ - step.layers_.first_ <=
                      max_layers(model, target.accelerator_));
        }
        if (round > 30)
        {
            RC_ASSERT(steps.empty());
        }
        carry_out(engines, steps);
    }
}
