// Answers whose caller comes back: through this entry, or through this one
// after the entry that began them is gone.
#include "auburnlb/entry/stream_service.hpp"

#include <utility>

#include "active_stream.hpp"

namespace auburnlb
{

namespace
{

/// How long stages are asked for an answer that another entry began.
constexpr milliseconds adopt_limit{500};

} // namespace

/// A caller comes back for the rest of an answer.
void stream_service::resume(stream_call call)
{
    event_id const last = *call.options_.last_event_;
    active_stream* const known = find(last.request_);
    if (known == nullptr)
    {
        ask_for_stream(add(std::move(call), last.request_));
        return;
    }
    if (known->call_.workspace_ != call.workspace_ ||
        known->phase_ == active_stream::caller_phase::adopting)
    {
        environment_.metrics_.count_refusal(refusal_reason::stream_lost);
        call.reply_->send(format_error(refusal_reason::stream_lost,
                                       run_state::ran,
                                       "header Last-Event-ID: no such answer"));
        return;
    }
    watch_caller(*call.reply_, last.request_);
    known->call_.reply_ = std::move(call.reply_);
    known->phase_ = active_stream::caller_phase::connected;
    known->is_output_open_ = false;
    continue_output(*known, last.index_ + 1);
}

/// Any last stage of the service may hold the answer. This happens only when
/// an entry is lost, so asking all of them costs little.
void stream_service::ask_for_stream(active_stream& stream)
{
    stream.phase_ = active_stream::caller_phase::adopting;
    stream.phase_end_ = environment_.clock_.now() + adopt_limit;
    service_config const& config = *stream.call_.config_;
    std::vector<std::string> addresses;
    environment_.view_.read(
        [&](routing_view const& view)
        {
            for (endpoint_description const& each : view.fleet_.endpoints_)
            {
                if (each.service_ == config.name_ &&
                    each.layers_.end_ == config.layers_ &&
                    each.state_ != host_state::dead)
                {
                    addresses.push_back(each.address_);
                }
            }
        });
    for (std::string const& address : addresses)
    {
        environment_.bus_.send(
            address,
            adopt_stream{stream.state_.request_, environment_.entry_address_});
    }
}

void stream_service::on_adopted(stream_adopted const& adopted)
{
    active_stream* const stream = find(adopted.request_);
    if (stream == nullptr)
    {
        return;
    }
    if (adopted.route_.entry_address_ != environment_.entry_address_)
    {
        // Another entry sees it through now; its stages must go on.
        finish(*stream, false);
    }
    else if (stream->phase_ == active_stream::caller_phase::adopting)
    {
        take_over(*stream, adopted);
    }
    sweep();
}

void stream_service::take_over(active_stream& stream,
                               stream_adopted const& adopted)
{
    stream_state& state = stream.state_;
    state.attempt_ = adopted.attempt_;
    state.service_version_ = adopted.service_version_;
    state.route_ = adopted.route_;
    state.tokens_ = adopted.tokens_;
    state.last_progress_ = environment_.clock_.now();
    stream.phase_ = active_stream::caller_phase::connected;
    stream.is_begun_ = true;
    stream.is_counted_ = true;
    record_request_start(choice_, state.route_.stages_);
    for (chain_stage const& stage : state.route_.stages_)
    {
        environment_.bus_.send(
            stage.address_,
            adopt_stream{state.request_, environment_.entry_address_});
    }
    environment_.metrics_.add("auburnlb_adopted_streams_total");
    continue_output(stream, stream.call_.options_.last_event_->index_ + 1);
    if (adopted.is_end_)
    {
        apply(stream, abandon(state));
        finish(stream, true);
    }
}

/// Sends the tokens that the caller does not have yet.
void stream_service::continue_output(active_stream& stream, std::uint32_t from)
{
    open_output(stream);
    std::vector<std::string> const& tokens = stream.state_.tokens_;
    if (!stream.call_.request_.is_stream_)
    {
        stream.text_.clear();
        from = 0;
    }
    for (std::uint32_t index = from; index < tokens.size(); ++index)
    {
        if (stream.call_.request_.is_stream_)
        {
            stream.call_.reply_->write(
                format_stream_event(stream.head_, index, tokens[index]));
        }
        else
        {
            stream.text_ += tokens[index];
        }
    }
}

} // namespace auburnlb
