// The entry's state machine for one call of a plain service.
#include "auburnlb/protocol/call.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

operation_rule const* find_rule(service_config const& config,
                                std::string const& method,
                                std::string const& path)
{
    auto const found = std::find_if(
        config.operations_.begin(), config.operations_.end(),
        [&](operation_rule const& rule)
        {
            return (rule.method_ == "*" || rule.method_ == method) &&
                   path.starts_with(rule.path_prefix_);
        });
    return found == config.operations_.end() ? nullptr : &*found;
}

call_actions fail(call_state& state, refusal_reason reason)
{
    state.is_ended_ = true;
    run_state const ran =
        state.may_have_run_ ? run_state::unknown : run_state::not_run;
    return {fail_call{reason, ran}};
}

/// Schedules the next attempt of a keyed call.
call_actions schedule_resend(call_state& state, time_point now)
{
    state.peer_.clear();
    state.resend_wait_ =
        state.resend_wait_ == milliseconds{0}
            ? state.limits_.resend_min_
            : std::min(state.resend_wait_ * 2, state.limits_.resend_max_);
    state.resend_at_ = now + state.resend_wait_;
    return {};
}

/// Waits for an endpoint to be back after a repeatable call was lost with one.
/// The retry has been paid for, so its later routing is no further retry.
call_actions wait_for_endpoint(call_state& state, time_point now)
{
    if (!state.silent_since_)
    {
        state.silent_since_ = now;
    }
    state.excluded_.clear();
    return schedule_resend(state, now);
}

/// Retries on another endpoint a call that provably did not run, or that may
/// run again.
call_actions retry_on_other_endpoint(call_state& state, std::string const& peer,
                                     refusal_reason reason, retry_reason retry)
{
    // peer may refer to state.peer_, which is therefore cleared last.
    state.excluded_.insert(peer);
    state.peer_.clear();
    if (state.attempts_ >= state.limits_.max_attempts_)
    {
        return fail(state, reason);
    }
    return {route_call{retry}};
}

/// Returns whether a later attempt of a keyed call may end differently.
bool is_transient(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::not_shard_home:
    case refusal_reason::stale_incarnation:
    case refusal_reason::endpoint_leaving:
    case refusal_reason::key_in_progress:
    case refusal_reason::key_outcome_unknown:
        return true;
    default:
        return false;
    }
}

call_actions on_keyed_refusal(call_state& state, call_reply const& reply,
                              time_point now)
{
    if (reply.run_state_ == run_state::unknown)
    {
        state.may_have_run_ = true;
    }
    if (is_transient(reply.reason_))
    {
        state.last_reason_ = reply.reason_;
        return schedule_resend(state, now);
    }
    return fail(state, reply.reason_);
}

} // namespace

call_kind classify_call(service_config const& config, std::string const& method,
                        std::string const& path, bool has_key)
{
    operation_rule const* const rule = find_rule(config, method, path);
    if (rule != nullptr && rule->is_idempotent_)
    {
        return call_kind::idempotent;
    }
    return has_key ? call_kind::keyed : call_kind::unkeyed;
}

bool is_key_missing(service_config const& config, std::string const& method,
                    std::string const& path, bool has_key)
{
    operation_rule const* const rule = find_rule(config, method, path);
    return !has_key && rule != nullptr && rule->is_key_required_;
}

call_actions begin_call(call_state& /*state*/)
{
    return {route_call{std::nullopt}};
}

void on_call_sent(call_state& state, std::string const& peer,
                  incarnation_id incarnation)
{
    ++state.attempts_;
    state.peer_ = peer;
    state.incarnation_ = incarnation;
    state.silent_since_.reset();
    state.resend_at_.reset();
}

call_actions on_call_not_sent(call_state& state, std::string const& peer,
                              time_point now)
{
    if (state.is_ended_)
    {
        return {};
    }
    if (state.kind_ == call_kind::keyed)
    {
        return schedule_resend(state, now);
    }
    if (peer.empty())
    {
        return state.may_have_run_ && state.kind_ == call_kind::idempotent
                   ? wait_for_endpoint(state, now)
                   : fail(state, refusal_reason::no_endpoint);
    }
    ++state.attempts_;
    return retry_on_other_endpoint(state, peer, refusal_reason::no_endpoint,
                                   retry_reason::endpoint_refused);
}

call_actions on_call_reply(call_state& state, call_reply const& reply,
                           time_point now)
{
    // Between attempts, a keyed call accepts a reply to an earlier attempt: all
    // owners reply with the key's only outcome.
    if (state.is_ended_)
    {
        return {};
    }
    if (reply.status_ != 0)
    {
        state.is_ended_ = true;
        return {finish_call{reply}};
    }
    if (state.kind_ == call_kind::keyed)
    {
        return on_keyed_refusal(state, reply, now);
    }
    if (state.resend_at_)
    {
        // The attempt was given up already.
        return {};
    }
    bool const has_not_run = reply.run_state_ == run_state::not_run;
    state.may_have_run_ = state.may_have_run_ || !has_not_run;
    if (has_not_run || state.kind_ == call_kind::idempotent)
    {
        return retry_on_other_endpoint(state, state.peer_, reply.reason_,
                                       retry_reason::endpoint_refused);
    }
    return fail(state, reply.reason_);
}

call_actions on_call_peer_lost(call_state& state, std::string const& peer,
                               incarnation_id incarnation, retry_reason reason,
                               time_point now)
{
    if (state.is_ended_ || state.peer_ != peer ||
        state.incarnation_ != incarnation)
    {
        return {};
    }
    switch (state.kind_)
    {
    case call_kind::idempotent:
        state.may_have_run_ = true;
        return retry_on_other_endpoint(state, peer, refusal_reason::no_endpoint,
                                       reason);
    case call_kind::keyed:
        state.may_have_run_ = true;
        return schedule_resend(state, now);
    case call_kind::unkeyed:
        break;
    }
    state.may_have_run_ = true;
    if (reason == retry_reason::stage_silent)
    {
        state.silent_since_ = now;
        return {};
    }
    return fail(state, refusal_reason::call_outcome_unknown);
}

call_actions on_call_peer_answered(call_state& state, std::string const& peer,
                                   incarnation_id incarnation, time_point now)
{
    if (!state.silent_since_ || state.peer_ != peer)
    {
        return {};
    }
    if (state.incarnation_ != incarnation)
    {
        return on_call_peer_lost(state, peer, state.incarnation_,
                                 retry_reason::stage_died, now);
    }
    state.silent_since_.reset();
    return {};
}

call_actions on_call_tick(call_state& state, time_point now)
{
    if (state.is_ended_)
    {
        return {};
    }
    if (now >= state.deadline_)
    {
        // An attempt without a reply may still run.
        state.may_have_run_ = state.may_have_run_ || !state.peer_.empty();
        refusal_reason const reason =
            state.may_have_run_ && state.kind_ == call_kind::keyed
                ? refusal_reason::key_outcome_unknown
            : state.may_have_run_
                ? refusal_reason::call_outcome_unknown
                : state.last_reason_.value_or(refusal_reason::deadline_passed);
        return fail(state, reason);
    }
    if (state.silent_since_ &&
        now - *state.silent_since_ > state.limits_.silence_patience_)
    {
        return fail(state, state.kind_ == call_kind::unkeyed
                               ? refusal_reason::call_outcome_unknown
                               : refusal_reason::no_endpoint);
    }
    if (state.resend_at_ && now >= *state.resend_at_)
    {
        state.resend_at_.reset();
        return {state.kind_ == call_kind::keyed
                    ? route_call{retry_reason::wrong_home}
                    : route_call{std::nullopt}};
    }
    return {};
}

} // namespace auburnlb
