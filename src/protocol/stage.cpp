// The acceptance rule of a chain's stage.
#include "auburnlb/protocol/stage.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

bool is_adjacent_chain(chain_route const& route)
{
    std::uint32_t next = 0;
    for (chain_stage const& stage : route.stages_)
    {
        if (stage.layers_.first_ != next ||
            stage.layers_.end_ <= stage.layers_.first_)
        {
            return false;
        }
        next = stage.layers_.end_;
    }
    return next == route.model_layers_ && next > 0;
}

std::optional<std::size_t> find_own_stage(stage_table const& table,
                                          chain_route const& route)
{
    auto const own = std::find_if(route.stages_.begin(), route.stages_.end(),
                                  [&table](chain_stage const& stage)
                                  { return stage.address_ == table.address_; });
    if (own == route.stages_.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(own - route.stages_.begin());
}

step_decision accept_first(stage_table& table, stage_stream const* known,
                           step_frame const& frame, time_point now)
{
    chain_route const& route = *frame.route_;
    std::optional<std::size_t> const own = find_own_stage(table, route);
    if (!own || route.stages_[*own].incarnation_ != table.incarnation_)
    {
        return refusal_reason::stale_incarnation;
    }
    if (route.stages_[*own].layers_ != table.layers_ ||
        frame.next_layer_ != table.layers_.first_ || !is_adjacent_chain(route))
    {
        return refusal_reason::wrong_layer;
    }
    if (frame.position_ != 0)
    {
        return refusal_reason::wrong_position;
    }
    // A stream that already runs here may be resumed: the resumption of an
    // admitted request is no new work.
    if (table.is_leaving_ && known == nullptr)
    {
        return refusal_reason::endpoint_leaving;
    }
    step_accepted accepted;
    if (known != nullptr && known->is_running_)
    {
        accepted.replaced_attempt_ = known->attempt_;
    }
    else
    {
        ++table.running_;
    }
    stage_stream fresh;
    fresh.attempt_ = frame.attempt_;
    fresh.next_position_ = static_cast<std::uint32_t>(frame.inputs_.size());
    fresh.route_ = route;
    fresh.stage_index_ = *own;
    fresh.service_version_ = frame.service_version_;
    fresh.last_activity_ = now;
    if (*own + 1 == route.stages_.size())
    {
        fresh.tokens_ = route.delivered_;
    }
    table.streams_[frame.request_] = std::move(fresh);
    return accepted;
}

/// Turns a stream into a tombstone.
void forget_content(stage_table& table, stage_stream& stream, time_point now)
{
    table.running_ -= stream.is_running_ ? 1 : 0;
    stream.is_running_ = false;
    stream.route_ = {};
    stream.tokens_.clear();
    stream.last_activity_ = now;
}

step_frame next_frame(step_frame const& frame, std::uint32_t position,
                      std::uint32_t layer, std::vector<std::string> inputs)
{
    step_frame next;
    next.request_ = frame.request_;
    next.attempt_ = frame.attempt_;
    next.position_ = position;
    next.next_layer_ = layer;
    next.service_version_ = frame.service_version_;
    next.inputs_ = std::move(inputs);
    return next;
}

std::vector<outgoing_message> forward_token(stage_stream& stream,
                                            step_frame const& frame,
                                            step_output output,
                                            load_report const& load)
{
    std::vector<outgoing_message> forwards;
    auto const index =
        static_cast<std::uint32_t>(frame.position_ + frame.inputs_.size() - 1);
    token_frame token;
    token.request_ = frame.request_;
    token.attempt_ = frame.attempt_;
    token.index_ = index;
    token.text_ = output.outputs_.back();
    token.is_end_ = output.is_end_ || index + 1 >= stream.route_.max_tokens_;
    token.cached_tokens_ = output.cached_tokens_;
    token.load_ = load;
    stream.tokens_.push_back(token.text_);
    stream.is_end_ = token.is_end_;
    if (!token.is_end_)
    {
        // The next token's step starts from here and not from the entry: the
        // entry's hop is kept out of the time between tokens.
        forwards.push_back({stream.route_.stages_.front().address_,
                            next_frame(frame, index + 1, 0, {token.text_})});
    }
    forwards.push_back({stream.route_.entry_address_, std::move(token)});
    return forwards;
}

} // namespace

step_decision accept_step(stage_table& table, step_frame const& frame,
                          time_point now)
{
    auto const found = table.streams_.find(frame.request_);
    stage_stream* const known =
        found == table.streams_.end() ? nullptr : &found->second;
    if (frame.inputs_.empty())
    {
        return refusal_reason::wrong_position;
    }
    if (known != nullptr && frame.attempt_ < known->attempt_)
    {
        return refusal_reason::stale_attempt;
    }
    bool const is_new = known == nullptr || frame.attempt_ > known->attempt_;
    if (is_new)
    {
        // Without its route a frame belongs to a chain that this incarnation
        // doesn't remember.
        return frame.route_ ? accept_first(table, known, frame, now)
                            : step_decision(refusal_reason::stale_incarnation);
    }
    if (!known->is_running_)
    {
        return refusal_reason::stale_attempt;
    }
    if (frame.position_ != known->next_position_)
    {
        return refusal_reason::wrong_position;
    }
    if (frame.next_layer_ != table.layers_.first_)
    {
        return refusal_reason::wrong_layer;
    }
    known->next_position_ += static_cast<std::uint32_t>(frame.inputs_.size());
    known->last_activity_ = now;
    return step_accepted{};
}

std::vector<outgoing_message> forward_step(stage_table& table,
                                           step_frame const& frame,
                                           step_output output,
                                           load_report const& load)
{
    auto const found = table.streams_.find(frame.request_);
    if (found == table.streams_.end() || !found->second.is_running_ ||
        found->second.attempt_ != frame.attempt_ || output.outputs_.empty())
    {
        return {};
    }
    stage_stream& stream = found->second;
    if (stream.stage_index_ + 1 == stream.route_.stages_.size())
    {
        return forward_token(stream, frame, std::move(output), load);
    }
    step_frame next = next_frame(frame, frame.position_, table.layers_.end_,
                                 std::move(output.outputs_));
    if (frame.position_ == 0)
    {
        next.route_ = stream.route_;
    }
    return {{stream.route_.stages_[stream.stage_index_ + 1].address_,
             std::move(next)}};
}

std::optional<std::uint32_t>
cancel_at_stage(stage_table& table, cancel_stream const& cancel, time_point now)
{
    auto const found = table.streams_.find(cancel.request_);
    if (found == table.streams_.end())
    {
        stage_stream tombstone;
        tombstone.attempt_ = cancel.attempt_;
        tombstone.is_running_ = false;
        tombstone.last_activity_ = now;
        table.streams_.emplace(cancel.request_, std::move(tombstone));
        return std::nullopt;
    }
    stage_stream& stream = found->second;
    if (cancel.attempt_ < stream.attempt_)
    {
        return std::nullopt;
    }
    std::optional<std::uint32_t> released;
    if (stream.is_running_)
    {
        released = stream.attempt_;
    }
    stream.attempt_ = cancel.attempt_;
    forget_content(table, stream, now);
    return released;
}

std::optional<stream_adopted>
adopt_at_stage(stage_table& table, adopt_stream const& adoption, time_point now)
{
    auto const found = table.streams_.find(adoption.request_);
    if (found == table.streams_.end() || !found->second.is_running_)
    {
        return std::nullopt;
    }
    stage_stream& stream = found->second;
    stream.route_.entry_address_ = adoption.entry_address_;
    stream.last_activity_ = now;
    if (stream.stage_index_ + 1 != stream.route_.stages_.size())
    {
        return std::nullopt;
    }
    return stream_adopted{adoption.request_,       stream.attempt_,
                          stream.service_version_, stream.route_,
                          stream.tokens_,          stream.is_end_};
}

std::vector<released_stream>
expire_streams(stage_table& table, time_point now, nanoseconds idle_limit,
               nanoseconds tombstone_lifetime,
               std::set<std::string> const& lost_entries)
{
    std::vector<released_stream> released;
    for (auto entry = table.streams_.begin(); entry != table.streams_.end();)
    {
        stage_stream& stream = entry->second;
        nanoseconds const idle = now - stream.last_activity_;
        bool const is_given_up =
            idle > idle_limit ||
            lost_entries.contains(stream.route_.entry_address_);
        if (stream.is_running_ && is_given_up)
        {
            released.push_back(
                {entry->first, stream.attempt_, stream.route_.entry_address_});
            forget_content(table, stream, now);
        }
        else if (!stream.is_running_ && idle > tombstone_lifetime)
        {
            entry = table.streams_.erase(entry);
            continue;
        }
        ++entry;
    }
    return released;
}

std::size_t running_streams(stage_table const& table)
{
    return table.running_;
}

std::string engine_stream_name(request_id const& request, std::uint32_t attempt)
{
    return to_string(request) + "/" + std::to_string(attempt);
}

} // namespace auburnlb
