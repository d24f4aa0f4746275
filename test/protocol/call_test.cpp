// Tests of the results that callers of plain services get, and of retries.
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

TEST(call, first_matching_rule_decides_and_default_is_non_idempotent)
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
        failure_of(
            on_call_peer_lost(state, "c", 1, retry_reason::stage_died, start)),
        (fail_call{refusal_reason::call_outcome_unknown, run_state::unknown}));
}

TEST(call, an_idempotent_call_is_retried_when_its_peer_is_lost)
{
    call_state state = make_call(call_kind::idempotent);
    on_call_sent(state, "a", 1);
    EXPECT_TRUE(
        on_call_peer_lost(state, "a", 2, retry_reason::stage_died, start)
            .empty());
    EXPECT_TRUE(is_route(
        on_call_peer_lost(state, "a", 1, retry_reason::stage_died, start)));
}

TEST(call, an_unkeyed_call_waits_for_a_silent_endpoint_to_go_on)
{
    call_state state = make_call(call_kind::unkeyed);
    on_call_sent(state, "a", 1);
    EXPECT_TRUE(
        on_call_peer_lost(state, "a", 1, retry_reason::stage_silent, start)
            .empty());
    EXPECT_TRUE(on_call_tick(state, start + seconds(2)).empty());
    EXPECT_TRUE(
        on_call_peer_answered(state, "a", 1, start + seconds(2)).empty());
    EXPECT_TRUE(on_call_tick(state, start + seconds(9)).empty());
    call_reply reply;
    reply.status_ = 200;
    EXPECT_EQ(on_call_reply(state, reply, start + seconds(9)),
              call_actions{finish_call{reply}});
}

TEST(call, an_unkeyed_call_ends_when_its_endpoint_stays_silent)
{
    call_state state = make_call(call_kind::unkeyed);
    on_call_sent(state, "a", 1);
    on_call_peer_lost(state, "a", 1, retry_reason::stage_silent, start);
    EXPECT_EQ(
        failure_of(on_call_tick(state, start + milliseconds(2'001))),
        (fail_call{refusal_reason::call_outcome_unknown, run_state::unknown}));
}

TEST(call, an_unkeyed_call_ends_when_its_silent_endpoint_was_replaced)
{
    call_state state = make_call(call_kind::unkeyed);
    on_call_sent(state, "a", 1);
    on_call_peer_lost(state, "a", 1, retry_reason::stage_silent, start);
    EXPECT_EQ(
        failure_of(on_call_peer_answered(state, "a", 2, start)),
        (fail_call{refusal_reason::call_outcome_unknown, run_state::unknown}));
}

TEST(call, an_idempotent_call_waits_when_no_other_endpoint_is_left)
{
    call_state state = make_call(call_kind::idempotent);
    on_call_sent(state, "a", 1);
    EXPECT_TRUE(is_route(
        on_call_peer_lost(state, "a", 1, retry_reason::stage_silent, start)));
    EXPECT_TRUE(on_call_not_sent(state, "", start).empty());
    EXPECT_TRUE(state.excluded_.empty());
    EXPECT_EQ(on_call_tick(state, start + milliseconds(50)),
              call_actions{route_call{std::nullopt}});
    EXPECT_TRUE(on_call_not_sent(state, "", start + milliseconds(50)).empty());
    EXPECT_EQ(failure_of(on_call_tick(state, start + milliseconds(2'001))),
              (fail_call{refusal_reason::no_endpoint, run_state::unknown}));
}

TEST(call, a_waiting_idempotent_call_takes_the_reply_of_the_silent_endpoint)
{
    call_state state = make_call(call_kind::idempotent);
    on_call_sent(state, "a", 1);
    on_call_peer_lost(state, "a", 1, retry_reason::stage_silent, start);
    on_call_not_sent(state, "", start);
    EXPECT_TRUE(on_call_reply(state,
                              make_refusal(refusal_reason::no_endpoint,
                                           run_state::unknown),
                              start)
                    .empty());
    call_reply reply;
    reply.status_ = 200;
    EXPECT_EQ(on_call_reply(state, reply, start),
              call_actions{finish_call{reply}});
}

TEST(call, a_keyed_call_is_sent_again_until_its_deadline)
{
    call_state state = make_call(call_kind::keyed);
    on_call_sent(state, "a", 1);
    EXPECT_TRUE(
        on_call_peer_lost(state, "a", 1, retry_reason::stage_died, start)
            .empty());
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

TEST(call, a_keyed_call_that_was_never_sent_fails_with_not_run)
{
    call_state state = make_call(call_kind::keyed);
    on_call_not_sent(state, "a", start);
    EXPECT_EQ(failure_of(on_call_tick(state, start + seconds(10))),
              (fail_call{refusal_reason::deadline_passed, run_state::not_run}));
}

TEST(call, not_run_is_never_reported_after_an_attempt_without_a_reply)
{
    EXPECT_TRUE(rc::check(
        []
        {
            auto const kind = *rc::gen::element(
                call_kind::idempotent, call_kind::unkeyed, call_kind::keyed);
            call_state state = make_call(kind);
            bool may_have_run = false;
            bool is_reply_pending = false;
            auto const events =
                *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
            time_point now = start;
            call_actions last;
            auto const keep_last = [&last](call_actions actions)
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
                if (event == 0 && !is_reply_pending)
                {
                    on_call_sent(state, "p", 1);
                    is_reply_pending = true;
                }
                else if (event == 1 && !is_reply_pending)
                {
                    keep_last(on_call_not_sent(state, "p", now));
                }
                else if (event == 2 && is_reply_pending)
                {
                    is_reply_pending = false;
                    keep_last(on_call_reply(
                        state,
                        make_refusal(refusal_reason::stale_incarnation,
                                     run_state::not_run),
                        now));
                }
                else if (event == 3 && is_reply_pending)
                {
                    is_reply_pending = false;
                    may_have_run = true;
                    keep_last(on_call_peer_lost(state, "p", 1,
                                                retry_reason::stage_died, now));
                }
                else
                {
                    keep_last(on_call_tick(state, now));
                }
            }
            if (!state.is_ended_)
            {
                may_have_run = may_have_run || is_reply_pending;
                keep_last(on_call_tick(state, state.deadline_));
            }
            if (last.empty() || !std::holds_alternative<fail_call>(last[0]))
            {
                return;
            }
            bool const is_not_run =
                failure_of(last).run_state_ == run_state::not_run;
            RC_ASSERT(!(is_not_run && may_have_run));
        }));
}
