// Implementation of stream_service: carries out the decisions on admission,
// choice of chains, crash suspicion and retries.
#include "auburnlb/entry/stream_service.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "auburnlb/state/log.hpp"

#include "active_stream.hpp"

namespace auburnlb
{

namespace
{

/// Maximum number of bytes buffered for a caller. A slower reader is
/// disconnected, so that it cannot exhaust the entry's memory.
constexpr std::size_t max_unsent_bytes = 4U << 20U;

/// Interval at which a stream without a chain looks for one.
constexpr milliseconds chain_retry_interval{50};

/// After this long without a chain, a stream may use endpoints again that it
/// excluded: those still listed as live have responded since.
constexpr milliseconds exclusion_lifetime{1'000};

/// Length of the prompt prefix that is hashed for cache affinity.
constexpr std::size_t prefix_bytes = 256;

/// Cost of a prompt token relative to an output token. It is lower because
/// prefill processes many positions at once.
constexpr double prefill_cost_factor = 0.1;

std::uint32_t count_words(std::string const& text)
{
    std::uint32_t words = 0;
    bool is_inside = false;
    for (char const letter : text)
    {
        bool const is_blank = letter == ' ' || letter == '\n' || letter == '\t';
        words += !is_blank && !is_inside ? 1 : 0;
        is_inside = !is_blank;
    }
    return words;
}

std::uint64_t hash_prefix(std::string const& prompt)
{
    return prompt.size() < prefix_bytes
               ? 0
               : XXH3_64bits(prompt.data(), prefix_bytes);
}

std::int64_t unix_seconds()
{
    return std::chrono::duration_cast<seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string metric_label(std::string const& label, std::string const& value)
{
    return label + "=\"" + value + "\"";
}

} // namespace

stream_service::stream_service(stream_environment environment)
    : environment_(std::move(environment))
    , selector_(make_selector_state(environment_.incarnation_))
{
}

stream_service::~stream_service() = default;

stream_service::service_limits&
stream_service::limits_of(service_config const& config)
{
    std::unique_ptr<service_limits>& slot = services_[config.name_];
    if (!slot)
    {
        slot = std::make_unique<service_limits>();
        environment_.view_.read(
            [&](routing_view const& view)
            {
                auto const plan = view.plan_.services_.find(config.name_);
                double const bound =
                    plan == view.plan_.services_.end()
                        ? 0
                        : plan->second.bound_.tokens_per_second_;
                slot->config_ = find_service(view, config.name_);
                slot->admission_ = make_admission(
                    config, {view.entry_index_, view.entry_count_}, bound,
                    environment_.clock_.now());
            });
        slot->retries_ = make_retry_budget(config.retry_ratio_);
    }
    return *slot;
}

void stream_service::on_view_changed()
{
    environment_.view_.read(
        [this](routing_view const& view)
        {
            selector_.selectors_ = view.entry_count_;
            remove_absent_endpoints(selector_, view.plan_);
            for (auto& [name, limits] : services_)
            {
                auto const config = find_service(view, name);
                auto const plan = view.plan_.services_.find(name);
                if (!config || plan == view.plan_.services_.end())
                {
                    continue;
                }
                limits->config_ = config;
                limits->retries_.ratio_ = config->retry_ratio_;
                reconfigure(limits->admission_, *config,
                            {view.entry_index_, view.entry_count_},
                            plan->second.bound_.tokens_per_second_,
                            environment_.clock_.now());
            }
        });
}

stream_service::active_stream& stream_service::add(stream_call call,
                                                   request_id const& id)
{
    service_config const& config = *call.config_;
    auto stream = std::make_unique<active_stream>();
    stream->ticket_ = ++last_sequence_;
    stream->state_.request_ = id;
    stream->state_.limits_ = environment_.limits_;
    stream->state_.prompt_ = call.request_.prompt_;
    stream->state_.deadline_ =
        call.received_at_ +
        call.options_.timeout_.value_or(config.default_deadline_);
    stream->head_ = {id, config.name_, unix_seconds()};
    stream->fingerprint_ =
        fingerprint_of(call.workspace_, config.name_, call.request_.prompt_);
    std::uint32_t& max_tokens = call.request_.max_tokens_;
    max_tokens = max_tokens == 0 ? config.max_tokens_
                                 : std::min(max_tokens, config.max_tokens_);
    stream->token_cost_ =
        max_tokens + prefill_cost_factor * count_words(call.request_.prompt_);
    watch_connection(*call.reply_, id);
    environment_.metrics_.add("auburnlb_requests_total",
                              metric_label("service", config.name_));
    stream->call_ = std::move(call);
    active_stream& added = *stream;
    tickets_[id] = added.ticket_;
    streams_.emplace(added.ticket_, std::move(stream));
    return added;
}

void stream_service::watch_connection(http_reply& reply, request_id const& id)
{
    reply.on_closed(
        [this, id, closed = &reply]
        {
            environment_.post_([this, id, closed]
                               { on_caller_disconnected(id, closed); });
        });
}

void stream_service::submit(stream_call call)
{
    if (call.options_.last_event_)
    {
        resume(std::move(call));
        return;
    }
    time_point const now = environment_.clock_.now();
    request_id const id{environment_.incarnation_, last_sequence_ + 1};
    active_stream& added = add(std::move(call), id);
    service_config const& config = *added.call_.config_;
    if (may_run(suspicion_, added.fingerprint_, now) == run_permission::refuse)
    {
        log(log_level::warning, log_event::request_quarantined,
            {{"request", to_string(id)}, {"workspace", added.call_.workspace_}},
            "request suspected of crashing endpoints is refused");
        refuse(added, refusal_reason::suspected_crash, run_state::not_run,
               milliseconds{0});
        return;
    }
    admission_request const admission{added.ticket_,
                                      added.call_.workspace_,
                                      added.call_.options_.priority_,
                                      added.token_cost_,
                                      added.state_.deadline_,
                                      added.call_.request_.is_stream_};
    apply_admission({admit(limits_of(config).admission_, admission, now)});
}

void stream_service::apply_admission(
    std::vector<admission_decision> const& decisions)
{
    for (admission_decision const& decision : decisions)
    {
        auto const found = streams_.find(decision.ticket_);
        if (found == streams_.end())
        {
            continue;
        }
        if (decision.verdict_ == admission_verdict::admit)
        {
            on_admitted(*found->second);
        }
        else if (decision.verdict_ == admission_verdict::refuse)
        {
            refuse(*found->second, decision.reason_, run_state::not_run,
                   decision.retry_after_);
        }
    }
}

void stream_service::on_admitted(active_stream& stream)
{
    stream.is_admitted_ = true;
    stream.admitted_at_ = environment_.clock_.now();
    on_request_begun(limits_of(*stream.call_.config_).retries_);
    start_attempt(stream);
}

std::optional<stream_service::chosen_chain>
stream_service::choose_route(active_stream const& stream,
                             std::set<std::string> const& avoided,
                             std::uint32_t prompt_tokens)
{
    std::string const& service = stream.call_.config_->name_;
    return environment_.view_.read(
        [&](routing_view const& view) -> std::optional<chosen_chain>
        {
            auto const config = find_service(view, service);
            auto chain =
                choose_chain(view.plan_, service, selector_, avoided,
                             hash_prefix(stream.state_.prompt_),
                             prompt_tokens + stream.call_.request_.max_tokens_);
            if (!config || !chain)
            {
                return std::nullopt;
            }
            chosen_chain chosen;
            chosen.route_.stages_ = std::move(*chain);
            chosen.route_.model_layers_ = config->layers_;
            chosen.version_ = config->version_;
            return chosen;
        });
}

bool stream_service::start_attempt(active_stream& stream)
{
    time_point const now = environment_.clock_.now();
    run_permission const permission =
        may_run(suspicion_, stream.fingerprint_, now);
    if (permission == run_permission::refuse)
    {
        apply(stream, {fail_stream{refusal_reason::suspected_crash}});
        return false;
    }
    std::set<std::string> avoided =
        permission == run_permission::allow_isolated
            ? endpoints_running_suspects(suspicion_, now)
            : isolated_endpoints(suspicion_, now);
    bool const may_use_avoided =
        !is_suspect(suspicion_, stream.fingerprint_, now);
    std::set<std::string> excluded = resting_stages(backoff_, now);
    excluded.insert(stream.state_.excluded_.begin(),
                    stream.state_.excluded_.end());
    avoided.insert(excluded.begin(), excluded.end());
    std::uint32_t const prompt_tokens = count_words(stream.state_.prompt_);
    std::optional<chosen_chain> chosen =
        choose_route(stream, avoided, prompt_tokens);
    if (!chosen && may_use_avoided)
    {
        chosen = choose_route(stream, excluded, prompt_tokens);
    }
    if (!chosen)
    {
        wait_for_chain(stream, now);
        return false;
    }
    stream.no_chain_since_.reset();
    run_attempt(stream, std::move(*chosen), prompt_tokens);
    return true;
}

void stream_service::wait_for_chain(active_stream& stream, time_point now)
{
    if (!stream.no_chain_since_)
    {
        stream.no_chain_since_ = now;
    }
    if (now - *stream.no_chain_since_ > exclusion_lifetime)
    {
        stream.state_.excluded_.clear();
    }
    stream.next_chain_retry_ = now + chain_retry_interval;
}

void stream_service::run_attempt(active_stream& stream, chosen_chain chosen,
                                 std::uint32_t prompt_tokens)
{
    time_point const now = environment_.clock_.now();
    chain_route route = std::move(chosen.route_);
    route.entry_address_ = environment_.entry_address_;
    route.service_ = stream.call_.config_->name_;
    route.prompt_tokens_ = prompt_tokens;
    route.max_tokens_ = stream.call_.request_.max_tokens_;
    route.priority_ = stream.call_.options_.priority_;
    record_request_start(selector_, route.stages_);
    stream.is_counted_ = true;
    std::vector<std::string> addresses;
    for (chain_stage const& stage : route.stages_)
    {
        addresses.push_back(stage.address_);
        on_stage_attempt(backoff_, stage.address_, now);
    }
    stream.attempt_begun_at_ = now;
    record_run(suspicion_, stream.state_.request_, stream.fingerprint_,
               addresses,
               static_cast<std::uint32_t>(stream.state_.tokens_.size()));
    step_frame frame =
        begin_attempt(stream.state_, std::move(route), chosen.version_, now);
    stream.has_started_ = true;
    if (!environment_.bus_.send(addresses.front(), std::move(frame)))
    {
        apply(stream, on_stage_lost(stream.state_, addresses.front(),
                                    retry_reason::stage_died, now));
    }
}

void stream_service::apply(active_stream& stream, stream_actions const& actions)
{
    for (stream_action const& action : actions)
    {
        std::visit([this, &stream](auto const& each) { execute(stream, each); },
                   action);
    }
}

void stream_service::execute(active_stream& stream, deliver_token const& action)
{
    time_point const now = environment_.clock_.now();
    admission_state& admission = limits_of(*stream.call_.config_).admission_;
    std::string const label = metric_label("service", stream.head_.model_);
    if (action.index_ == 0)
    {
        deliver_first_token(stream);
    }
    else
    {
        on_token_interval(admission, now - stream.last_token_at_);
        environment_.metrics_.observe("auburnlb_token_interval_seconds", label,
                                      now - stream.last_token_at_);
    }
    stream.last_token_at_ = now;
    environment_.metrics_.add("auburnlb_tokens_total", label);
    suspicion_update update =
        on_progress(suspicion_, stream.state_.request_, action.index_);
    if (!update.crashes_.empty())
    {
        environment_.broadcast_(std::move(update));
    }
    if (stream.call_.request_.is_stream_)
    {
        stream.call_.reply_->write(
            format_stream_event(stream.head_, action.index_, action.text_));
        if (stream.call_.reply_->unsent_bytes() > max_unsent_bytes)
        {
            on_caller_disconnected(stream.state_.request_,
                                   stream.call_.reply_.get());
            return;
        }
    }
    else
    {
        stream.text_ += action.text_;
    }
    if (action.is_end_)
    {
        finish(stream, true);
    }
}

void stream_service::deliver_first_token(active_stream& stream)
{
    time_point const now = environment_.clock_.now();
    on_first_token(limits_of(*stream.call_.config_).admission_,
                   now - stream.admitted_at_);
    environment_.metrics_.observe("auburnlb_first_token_seconds",
                                  metric_label("service", stream.head_.model_),
                                  now - stream.call_.received_at_);
    open_output(stream);
}

void stream_service::open_output(active_stream& stream)
{
    if (stream.call_.request_.is_stream_ && !stream.is_output_open_)
    {
        stream.is_output_open_ = true;
        stream.call_.reply_->begin_stream(200, stream_headers());
    }
}

void stream_service::execute(active_stream& stream,
                             restart_stream const& action)
{
    end_attempt(stream);
    environment_.metrics_.count_retry(action.reason_);
    log(log_level::info, log_event::stream_resumed,
        {{"request", to_string(stream.state_.request_)},
         {"peer", action.peer_},
         {"reason", to_string(action.reason_)},
         {"token", std::to_string(stream.state_.tokens_.size())}},
        "a new attempt continues after the tokens already sent");
    retry_budget& retries = limits_of(*stream.call_.config_).retries_;
    if (!try_spend(retries, action.reason_))
    {
        apply(stream, {fail_stream{refusal_reason::retry_budget_exhausted}});
        return;
    }
    start_attempt(stream);
}

void stream_service::execute(active_stream& /*stream*/,
                             probe_stage const& action)
{
    environment_.probe_(action.address_);
}

void stream_service::execute(active_stream& stream,
                             cancel_attempt const& action)
{
    for (std::string const& address : action.addresses_)
    {
        environment_.bus_.send(
            address, cancel_stream{stream.state_.request_, action.attempt_});
    }
}

void stream_service::execute(active_stream& stream, fail_stream const& action)
{
    run_state const state =
        stream.has_started_ ? run_state::ran : run_state::not_run;
    refuse(stream, action.reason_, state, milliseconds{0});
}

void stream_service::execute(active_stream& /*stream*/,
                             drop_frame const& /*action*/)
{
    environment_.metrics_.add("auburnlb_dropped_frames_total");
}

void stream_service::refuse(active_stream& stream, refusal_reason reason,
                            run_state state, milliseconds retry_after)
{
    if (state == run_state::ran)
    {
        log(log_level::error, log_event::stream_failed,
            {{"request", to_string(stream.state_.request_)},
             {"service", stream.call_.config_->name_},
             {"reason", to_string(reason)}},
            "an answer in progress could not be completed");
    }
    environment_.metrics_.count_refusal(reason);
    log(log_level::info, log_event::request_refused,
        {{"request", to_string(stream.state_.request_)},
         {"reason", to_string(reason)},
         {"run_state", to_string(state)}},
        "the caller receives an error response");
    std::string const message = std::string("request ") +
                                to_string(stream.state_.request_) +
                                " ended: " + to_string(reason);
    if (stream.is_output_open_)
    {
        stream.call_.reply_->write(format_stream_error(reason, state, message));
        stream.call_.reply_->end_stream();
    }
    else
    {
        std::optional<seconds> wait;
        if (retry_after > milliseconds{0})
        {
            wait = std::chrono::ceil<seconds>(retry_after);
        }
        stream.call_.reply_->send(format_error(reason, state, message, wait));
    }
    finish(stream, false);
}

void stream_service::finish(active_stream& stream, bool is_complete)
{
    time_point const now = environment_.clock_.now();
    request_id const id = stream.state_.request_;
    admission_state& admission = limits_of(*stream.call_.config_).admission_;
    if (is_complete)
    {
        auto const count =
            static_cast<std::uint32_t>(stream.state_.tokens_.size());
        finish_reason const reason = count >= stream.call_.request_.max_tokens_
                                         ? finish_reason::length
                                         : finish_reason::stop;
        token_usage const usage{count_words(stream.state_.prompt_),
                                stream.cached_tokens_, count};
        if (stream.call_.request_.is_stream_)
        {
            stream.call_.reply_->write(
                format_stream_end(stream.head_, count, reason, usage));
            stream.call_.reply_->end_stream();
        }
        else
        {
            stream.call_.reply_->send(
                format_completion(stream.head_, stream.text_, reason, usage));
        }
        environment_.metrics_.add("auburnlb_answers_total",
                                  metric_label("service", stream.head_.model_));
    }
    stream.state_.is_ended_ = true;
    end_attempt(stream);
    suspicion_update update = on_run_end(suspicion_, id, is_complete);
    if (!update.crashes_.empty())
    {
        environment_.broadcast_(std::move(update));
    }
    if (stream.is_admitted_)
    {
        stream.is_admitted_ = false;
        double const cost =
            std::min<double>(stream.token_cost_,
                             static_cast<double>(stream.state_.tokens_.size()));
        on_finish(admission, stream.ticket_, cost, now - stream.admitted_at_);
    }
    else
    {
        on_caller_disconnect(admission, stream.ticket_);
    }
    ended_.push_back(stream.ticket_);
}

void stream_service::end_attempt(active_stream& stream)
{
    if (stream.is_counted_)
    {
        stream.is_counted_ = false;
        record_request_end(selector_, stream.state_.route_.stages_);
    }
}

void stream_service::on_caller_disconnected(request_id const& request,
                                            http_reply const* closed)
{
    active_stream* const stream = find(request);
    // A caller that reconnected has another reply object by now.
    if (stream == nullptr || stream->call_.reply_.get() != closed)
    {
        return;
    }
    if (stream->call_.options_.idempotency_key_ && stream->has_started_)
    {
        stream->phase_ = active_stream::caller_phase::disconnected;
        stream->phase_end_ =
            environment_.clock_.now() + environment_.resume_grace_;
        return;
    }
    cancel(*stream);
}

void stream_service::cancel(active_stream& stream)
{
    environment_.metrics_.add("auburnlb_cancelled_total");
    log(log_level::info, log_event::stream_cancelled,
        {{"request", to_string(stream.state_.request_)}},
        "the caller disconnected");
    apply(stream, abandon(stream.state_));
    finish(stream, false);
}

stream_service::active_stream* stream_service::find(request_id const& request)
{
    auto const ticket = tickets_.find(request);
    if (ticket == tickets_.end())
    {
        return nullptr;
    }
    auto const found = streams_.find(ticket->second);
    return found == streams_.end() || found->second->state_.is_ended_
               ? nullptr
               : found->second.get();
}

void stream_service::on_token(token_frame const& frame)
{
    active_stream* const stream = find(frame.request_);
    if (stream == nullptr)
    {
        environment_.metrics_.add("auburnlb_dropped_frames_total");
        return;
    }
    if (!stream->state_.route_.stages_.empty())
    {
        on_load_report(selector_, stream->state_.route_.stages_.back().address_,
                       frame.load_);
    }
    if (frame.attempt_ == stream->state_.attempt_)
    {
        for (chain_stage const& stage : stream->state_.route_.stages_)
        {
            on_stage_progress(backoff_, stage.address_,
                              stream->attempt_begun_at_);
        }
    }
    stream->cached_tokens_ += frame.cached_tokens_;
    apply(*stream,
          auburnlb::on_token(stream->state_, frame, environment_.clock_.now()));
    run_housekeeping();
}

void stream_service::on_refusal(step_refusal const& refusal)
{
    active_stream* const stream = find(refusal.request_);
    // A stream that waits for a chain has given up its last attempt, of which
    // other stages may report the end as well.
    if (stream != nullptr && !stream->no_chain_since_)
    {
        time_point const now = environment_.clock_.now();
        record_failure(*stream, refusal, now);
        apply(*stream, auburnlb::on_refusal(stream->state_, refusal, now));
    }
    run_housekeeping();
}

void stream_service::record_failure(active_stream const& stream,
                                    step_refusal const& refusal, time_point now)
{
    if (refusal.attempt_ != stream.state_.attempt_)
    {
        return;
    }
    if (refusal.reason_ == refusal_reason::engine_failed)
    {
        on_stage_failure(backoff_, refusal.stage_address_,
                         stage_failure::engine_failed, stream.attempt_begun_at_,
                         now);
    }
    else if (refusal.reason_ == refusal_reason::engine_full)
    {
        on_stage_failure(backoff_, refusal.stage_address_,
                         stage_failure::engine_full, stream.attempt_begun_at_,
                         now);
    }
}

void stream_service::on_peer_lost(std::string const& address,
                                  incarnation_id incarnation,
                                  retry_reason reason)
{
    time_point const now = environment_.clock_.now();
    forget_stage(backoff_, address);
    // A companion survives a crash of its engine and reports it. The loss of
    // the companion itself means that its host or rack failed, which is no
    // evidence against the requests: a loss of two hosts at once must not
    // cause their refusal.
    if (reason == retry_reason::engine_failed)
    {
        suspicion_update update = on_endpoint_lost(suspicion_, address, now);
        if (!update.crashes_.empty())
        {
            environment_.broadcast_(std::move(update));
        }
    }
    for (auto& [sequence, stream] : streams_)
    {
        auto const& stages = stream->state_.route_.stages_;
        bool const uses_stage =
            std::any_of(stages.begin(), stages.end(),
                        [&](chain_stage const& stage) {
                            return stage.address_ == address &&
                                   stage.incarnation_ == incarnation;
                        });
        if (uses_stage && stream->is_counted_)
        {
            apply(*stream, on_stage_lost(stream->state_, address, reason, now));
        }
    }
    run_housekeeping();
}

void stream_service::on_peer_answered(std::string const& address,
                                      incarnation_id incarnation)
{
    time_point const now = environment_.clock_.now();
    for (auto& [sequence, stream] : streams_)
    {
        if (stream->state_.is_probing_)
        {
            apply(*stream,
                  on_probe_reply(stream->state_, address, incarnation, now));
        }
    }
    run_housekeeping();
}

void stream_service::on_suspicion(suspicion_update const& update)
{
    merge_suspicion(suspicion_, update, environment_.clock_.now());
}

suspicion_update stream_service::suspicions() const
{
    return current_suspicions(suspicion_, environment_.clock_.now());
}

void stream_service::on_tick()
{
    time_point const now = environment_.clock_.now();
    for (auto& [ticket, stream] : streams_)
    {
        if (!stream->state_.is_ended_)
        {
            on_tick(*stream, now);
        }
    }
    expire_suspicions(suspicion_, now);
    forget_recovered_stages(backoff_, now);
    run_housekeeping();
}

void stream_service::on_tick(active_stream& stream, time_point now)
{
    using caller_phase = active_stream::caller_phase;
    bool const is_phase_over =
        stream.phase_ != caller_phase::connected && now >= stream.phase_end_;
    if (is_phase_over && stream.phase_ == caller_phase::adopting)
    {
        refuse(stream, refusal_reason::stream_lost, run_state::ran,
               milliseconds{0});
        return;
    }
    if (is_phase_over)
    {
        cancel(stream);
        return;
    }
    if (!stream.no_chain_since_)
    {
        apply(stream, auburnlb::on_tick(stream.state_, now));
        return;
    }
    if (now >= stream.state_.deadline_)
    {
        refuse(stream, refusal_reason::no_chain,
               stream.has_started_ ? run_state::ran : run_state::not_run,
               seconds{1});
    }
    else if (now >= stream.next_chain_retry_)
    {
        start_attempt(stream);
    }
}

void stream_service::run_housekeeping()
{
    for (auto& [name, limits] : services_)
    {
        apply_admission(
            auburnlb::on_tick(limits->admission_, environment_.clock_.now()));
    }
    for (std::uint64_t const ticket : ended_)
    {
        auto const ended = streams_.find(ticket);
        if (ended != streams_.end())
        {
            tickets_.erase(ended->second->state_.request_);
            streams_.erase(ended);
        }
    }
    ended_.clear();
}

std::size_t stream_service::in_progress() const
{
    return streams_.size();
}

} // namespace auburnlb
