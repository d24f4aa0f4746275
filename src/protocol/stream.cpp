// Decisions of the entry on one streamed answer.
#include "auburnlb/protocol/stream.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

std::vector<std::string> stage_addresses(chain_route const& route)
{
    std::vector<std::string> addresses;
    addresses.reserve(route.stages_.size());
    for (chain_stage const& stage : route.stages_)
    {
        addresses.push_back(stage.address_);
    }
    return addresses;
}

chain_stage const* find_stage(stream_state const& state,
                              std::string const& address)
{
    auto const found =
        std::find_if(state.route_.stages_.begin(), state.route_.stages_.end(),
                     [&address](chain_stage const& stage)
                     { return stage.address_ == address; });
    return found == state.route_.stages_.end() ? nullptr : &*found;
}

stream_actions end_stream(stream_state& state, stream_actions actions)
{
    state.is_ended_ = true;
    state.is_probing_ = false;
    actions.emplace_back(
        cancel_attempt{state.attempt_, stage_addresses(state.route_)});
    return actions;
}

stream_actions fail(stream_state& state, refusal_reason reason)
{
    return end_stream(state, {fail_stream{reason}});
}

stream_actions restart(stream_state& state, retry_reason reason,
                       std::string const& peer)
{
    if (state.attempt_ >= state.limits_.max_attempts_)
    {
        return fail(state, refusal_reason::stream_lost);
    }
    state.is_probing_ = false;
    state.unanswered_.clear();
    // The stages that live free the old attempt's memory at once; the new
    // attempt's first frame would make only those do so that it touches.
    return {cancel_attempt{state.attempt_, stage_addresses(state.route_)},
            restart_stream{reason, peer}};
}

nanoseconds silence_limit(stream_state const& state)
{
    nanoseconds limit = std::max<nanoseconds>(
        state.limits_.silence_,
        state.token_interval_ * state.limits_.silence_factor_);
    // The first token of an attempt waits for the prefill of the prompt and of
    // what was delivered already.
    bool const is_prefilling =
        state.tokens_.empty() || state.token_interval_ == nanoseconds{0};
    if (is_prefilling)
    {
        limit += state.limits_.prefill_ *
                 (state.route_.prompt_tokens_ + state.tokens_.size());
    }
    return limit;
}

stream_actions begin_probe(stream_state& state, time_point now)
{
    stream_actions actions;
    state.is_probing_ = true;
    state.probed_at_ = now;
    for (std::string const& address : stage_addresses(state.route_))
    {
        state.unanswered_.insert(address);
        actions.emplace_back(probe_stage{address});
    }
    return actions;
}

stream_actions conclude_probe(stream_state& state)
{
    if (state.unanswered_.empty())
    {
        // Every stage lives, yet nothing moved: a frame was lost with a
        // connection, or a link is very slow. The chain may be used again.
        return restart(state, retry_reason::link_degraded, {});
    }
    std::string const silent = *state.unanswered_.begin();
    state.excluded_.insert(state.unanswered_.begin(), state.unanswered_.end());
    return restart(state, retry_reason::stage_silent, silent);
}

void note_progress(stream_state& state, time_point now)
{
    if (!state.tokens_.empty())
    {
        nanoseconds const interval = now - state.last_progress_;
        state.token_interval_ =
            state.token_interval_ == nanoseconds{0}
                ? interval
                : (state.token_interval_ * 7 + interval) / 8;
    }
    state.last_progress_ = now;
    state.is_probing_ = false;
    state.unanswered_.clear();
}

} // namespace

step_frame begin_attempt(stream_state& state, chain_route route,
                         std::uint64_t service_version, time_point now)
{
    ++state.attempt_;
    state.route_ = std::move(route);
    state.service_version_ = service_version;
    state.last_progress_ = now;
    state.token_interval_ = nanoseconds{0};
    state.is_probing_ = false;
    step_frame frame;
    frame.request_ = state.request_;
    frame.attempt_ = state.attempt_;
    frame.service_version_ = service_version;
    frame.inputs_.reserve(state.tokens_.size() + 1);
    frame.inputs_.push_back(state.prompt_);
    frame.inputs_.insert(frame.inputs_.end(), state.tokens_.begin(),
                         state.tokens_.end());
    state.route_.delivered_ = state.tokens_;
    frame.route_ = state.route_;
    return frame;
}

stream_actions on_token(stream_state& state, token_frame const& frame,
                        time_point now)
{
    if (state.is_ended_ || frame.attempt_ != state.attempt_ ||
        frame.index_ < state.tokens_.size())
    {
        return {drop_frame{}};
    }
    if (frame.index_ > state.tokens_.size())
    {
        // A token was lost on its way. The stages have moved past it, so only
        // a new attempt can give it.
        return restart(state, retry_reason::link_degraded,
                       state.route_.stages_.back().address_);
    }
    note_progress(state, now);
    state.tokens_.push_back(frame.text_);
    stream_actions actions{
        deliver_token{frame.index_, frame.text_, frame.is_end_}};
    return frame.is_end_ ? end_stream(state, std::move(actions)) : actions;
}

stream_actions on_refusal(stream_state& state, step_refusal const& refusal,
                          time_point /*now*/)
{
    if (state.is_ended_ || refusal.attempt_ != state.attempt_)
    {
        return {drop_frame{}};
    }
    state.excluded_.insert(refusal.stage_address_);
    retry_reason const reason =
        refusal.reason_ == refusal_reason::engine_failed
            ? retry_reason::engine_failed
        : refusal.reason_ == refusal_reason::endpoint_leaving
            ? retry_reason::endpoint_leaving
            : retry_reason::stage_refused;
    return restart(state, reason, refusal.stage_address_);
}

stream_actions on_stage_lost(stream_state& state, std::string const& address,
                             retry_reason reason, time_point /*now*/)
{
    if (state.is_ended_ || find_stage(state, address) == nullptr)
    {
        return {};
    }
    state.excluded_.insert(address);
    return restart(state, reason, address);
}

stream_actions on_probe_reply(stream_state& state, std::string const& address,
                              incarnation_id incarnation, time_point now)
{
    chain_stage const* const stage = find_stage(state, address);
    if (state.is_ended_ || stage == nullptr)
    {
        return {};
    }
    if (stage->incarnation_ != incarnation)
    {
        return on_stage_lost(state, address, retry_reason::stage_died, now);
    }
    state.unanswered_.erase(address);
    return {};
}

stream_actions on_tick(stream_state& state, time_point now)
{
    if (state.is_ended_ || state.attempt_ == 0)
    {
        return {};
    }
    if (now >= state.deadline_)
    {
        return fail(state, refusal_reason::deadline_passed);
    }
    if (!state.is_probing_)
    {
        return now - state.last_progress_ > silence_limit(state)
                   ? begin_probe(state, now)
                   : stream_actions{};
    }
    return now - state.probed_at_ > state.limits_.probe_timeout_
               ? conclude_probe(state)
               : stream_actions{};
}

stream_actions abandon(stream_state& state)
{
    return state.is_ended_ ? stream_actions{} : end_stream(state, {});
}

} // namespace auburnlb
