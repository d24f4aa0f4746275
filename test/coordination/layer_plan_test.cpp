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

/// Returns the next plan for a placement without earlier gaps.
std::vector<plan_step> plan(std::vector<plan_engine> const& engines)
{
    gap_history gaps;
    return plan_layers(engines, model, gaps, time_point{});
}

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
    carry_out(engines, plan(engines));
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

/// Engines of one data centre with memory for one replica only.
std::vector<plan_engine> make_single_replica()
{
    std::vector<plan_engine> engines{split_model::engine("large", "large")};
    for (int index = 0; index < 10; ++index)
    {
        engines.push_back(
            split_model::engine("small-" + std::to_string(index), "small"));
    }
    carry_out(engines, plan(engines));
    return engines;
}

/// Returns whether the engine still holds all its earlier layers.
bool keeps_layers(plan_engine const& before, plan_engine const& after)
{
    return after.layers_->first_ <= before.layers_->first_ &&
           after.layers_->end_ >= before.layers_->end_;
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
    EXPECT_EQ(plan(make_placement()), std::vector<plan_step>());
}

TEST(layer_plan, an_engine_that_restarts_empty_gets_its_layers_back)
{
    auto engines = make_placement();
    plan_engine& lost = find_engine(engines, "dc-1-small-3");
    layer_range const before = *lost.layers_;
    lost.layers_.reset();
    auto const steps = plan(engines);
    ASSERT_EQ(steps.size(), 1U);
    EXPECT_EQ(steps.front().id_, "dc-1-small-3");
    EXPECT_EQ(steps.front().layers_, before);
}

TEST(layer_plan, no_move_after_a_loss_while_kv_cache_is_free)
{
    auto engines = make_placement();
    remove_engine(engines, "dc-1-middle-1");
    EXPECT_EQ(plan(engines), std::vector<plan_step>());
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
    auto const steps = plan(engines);
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
    EXPECT_EQ(plan(engines), std::vector<plan_step>());
}

TEST(layer_plan, missing_layers_are_filled_without_demand)
{
    auto engines = data_centre();
    std::erase_if(engines, [](plan_engine const& each)
                  { return each.id_.find("small") != std::string::npos; });
    carry_out(engines, plan(engines));
    ASSERT_EQ(min_coverage(engines), 1);
    // A spare engine holds the same layers as the first middle engine, while
    // the layers of the third one are lost.
    plan_engine spare = split_model::engine("spare", "middle");
    spare.layers_ = find_engine(engines, "dc-1-middle-0").layers_;
    engines.push_back(spare);
    remove_engine(engines, "dc-1-middle-2");
    for (int round = 0; round < 4; ++round)
    {
        carry_out(engines, plan(engines));
    }
    EXPECT_EQ(min_coverage(engines), 1);
}

TEST(layer_plan, neighbours_take_the_layers_of_an_engine_that_leaves)
{
    auto const whole = make_single_replica();
    ASSERT_EQ(min_coverage(whole), 1);
    // The last engine has a neighbour on one side only.
    for (int lost = 0; lost < 9; ++lost)
    {
        auto engines = whole;
        remove_engine(engines, "small-" + std::to_string(lost));
        ASSERT_EQ(min_coverage(engines), 0);
        auto const before = engines;
        carry_out(engines, plan(engines));
        EXPECT_EQ(min_coverage(engines), 1) << lost;
        for (std::size_t index = 0; index < engines.size(); ++index)
        {
            EXPECT_TRUE(keeps_layers(before[index], engines[index])) << lost;
        }
    }
}

TEST(layer_plan, neighbours_are_extended_over_an_engine_that_does_not_respond)
{
    auto engines = make_single_replica();
    plan_engine& silent = find_engine(engines, "small-3");
    silent.is_probably_lost_ = true;
    layer_range const before = *silent.layers_;
    auto const steps = plan(engines);
    carry_out(engines, steps);
    EXPECT_EQ(find_engine(engines, "small-3").layers_, before);
    auto responsive = engines;
    remove_engine(responsive, "small-3");
    EXPECT_EQ(min_coverage(responsive), 1);
    EXPECT_EQ(plan(engines), std::vector<plan_step>());
}

TEST(layer_plan, neighbours_whose_kv_cache_is_in_use_are_not_extended)
{
    auto engines = make_single_replica();
    remove_engine(engines, "small-3");
    for (plan_engine& each : engines)
    {
        each.used_tokens_ =
            kv_capacity_tokens(model, each.accelerator_,
                               each.layers_->end_ - each.layers_->first_);
    }
    EXPECT_EQ(plan(engines), std::vector<plan_step>());
}

TEST(layer_plan, layers_are_split_anew_if_neighbours_cannot_take_them_for_long)
{
    using namespace std::chrono_literals;
    auto engines = make_single_replica();
    remove_engine(engines, "small-9");
    gap_history gaps;
    time_point const lost_at{};
    EXPECT_TRUE(plan_layers(engines, model, gaps, lost_at).empty());
    EXPECT_TRUE(plan_layers(engines, model, gaps, lost_at + 3s).empty());
    carry_out(engines, plan_layers(engines, model, gaps, lost_at + 6s));
    EXPECT_EQ(min_coverage(engines), 1);
    EXPECT_TRUE(plan_layers(engines, model, gaps, lost_at + 7s).empty());
}

TEST(layer_plan, layers_are_not_split_anew_while_an_engine_loads)
{
    using namespace std::chrono_literals;
    auto engines = make_single_replica();
    remove_engine(engines, "small-9");
    find_engine(engines, "small-4").is_movable_ = false;
    gap_history gaps;
    plan_layers(engines, model, gaps, time_point{});
    EXPECT_TRUE(plan_layers(engines, model, gaps, time_point{} + 9s).empty());
}

TEST(layer_plan, data_centres_are_planned_separately)
{
    auto engines = make_placement();
    auto other = data_centre("dc-2");
    engines.insert(engines.end(), other.begin(), other.end());
    auto const steps = plan(engines);
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
    gap_history gaps;
    for (int round = 0; round < 40; ++round)
    {
        // Engines lose their layers between the plans.
        auto const lost = *rc::gen::inRange<std::size_t>(0, engines.size());
        if (round < 5)
        {
            engines[lost].layers_.reset();
        }
        auto const steps = plan_layers(
            engines, model, gaps, time_point{} + std::chrono::seconds(round));
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
