// Tests of the choice of paths through the engines.
#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/path_choice.hpp"

#include "split_model.hpp"

using namespace auburnlb;
using split_model::usual_demand;

namespace
{

model_profile const model = split_model::profile();

std::vector<path_engine> planned_engines(std::string const& name = "dc-1")
{
    auto engines = split_model::data_centre(name);
    gap_history gaps;
    split_model::carry_out(engines,
                           plan_layers(engines, model, gaps, time_point{}));
    return split_model::path_engines(engines);
}

path_engine& find_engine(std::vector<path_engine>& engines,
                         std::string const& id)
{
    return *std::find_if(engines.begin(), engines.end(),
                         [&](path_engine const& each)
                         { return each.id_ == id; });
}

bool passes(path_choice const& choice, std::string const& id)
{
    auto const& parts = choice.path_.parts_;
    return std::any_of(parts.begin(), parts.end(),
                       [&](path_part const& part)
                       { return part.endpoint_id_ == id; });
}

} // namespace

TEST(path_choice, chooses_the_fast_replica_while_it_has_room)
{
    auto const choice = choose_path(planned_engines(), model, usual_demand());
    ASSERT_TRUE(choice);
    EXPECT_TRUE(is_complete_path(choice->path_, model.layers_));
    EXPECT_EQ(choice->path_.parts_.size(), 4U);
    EXPECT_TRUE(passes(*choice, "dc-1-large"));
}

// Routers with shares compare engines by another amount than the one that
// decides whether a stream fits.
TEST(path_choice, compared_reservations_steer_but_do_not_bound)
{
    auto engines = planned_engines();
    std::string const fast = "dc-1-large";
    path_engine& engine = find_engine(engines, fast);
    engine.compared_kv_reserved_ = 100 * engine.kv_capacity_;
    auto const steered = choose_path(engines, model, usual_demand());
    ASSERT_TRUE(steered);
    EXPECT_FALSE(passes(*steered, fast));
    engine.compared_kv_reserved_ = 0;
    engine.kv_reserved_ = 100 * engine.kv_capacity_;
    auto const bounded = choose_path(engines, model, usual_demand());
    ASSERT_TRUE(bounded);
    EXPECT_FALSE(passes(*bounded, fast));
}

TEST(path_choice, chooses_the_slow_replica_when_the_fast_one_is_full)
{
    auto engines = planned_engines();
    for (path_engine& each : engines)
    {
        if (each.accelerator_.step_factor_ < 10)
        {
            each.kv_reserved_ = each.kv_capacity_;
        }
    }
    auto const choice = choose_path(engines, model, usual_demand());
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->path_.parts_.size(), 8U);
    EXPECT_FALSE(passes(*choice, "dc-1-large"));
}

TEST(path_choice, replaces_a_lost_engine_by_engines_of_the_other_replica)
{
    auto engines = planned_engines();
    find_engine(engines, "dc-1-middle-1").is_usable_ = false;
    auto const choice = choose_path(engines, model, usual_demand());
    ASSERT_TRUE(choice);
    EXPECT_TRUE(is_complete_path(choice->path_, model.layers_));
    EXPECT_TRUE(passes(*choice, "dc-1-large"));
    EXPECT_FALSE(passes(*choice, "dc-1-middle-1"));
}

TEST(path_choice, chooses_another_data_centre_if_the_nearest_lacks_layers)
{
    auto engines = planned_engines("dc-1");
    auto const others = planned_engines("dc-2");
    engines.insert(engines.end(), others.begin(), others.end());
    for (path_engine& each : engines)
    {
        // All engines of the router's data centre that hold the last layers
        // are lost.
        bool const holds_last = each.layers_.end_ == model.layers_;
        each.is_usable_ = !(each.data_centre_ == "dc-1" && holds_last);
    }
    path_demand demand = usual_demand();
    demand.data_centre_ = "dc-1";
    demand.may_cross_ = false;
    auto const choice = choose_path(engines, model, demand);
    ASSERT_TRUE(choice);
    EXPECT_TRUE(is_complete_path(choice->path_, model.layers_));
    EXPECT_EQ(choice->crossings_, 0U);
    for (path_part const& part : choice->path_.parts_)
    {
        EXPECT_EQ(part.endpoint_id_.rfind("dc-2", 0), 0U);
    }
}

TEST(path_choice, first_engine_has_a_free_slot_if_possible)
{
    auto engines = planned_engines();
    for (path_engine& each : engines)
    {
        bool const is_fast = each.accelerator_.step_factor_ < 10;
        each.slots_ = 8;
        each.streams_ = is_fast ? 8 : 7;
    }
    auto const choice = choose_path(engines, model, usual_demand());
    ASSERT_TRUE(choice);
    path_engine const& first =
        find_engine(engines, choice->path_.parts_.front().endpoint_id_);
    EXPECT_LT(first.streams_, first.slots_);
    for (path_engine& each : engines)
    {
        each.streams_ = 8;
    }
    EXPECT_TRUE(choose_path(engines, model, usual_demand()));
}

TEST(path_choice, returns_nothing_if_no_engine_has_room)
{
    auto engines = planned_engines();
    for (path_engine& each : engines)
    {
        each.kv_reserved_ = each.kv_capacity_;
    }
    EXPECT_FALSE(choose_path(engines, model, usual_demand()));
}

TEST(path_choice, stays_in_the_data_centre_of_the_router)
{
    auto engines = planned_engines("dc-1");
    auto const other = planned_engines("dc-2");
    engines.insert(engines.end(), other.begin(), other.end());
    for (std::string const name : {"dc-1", "dc-2"})
    {
        auto const choice = choose_path(engines, model, usual_demand(name));
        ASSERT_TRUE(choice);
        for (path_part const& part : choice->path_.parts_)
        {
            EXPECT_TRUE(part.endpoint_id_.starts_with(name));
        }
    }
}

TEST(path_choice, crosses_between_data_centres_if_no_single_one_is_complete)
{
    auto engines = planned_engines("dc-1");
    auto const other = planned_engines("dc-2");
    engines.insert(engines.end(), other.begin(), other.end());
    for (path_engine& each : engines)
    {
        each.is_usable_ = each.is_usable_ && (each.data_centre_ == "dc-1") ==
                                                 (each.layers_.first_ < 29);
    }
    auto const choice = choose_path(engines, model, usual_demand());
    ASSERT_TRUE(choice);
    EXPECT_TRUE(is_complete_path(choice->path_, model.layers_));
}

TEST(path_choice, first_engine_is_one_of_the_allowed_engines)
{
    path_demand demand = usual_demand();
    demand.allowed_first_ids_ = {"dc-1-small-0"};
    auto const choice = choose_path(planned_engines(), model, demand);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->path_.parts_.front().endpoint_id_, "dc-1-small-0");
}

TEST(path_choice, avoids_a_slow_engine)
{
    auto engines = planned_engines();
    find_engine(engines, "dc-1-large").cost_factor_ = 12;
    auto const choice = choose_path(engines, model, usual_demand());
    ASSERT_TRUE(choice);
    EXPECT_FALSE(passes(*choice, "dc-1-large"));
}

// Guards against late streams that are cut in a stop as engines get busier.
TEST(path_choice, busy_gap_is_that_of_engines_with_full_batches)
{
    model_profile busy = model;
    busy.batch_slots_ = 192;
    busy.step_ms_per_1k_context_ = 0.01;
    auto engines = planned_engines();
    auto const idle = choose_path(engines, busy, usual_demand());
    for (path_engine& each : engines)
    {
        each.streams_ = busy.batch_slots_ - 1;
    }
    auto const full = choose_path(engines, busy, usual_demand());
    ASSERT_TRUE(idle && full);
    ASSERT_EQ(idle->path_, full->path_);
    EXPECT_GT(idle->busy_event_gap_ms_, 2 * idle->event_gap_ms_);
    EXPECT_DOUBLE_EQ(idle->busy_event_gap_ms_, full->event_gap_ms_);
    EXPECT_DOUBLE_EQ(full->busy_event_gap_ms_, full->event_gap_ms_);
    busy.prefill_tokens_per_step_ = 512;
    auto const prefilling = choose_path(engines, busy, usual_demand());
    ASSERT_TRUE(prefilling);
    EXPECT_GT(prefilling->busy_event_gap_ms_, full->event_gap_ms_);
}

RC_GTEST_PROP(path_choice, path_is_complete_and_fits_for_any_lost_engines, ())
{
    auto engines = planned_engines("dc-1");
    auto const other = planned_engines("dc-2");
    engines.insert(engines.end(), other.begin(), other.end());
    for (path_engine& each : engines)
    {
        each.is_usable_ = *rc::gen::inRange(0, 4) != 0;
        each.kv_reserved_ = each.kv_capacity_ * *rc::gen::inRange(0, 11) / 10.0;
        each.cost_factor_ = *rc::gen::inRange(1, 9);
    }
    path_demand const demand = usual_demand();
    auto const choice = choose_path(engines, model, demand);
    if (!choice)
    {
        return;
    }
    RC_ASSERT(is_complete_path(choice->path_, model.layers_));
    RC_ASSERT(choice->first_event_ms_ > 0);
    RC_ASSERT(choice->event_gap_ms_ > 0);
    RC_ASSERT(choice->busy_event_gap_ms_ >= choice->event_gap_ms_);
    for (path_part const& part : choice->path_.parts_)
    {
        path_engine const& engine = find_engine(engines, part.endpoint_id_);
        RC_ASSERT(engine.is_usable_);
        RC_ASSERT(engine.layers_.first_ <= part.layers_.first_);
        RC_ASSERT(engine.layers_.end_ >= part.layers_.end_);
        RC_ASSERT(engine.kv_reserved_ + kv_demand(demand, part.layers_) <=
                  engine.kv_capacity_ + 1);
    }
}

TEST(stream_path, rejects_gaps_overlaps_and_repeated_engines)
{
    path_part const first{"a", "1", {0, 4}};
    EXPECT_TRUE(is_complete_path({{first, {"b", "2", {4, 8}}}}, 8));
    EXPECT_FALSE(is_complete_path({{first, {"b", "2", {5, 8}}}}, 8));
    EXPECT_FALSE(is_complete_path({{first, {"b", "2", {3, 8}}}}, 8));
    EXPECT_FALSE(is_complete_path({{first, {"a", "1", {4, 8}}}}, 8));
    EXPECT_FALSE(is_complete_path({{first}}, 8));
    EXPECT_FALSE(is_complete_path({}, 8));
}
