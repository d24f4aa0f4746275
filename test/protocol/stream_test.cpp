// Cases of the entry's decisions on one stream that histories rarely separate.
#include <gtest/gtest.h>

#include "auburnlb/protocol/stream.hpp"

using namespace auburnlb;

namespace
{

time_point const start{};

stream_state begin_stream()
{
    stream_state state;
    state.request_ = {1, 1};
    state.prompt_ = "prompt";
    state.deadline_ = start + seconds(60);
    chain_route route;
    route.stages_ = {{"a", 10, {0, 2}}, {"b", 20, {2, 4}}};
    begin_attempt(state, route, 1, start);
    return state;
}

token_frame make_token(std::uint32_t index, std::string text)
{
    token_frame token;
    token.request_ = {1, 1};
    token.attempt_ = 1;
    token.index_ = index;
    token.text_ = std::move(text);
    return token;
}

bool holds_restart(stream_actions const& actions, retry_reason reason)
{
    for (stream_action const& action : actions)
    {
        auto const* const restart = std::get_if<restart_stream>(&action);
        if (restart != nullptr && restart->reason_ == reason)
        {
            return true;
        }
    }
    return false;
}

} // namespace

TEST(stream, a_new_attempt_carries_every_token_that_was_delivered)
{
    stream_state state = begin_stream();
    on_token(state, make_token(0, "x"), start);
    on_token(state, make_token(1, "y"), start);
    EXPECT_TRUE(holds_restart(
        on_stage_lost(state, "b", retry_reason::stage_died, start),
        retry_reason::stage_died));
    step_frame const frame = begin_attempt(state, state.route_, 1, start);
    EXPECT_EQ(frame.inputs_, (std::vector<std::string>{"prompt", "x", "y"}));
    EXPECT_EQ(frame.attempt_, 2U);
    EXPECT_TRUE(state.excluded_.contains("b"));
}

TEST(stream, a_probe_answered_by_another_incarnation_restarts_at_once)
{
    stream_state state = begin_stream();
    EXPECT_TRUE(on_probe_reply(state, "a", 10, start).empty());
    EXPECT_TRUE(holds_restart(on_probe_reply(state, "a", 11, start),
                              retry_reason::stage_died));
}

TEST(stream, silence_excludes_only_stages_that_do_not_answer)
{
    stream_state state = begin_stream();
    time_point const silent = start + seconds(1);
    EXPECT_EQ(on_tick(state, silent).size(), 2U);
    on_probe_reply(state, "a", 10, silent);
    stream_actions const actions = on_tick(state, silent + seconds(1));
    EXPECT_TRUE(holds_restart(actions, retry_reason::stage_silent));
    EXPECT_EQ(state.excluded_, std::set<std::string>{"b"});
}

TEST(stream, silence_with_all_stages_alive_restarts_on_any_chain)
{
    stream_state state = begin_stream();
    time_point const silent = start + seconds(1);
    on_tick(state, silent);
    on_probe_reply(state, "a", 10, silent);
    on_probe_reply(state, "b", 20, silent);
    EXPECT_TRUE(holds_restart(on_tick(state, silent + seconds(1)),
                              retry_reason::link_degraded));
    EXPECT_TRUE(state.excluded_.empty());
}

TEST(stream, a_passed_deadline_fails_and_frees_the_stages)
{
    stream_state state = begin_stream();
    stream_actions const actions = on_tick(state, start + seconds(61));
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(std::get<fail_stream>(actions[0]).reason_,
              refusal_reason::deadline_passed);
    EXPECT_EQ(std::get<cancel_attempt>(actions[1]).addresses_,
              (std::vector<std::string>{"a", "b"}));
    EXPECT_TRUE(on_tick(state, start + seconds(62)).empty());
}
