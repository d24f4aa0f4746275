// What a caller of a plain service is told, and when a call is sent again.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "auburnlb/protocol/call.hpp"

using namespace auburnlb;

namespace
{

time_point const start{};

call_state make_call(call_kind kind)
{
    call_state state;
    state.kind_ = kind;
    state.deadline_ = start + seconds(10);
    return state;
}

call_reply make_refusal(refusal_reason reason, run_state ran)
{
    call_reply reply;
    reply.reason_ = reason;
    reply.run_state_ = ran;
    return reply;
}

bool is_route(call_actions const& actions)
{
    return actions.size() == 1 &&
           std::holds_alternative<route_call>(actions.front());
}

fail_call failure_of(call_actions const& actions)
{
    return std::get<fail_call>(actions.at(0));
}

} // namespace

TEST(call, rules_decide_by_first_match_and_default_to_non_idempotent)
{
    service_config config;
    config.operations_ = {{"GET", "/orders", true, false},
                          {"POST", "/advances", false, true}};
    EXPECT_EQ(classify_call(config, "GET", "/orders/7", false),
              call_kind::idempotent);
    EXPECT_EQ(classify_call(config, "DELETE", "/orders/7", false),
              call_kind::unkeyed);
    EXPECT_EQ(classify_call(config, "POST", "/advances", true),
              call_kind::keyed);
    EXPECT_TRUE(is_key_missing(config, "POST", "/advances", false));
    EXPECT_FALSE(is_key_missing(config, "POST", "/pickups", false));
}

TEST(call, an_unkeyed_call_is_sent_again_only_when_it_provably_did_not_run)
{
    call_state state = make_call(call_kind::unkeyed);
    EXPECT_TRUE(is_route(on_call_not_sent(state, "a", start)));
    on_call_sent(state, "b", 1);
    EXPECT_TRUE(is_route(on_call_reply(
        state,
        make_refusal(refusal_reason::endpoint_leaving, run_state::not_run),
        start)));
    EXPECT_EQ(state.excluded_, (std::set<std::string>{"a", "b"}));
    on_call_sent(state, "c", 1);
    EXPECT_EQ(
        failure_of(on_call_peer_lost(state, "c", 1, start)),
        (fail_call{refusal_reason::call_outcome_unknown, run_state::unknown}));
}

TEST(call, an_idempotent_call_goes_on_elsewhere_when_its_peer_is_lost)
{
    call_state state = make_call(call_kind::idempotent);
    on_call_sent(state, "a", 1);
    EXPECT_TRUE(on_call_peer_lost(state, "a", 2, start).empty());
    EXPECT_TRUE(is_route(on_call_peer_lost(state, "a", 1, start)));
}

TEST(call, a_keyed_call_asks_again_until_its_deadline)
{
    call_state state = make_call(call_kind::keyed);
    on_call_sent(state, "a", 1);
    EXPECT_TRUE(on_call_peer_lost(state, "a", 1, start).empty());
    EXPECT_TRUE(on_call_tick(state, start + milliseconds(49)).empty());
    EXPECT_TRUE(is_route(on_call_tick(state, start + milliseconds(50))));
    on_call_sent(state, "b", 2);
    EXPECT_TRUE(on_call_reply(state,
                              make_refusal(refusal_reason::key_outcome_unknown,
                                           run_state::unknown),
                              start + milliseconds(60))
                    .empty());
    EXPECT_EQ(
        failure_of(on_call_tick(state, start + seconds(10))),
        (fail_call{refusal_reason::key_outcome_unknown, run_state::unknown}));
}

TEST(call, a_keyed_call_that_never_left_is_told_not_run)
{
    call_state state = make_call(call_kind::keyed);
    on_call_not_sent(state, "a", start);
    EXPECT_EQ(failure_of(on_call_tick(state, start + seconds(10))),
              (fail_call{refusal_reason::deadline_passed, run_state::not_run}));
}

TEST(call, not_run_is_never_said_after_an_attempt_without_an_answer)
{
    EXPECT_TRUE(rc::check(
        []
        {
            auto const kind = *rc::gen::element(
                call_kind::idempotent, call_kind::unkeyed, call_kind::keyed);
            call_state state = make_call(kind);
            bool is_open_ended = false;
            bool is_waiting = false;
            auto const events =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
            time_point now = start;
            call_actions last;
            auto const take = [&last](call_actions actions)
            {
                if (!actions.empty())
                {
                    last = std::move(actions);
                }
            };
            for (int const event : events)
            {
                if (state.is_ended_)
                {
                    break;
                }
                now += milliseconds(100);
                if (event == 0 && !is_waiting)
                {
                    on_call_sent(state, "p", 1);
                    is_waiting = true;
                }
                else if (event == 1 && !is_waiting)
                {
                    take(on_call_not_sent(state, "p", now));
                }
                else if (event == 2 && is_waiting)
                {
                    is_waiting = false;
                    take(on_call_reply(
                        state,
                        make_refusal(refusal_reason::stale_incarnation,
                                     run_state::not_run),
                        now));
                }
                else if (event == 3 && is_waiting)
                {
                    is_waiting = false;
                    is_open_ended = true;
                    take(on_call_peer_lost(state, "p", 1, now));
                }
                else
                {
                    take(on_call_tick(state, now));
                }
            }
            if (!state.is_ended_)
            {
                is_open_ended = is_open_ended || is_waiting;
                take(on_call_tick(state, state.deadline_));
            }
            if (last.empty() || !std::holds_alternative<fail_call>(last[0]))
            {
                return;
            }
            bool const is_not_run =
                failure_of(last).run_state_ == run_state::not_run;
            RC_ASSERT(!(is_not_run && is_open_ended));
        }));
}
