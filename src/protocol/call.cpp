// Decisions of the entry on one call of a plain service.
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
call_actions resend_later(call_state& state, time_point now)
{
    state.peer_.clear();
    state.resend_wait_ =
        state.resend_wait_ == milliseconds{0}
            ? state.limits_.resend_min_
            : std::min(state.resend_wait_ * 2, state.limits_.resend_max_);
    state.resend_at_ = now + state.resend_wait_;
    return {};
}

/// Another endpoint is tried by a call that provably did not run, or that may
/// run again.
call_actions try_elsewhere(call_state& state, std::string const& peer,
                           refusal_reason reason, retry_reason retry)
{
    // The peer may be state.peer_ itself, so it is cleared last.
    state.excluded_.insert(peer);
    state.peer_.clear();
    if (state.attempts_ >= state.limits_.max_attempts_)
    {
        return fail(state, reason);
    }
    return {route_call{retry}};
}

/// Whether an answer to a keyed call is only the present state of things.
bool is_passing(refusal_reason reason)
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
    if (is_passing(reply.reason_))
    {
        state.last_reason_ = reply.reason_;
        return resend_later(state, now);
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
        return resend_later(state, now);
    }
    if (peer.empty())
    {
        return fail(state, refusal_reason::no_endpoint);
    }
    ++state.attempts_;
    return try_elsewhere(state, peer, refusal_reason::no_endpoint,
                         retry_reason::endpoint_refused);
}

call_actions on_call_reply(call_state& state, call_reply const& reply,
                           time_point now)
{
    // Between attempts of a keyed call the answer to an earlier one is as good:
    // every home answers from the key's one outcome.
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
    bool const has_not_run = reply.run_state_ == run_state::not_run;
    state.may_have_run_ = state.may_have_run_ || !has_not_run;
    if (has_not_run || state.kind_ == call_kind::idempotent)
    {
        return try_elsewhere(state, state.peer_, reply.reason_,
                             retry_reason::endpoint_refused);
    }
    return fail(state, reply.reason_);
}

call_actions on_call_peer_lost(call_state& state, std::string const& peer,
                               incarnation_id incarnation, time_point now)
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
        return try_elsewhere(state, peer, refusal_reason::no_endpoint,
                             retry_reason::stage_died);
    case call_kind::keyed:
        state.may_have_run_ = true;
        return resend_later(state, now);
    case call_kind::unkeyed:
        break;
    }
    state.may_have_run_ = true;
    return fail(state, refusal_reason::call_outcome_unknown);
}

call_actions on_call_tick(call_state& state, time_point now)
{
    if (state.is_ended_)
    {
        return {};
    }
    if (now >= state.deadline_)
    {
        // An attempt without an answer may still run.
        state.may_have_run_ = state.may_have_run_ || !state.peer_.empty();
        refusal_reason const reason =
            state.may_have_run_ && state.kind_ == call_kind::keyed
                ? refusal_reason::key_outcome_unknown
            : state.may_have_run_
                ? refusal_reason::call_outcome_unknown
                : state.last_reason_.value_or(refusal_reason::deadline_passed);
        return fail(state, reason);
    }
    if (state.resend_at_ && now >= *state.resend_at_)
    {
        state.resend_at_.reset();
        return {route_call{retry_reason::wrong_home}};
    }
    return {};
}

} // namespace auburnlb
