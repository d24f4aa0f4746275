// Implementation of call_service.
#include "auburnlb/entry/call_service.hpp"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// Interval between probes of an endpoint while it handles a call.
constexpr milliseconds probe_interval{250};

/// Added to the sequence numbers of calls, so that they differ from those of
/// streams.
constexpr std::uint64_t call_sequence_base = 1ULL << 63U;

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

/// Returns false for header fields that concern one connection or this load
/// balancer.
bool is_forwarded(std::string const& name)
{
    static std::set<std::string> const not_forwarded{
        "authorization",       "connection", "content-length", "host",
        "transfer-encoding",   "keep-alive", "upgrade",        "te",
        "x-request-timeout-ms"};
    return !not_forwarded.contains(to_lower(name));
}

http_headers forwarded_headers(http_headers const& headers)
{
    http_headers kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
                 [](auto const& field) { return is_forwarded(field.first); });
    return kept;
}

} // namespace

struct call_service::active_call
{
    plain_call call_;
    call_state state_;
    std::string key_;
    /// Endpoint at which the attempt is counted as in progress; empty if none.
    std::string counted_endpoint_;
    /// When its endpoint is probed next.
    time_point next_probe_{};
};

call_service::call_service(message_bus& bus, metrics_registry& metrics,
                           snapshot_cell<routing_view> const& view,
                           clock_source const& clock, std::string entry_address,
                           incarnation_id incarnation,
                           std::function<void(std::string const&)> probe)
    : bus_(bus)
    , metrics_(metrics)
    , view_(view)
    , clock_(clock)
    , entry_address_(std::move(entry_address))
    , incarnation_(incarnation)
    , probe_(std::move(probe))
    , selector_(make_selector_state(incarnation))
{
}

call_service::~call_service() = default;

void call_service::submit(plain_call call)
{
    service_config const& config = *call.config_;
    std::optional<std::string> const& key = call.options_.idempotency_key_;
    auto active = std::make_unique<active_call>();
    std::uint64_t const sequence = call_sequence_base + ++last_sequence_;
    active->state_.request_ = {incarnation_, sequence};
    active->state_.kind_ =
        call.is_lookup_
            ? call_kind::keyed
            : classify_call(config, call.method_, call.path_, key.has_value());
    active->state_.deadline_ =
        call.received_at_ +
        call.options_.timeout_.value_or(config.default_deadline_);
    bool const is_missing =
        call.is_lookup_
            ? !key
            : is_key_missing(config, call.method_, call.path_, key.has_value());
    if (key)
    {
        active->key_ = call.workspace_ + "/" + *key;
    }
    metrics_.add("auburnlb_calls_total", "service=\"" + config.name_ + "\"");
    auto const [budget, is_new] = retries_.try_emplace(config.name_);
    if (is_new)
    {
        budget->second = make_retry_budget(config.retry_ratio_);
    }
    on_request_begun(budget->second);
    active->call_ = std::move(call);
    active_call& added = *active;
    calls_.emplace(sequence, std::move(active));
    if (is_missing)
    {
        reply_error(added, refusal_reason::key_required, run_state::not_run);
    }
    else
    {
        apply(added, begin_call(added.state_));
    }
    remove_ended_calls();
}

void call_service::apply(active_call& call, call_actions const& actions)
{
    for (call_action const& action : actions)
    {
        if (auto const* const routing = std::get_if<route_call>(&action))
        {
            if (allow_retry(call, *routing))
            {
                route(call);
            }
        }
        else if (auto const* const done = std::get_if<finish_call>(&action))
        {
            http_response response{done->reply_.status_,
                                   forwarded_headers(done->reply_.headers_),
                                   done->reply_.body_};
            if (done->reply_.is_replay_)
            {
                response.headers_.emplace_back("Idempotent-Replayed", "true");
            }
            call.call_.reply_->send(std::move(response));
            finish(call);
        }
        else
        {
            auto const& failed = std::get<fail_call>(action);
            reply_error(call, failed.reason_, failed.run_state_);
        }
    }
}

/// Returns true if the call may be sent; otherwise replies with an error.
/// Retries of keyed calls don't count against the retry budget, because such a
/// call runs at most once however often it is sent.
bool call_service::allow_retry(active_call& call, route_call const& action)
{
    if (!action.reason_)
    {
        return true;
    }
    metrics_.count_retry(*action.reason_);
    if (call.state_.kind_ == call_kind::keyed ||
        try_spend(retries_[call.call_.config_->name_], *action.reason_))
    {
        return true;
    }
    call.state_.is_ended_ = true;
    reply_error(call, refusal_reason::retry_budget_exhausted,
                call.state_.may_have_run_ ? run_state::unknown
                                          : run_state::not_run);
    return false;
}

void call_service::route(active_call& call)
{
    std::string const& service = call.call_.config_->name_;
    if (call.state_.kind_ == call_kind::keyed)
    {
        auto const table = tables_.find(service);
        shard_owner_entry const owner =
            table == tables_.end() ? shard_owner_entry{}
                                   : owner_of(table->second, call.key_);
        send(call, owner.address_, owner.log_.incarnation_);
        return;
    }
    std::optional<endpoint_description> const chosen = view_.read(
        [&](routing_view const& view)
        {
            return choose_endpoint(view.plan_, service, selector_,
                                   call.state_.excluded_);
        });
    send(call, chosen ? chosen->address_ : std::string(),
         chosen ? chosen->incarnation_ : 0);
}

void call_service::send(active_call& call, std::string const& address,
                        incarnation_id incarnation)
{
    time_point const now = clock_.now();
    if (address.empty())
    {
        apply(call, on_call_not_sent(call.state_, address, now));
        return;
    }
    call_request request;
    request.request_ = call.state_.request_;
    request.reply_to_ = entry_address_;
    request.service_ = call.call_.config_->name_;
    request.service_version_ = call.call_.config_->version_;
    request.target_incarnation_ = incarnation;
    request.method_ = call.call_.method_;
    request.path_ = call.call_.path_;
    request.headers_ = forwarded_headers(call.call_.headers_);
    request.body_ = call.call_.body_;
    request.idempotency_key_ = call.key_;
    request.is_idempotent_ = call.state_.kind_ == call_kind::idempotent;
    request.is_lookup_ = call.call_.is_lookup_;
    request.timeout_ms_ = static_cast<std::uint32_t>(std::max<std::int64_t>(
        1, std::chrono::duration_cast<milliseconds>(call.state_.deadline_ - now)
               .count()));
    if (!bus_.send(address, std::move(request)))
    {
        apply(call, on_call_not_sent(call.state_, address, now));
        return;
    }
    on_call_sent(call.state_, address, incarnation);
    end_attempt(call);
    call.counted_endpoint_ = address;
    call.next_probe_ = now + probe_interval;
    record_request_start(selector_, address);
}

void call_service::end_attempt(active_call& call)
{
    if (!call.counted_endpoint_.empty())
    {
        record_request_end(selector_, call.counted_endpoint_);
        call.counted_endpoint_.clear();
    }
}

void call_service::on_reply(call_reply const& reply)
{
    auto const found = calls_.find(reply.request_.sequence_);
    if (reply.request_.entry_ != incarnation_ || found == calls_.end())
    {
        metrics_.add("auburnlb_dropped_frames_total");
        return;
    }
    active_call& call = *found->second;
    if (!call.counted_endpoint_.empty())
    {
        on_load_report(selector_, call.counted_endpoint_, reply.load_);
    }
    end_attempt(call);
    apply(call, on_call_reply(call.state_, reply, clock_.now()));
    remove_ended_calls();
}

void call_service::on_peer_lost(std::string const& address,
                                incarnation_id incarnation, retry_reason reason)
{
    for (auto& [sequence, call] : calls_)
    {
        apply(*call, on_call_peer_lost(call->state_, address, incarnation,
                                       reason, clock_.now()));
    }
    remove_ended_calls();
}

void call_service::on_peer_answered(std::string const& address,
                                    incarnation_id incarnation)
{
    for (auto& [sequence, call] : calls_)
    {
        apply(*call, on_call_peer_answered(call->state_, address, incarnation,
                                           clock_.now()));
    }
    remove_ended_calls();
}

void call_service::on_claim_table(std::string const& service,
                                  std::string const& json)
{
    result<claim_table> table = table_from_json(json);
    if (!table)
    {
        log(log_level::error, log_event::configuration_rejected,
            {{"service", service}}, to_string(table.error()));
        return;
    }
    tables_[service] = std::move(table).value();
}

void call_service::reply_error(active_call& call, refusal_reason reason,
                               run_state state)
{
    metrics_.count_refusal(reason);
    log(log_level::info, log_event::request_refused,
        {{"request", to_string(call.state_.request_)},
         {"reason", to_string(reason)},
         {"run_state", to_string(state)}},
        "the caller receives an error response");
    call.call_.reply_->send(format_error(
        reason, state,
        "call of " + call.call_.config_->name_ + " ended: " + to_string(reason),
        state == run_state::not_run ? std::optional<seconds>(1)
                                    : std::nullopt));
    finish(call);
}

void call_service::finish(active_call& call)
{
    call.state_.is_ended_ = true;
    end_attempt(call);
    ended_.push_back(call.state_.request_.sequence_);
}

void call_service::on_tick()
{
    for (auto& [sequence, call] : calls_)
    {
        if (!call->counted_endpoint_.empty() &&
            clock_.now() >= call->next_probe_)
        {
            call->next_probe_ = clock_.now() + probe_interval;
            probe_(call->counted_endpoint_);
        }
        apply(*call, on_call_tick(call->state_, clock_.now()));
    }
    remove_ended_calls();
}

void call_service::remove_ended_calls()
{
    for (std::uint64_t const sequence : ended_)
    {
        calls_.erase(sequence);
    }
    ended_.clear();
}

std::size_t call_service::in_progress() const
{
    return calls_.size();
}

} // namespace auburnlb
