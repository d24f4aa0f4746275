// Each guard of the stage's acceptance rule, one by one.
#include <gtest/gtest.h>

#include "auburnlb/protocol/stage.hpp"

using namespace auburnlb;

namespace
{

time_point const start{};

stage_table make_table()
{
    stage_table table;
    table.address_ = "b";
    table.incarnation_ = 20;
    table.layers_ = {2, 4};
    return table;
}

step_frame make_first_frame()
{
    step_frame frame;
    frame.request_ = {1, 1};
    frame.attempt_ = 1;
    frame.next_layer_ = 2;
    frame.inputs_ = {"in"};
    chain_route route;
    route.model_layers_ = 6;
    route.stages_ = {{"a", 10, {0, 2}}, {"b", 20, {2, 4}}, {"c", 30, {4, 6}}};
    frame.route_ = route;
    return frame;
}

step_decision verdict_on(step_frame const& frame)
{
    stage_table table = make_table();
    return accept_step(table, frame, start);
}

} // namespace

TEST(stage, takes_a_first_frame_pinned_to_this_incarnation)
{
    EXPECT_EQ(verdict_on(make_first_frame()), step_decision(step_accepted{}));
    step_frame frame = make_first_frame();
    frame.route_->stages_[1].incarnation_ = 19;
    EXPECT_EQ(verdict_on(frame),
              step_decision(refusal_reason::stale_incarnation));
    frame = make_first_frame();
    frame.route_.reset();
    EXPECT_EQ(verdict_on(frame),
              step_decision(refusal_reason::stale_incarnation));
}

TEST(stage, refuses_layers_that_are_not_its_own_or_not_adjacent)
{
    step_frame frame = make_first_frame();
    frame.next_layer_ = 1;
    EXPECT_EQ(verdict_on(frame), step_decision(refusal_reason::wrong_layer));
    frame = make_first_frame();
    frame.route_->stages_[1].layers_ = {2, 5};
    EXPECT_EQ(verdict_on(frame), step_decision(refusal_reason::wrong_layer));
    frame = make_first_frame();
    frame.route_->stages_[2].layers_ = {3, 6};
    EXPECT_EQ(verdict_on(frame), step_decision(refusal_reason::wrong_layer));
    frame = make_first_frame();
    frame.route_->model_layers_ = 7;
    EXPECT_EQ(verdict_on(frame), step_decision(refusal_reason::wrong_layer));
}

TEST(stage, refuses_new_work_while_leaving_but_resumes_what_it_runs)
{
    stage_table table = make_table();
    ASSERT_EQ(accept_step(table, make_first_frame(), start),
              step_decision(step_accepted{}));
    table.is_leaving_ = true;
    step_frame resumed = make_first_frame();
    resumed.attempt_ = 2;
    EXPECT_EQ(accept_step(table, resumed, start),
              step_decision(step_accepted{1U}));
    step_frame other = make_first_frame();
    other.request_ = {1, 2};
    EXPECT_EQ(accept_step(table, other, start),
              step_decision(refusal_reason::endpoint_leaving));
}

TEST(stage, a_result_of_a_replaced_attempt_goes_nowhere)
{
    stage_table table = make_table();
    step_frame const first = make_first_frame();
    accept_step(table, first, start);
    step_frame second = first;
    second.attempt_ = 2;
    accept_step(table, second, start);
    EXPECT_TRUE(forward_step(table, first, {{"out"}, false, 0}, {}).empty());
    EXPECT_EQ(forward_step(table, second, {{"out"}, false, 0}, {}).size(), 1U);
}

TEST(stage, the_last_stage_hands_its_whole_answer_to_an_adopting_entry)
{
    stage_table table = make_table();
    table.layers_ = {4, 6};
    table.address_ = "c";
    table.incarnation_ = 30;
    step_frame frame = make_first_frame();
    frame.next_layer_ = 4;
    frame.inputs_ = {"p", "a"};
    frame.route_->entry_address_ = "old";
    frame.route_->max_tokens_ = 9;
    frame.route_->delivered_ = {"x"};
    accept_step(table, frame, start);
    forward_step(table, frame, {{"y"}, false, 0}, {});
    auto const adopted = adopt_at_stage(table, {{1, 1}, "new"}, start);
    ASSERT_TRUE(adopted);
    EXPECT_EQ(adopted->tokens_, (std::vector<std::string>{"x", "y"}));
    step_frame next = frame;
    next.route_.reset();
    next.position_ = 2;
    next.inputs_ = {"b"};
    accept_step(table, next, start);
    auto const forwards = forward_step(table, next, {{"z"}, false, 0}, {});
    ASSERT_EQ(forwards.size(), 2U);
    EXPECT_EQ(forwards[1].address_, "new");
    EXPECT_FALSE(adopt_at_stage(table, {{1, 2}, "new"}, start));
}

TEST(stage, streams_of_a_lost_entry_expire)
{
    stage_table table = make_table();
    step_frame frame = make_first_frame();
    frame.route_->entry_address_ = "entry";
    accept_step(table, frame, start);
    EXPECT_TRUE(
        expire_streams(table, start, seconds(10), seconds(60), {"other"})
            .empty());
    EXPECT_EQ(expire_streams(table, start, seconds(10), seconds(60), {"entry"})
                  .size(),
              1U);
}

TEST(stage, idle_streams_and_old_tombstones_expire)
{
    stage_table table = make_table();
    accept_step(table, make_first_frame(), start);
    EXPECT_EQ(running_streams(table), 1U);
    EXPECT_TRUE(
        expire_streams(table, start + seconds(9), seconds(10), seconds(60), {})
            .empty());
    EXPECT_EQ(
        expire_streams(table, start + seconds(11), seconds(10), seconds(60), {})
            .size(),
        1U);
    EXPECT_EQ(running_streams(table), 0U);
    EXPECT_EQ(table.streams_.size(), 1U);
    expire_streams(table, start + seconds(90), seconds(10), seconds(60), {});
    EXPECT_TRUE(table.streams_.empty());
}
