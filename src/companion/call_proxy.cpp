// Implementation of call_proxy: calls, actions of the shard owner, and the
// proxy's thread.
#include "call_proxy_impl.hpp"

#include <algorithm>

#include "auburnlb/state/log.hpp"

namespace auburnlb
{
namespace
{

constexpr milliseconds min_wait{1};
constexpr milliseconds max_wait{50};

} // namespace

put_status to_put_status(result<std::uint64_t> const& response)
{
    if (response)
    {
        return put_status::created;
    }
    switch (response.error().code_)
    {
    case error_code::conflict:
        return put_status::conflict;
    case error_code::unreachable:
    case error_code::refused:
        return put_status::not_sent;
    default:
        return put_status::lost;
    }
}

// The proxy's thread.

time_point call_proxy::impl::next_wake() const
{
    time_point const now = clock_.now();
    time_point wake = now + max_wait;
    if (owner_)
    {
        if (auto const due = auburnlb::next_wake(*owner_))
        {
            wake = std::min(wake, *due);
        }
    }
    return std::max(wake, now + min_wait);
}

void call_proxy::impl::run()
{
    std::unique_lock lock(mutex_);
    while (!is_stopped_)
    {
        if (!listed_log_)
        {
            wake_up_.wait_for(lock, next_wake() - clock_.now());
        }
        auto const listed = std::exchange(listed_log_, std::nullopt);
        lock.unlock();
        if (listed)
        {
            parse_listed_log(*listed);
        }
        run_locked([this] { on_tick(); });
        lock.lock();
    }
}

void call_proxy::impl::on_tick()
{
    if (!ensure_owner())
    {
        return;
    }
    handle_event(claim_event{tick{}});
    if (clock_.now() >= next_table_check_)
    {
        run_maintenance();
    }
}

// Calls.

load_report call_proxy::impl::load() const
{
    load_report report;
    report.active_ = static_cast<std::uint32_t>(in_progress_);
    report.queued_ =
        owner_ ? static_cast<std::uint32_t>(owner_->queue_.size()) : 0;
    report.step_time_us_ = static_cast<std::uint32_t>(call_time_us_);
    return report;
}

void call_proxy::impl::send_reply(call_request const& call, call_reply reply)
{
    reply.request_ = call.request_;
    reply.load_ = load();
    outbox_.emplace_back(call.reply_to_, std::move(reply));
}

void call_proxy::impl::refuse(call_request const& call, refusal_reason reason,
                              run_state state)
{
    metrics_.count_refusal(reason);
    call_reply reply;
    reply.reason_ = reason;
    reply.run_state_ = state;
    send_reply(call, std::move(reply));
}

void call_proxy::impl::on_call(call_request call)
{
    bool const is_stale = call.target_incarnation_ != 0 &&
                          call.target_incarnation_ != options_.incarnation_;
    if (is_stale)
    {
        refuse(call, refusal_reason::stale_incarnation, run_state::not_run);
        return;
    }
    bool const is_known =
        owner_ && !call.idempotency_key_.empty() &&
        owner_->records_.contains(make_key_id(call.idempotency_key_));
    if (leaving_since_ && !call.is_lookup_ && !is_known)
    {
        refuse(call, refusal_reason::endpoint_leaving, run_state::not_run);
        return;
    }
    if (!call.is_lookup_ && in_progress_ >= options_.max_in_progress_)
    {
        refuse(call, refusal_reason::overloaded, run_state::not_run);
        return;
    }
    bool const is_unclaimed =
        call.is_idempotent_ || call.idempotency_key_.empty();
    if (is_unclaimed && !call.is_lookup_)
    {
        send_unclaimed(std::move(call));
        return;
    }
    if (!ensure_owner())
    {
        refuse(call, refusal_reason::not_shard_home,
               call.is_lookup_ ? run_state::unknown : run_state::not_run);
        return;
    }
    call_arrived const event{
        call.request_, call.idempotency_key_,
        fingerprint_of(call.method_, call.path_, call.body_),
        clock_.now() + milliseconds{call.timeout_ms_}, call.is_lookup_};
    keyed_calls_.insert_or_assign(call.request_, std::move(call));
    handle_event(claim_event{event});
}

/// Sends one HTTP request and records its duration. on_response runs under the
/// lock.
void call_proxy::impl::send_to_endpoint(
    call_request const& call, milliseconds timeout,
    std::function<void(impl&, result<http_response>&)> on_response)
{
    ++in_progress_;
    http_request request;
    request.method_ = call.method_;
    request.url_ = options_.endpoint_url_ + call.path_;
    request.headers_ = call.headers_;
    request.body_ = call.body_;
    request.timeout_ = std::max(timeout, min_wait);
    request.may_reuse_connection_ = false;
    time_point const started = clock_.now();
    http_.send(std::move(request),
               locked_handler<http_response>(
                   [started, on_response = std::move(on_response)](
                       impl& self, result<http_response>& response)
                   {
                       --self.in_progress_;
                       nanoseconds const elapsed = self.clock_.now() - started;
                       constexpr double weight = 0.1;
                       auto const elapsed_us =
                           std::chrono::duration<double, std::micro>(elapsed);
                       self.call_time_us_ +=
                           weight * (elapsed_us.count() - self.call_time_us_);
                       self.metrics_.observe("auburnlb_endpoint_call_seconds",
                                             {}, elapsed);
                       on_response(self, response);
                   }));
}

void call_proxy::impl::send_unclaimed(call_request call)
{
    milliseconds const timeout{call.timeout_ms_};
    call_request const sent = call;
    send_to_endpoint(
        sent, timeout,
        [call = std::move(call)](impl& self, result<http_response>& response)
        {
            if (!response)
            {
                bool const is_not_sent =
                    response.error().code_ == error_code::unreachable;
                self.refuse(call,
                            is_not_sent ? refusal_reason::no_endpoint
                                        : refusal_reason::call_outcome_unknown,
                            is_not_sent ? run_state::not_run
                                        : run_state::unknown);
                return;
            }
            call_reply reply;
            reply.status_ = response.value().status_;
            reply.headers_ = std::move(response.value().headers_);
            reply.body_ = std::move(response.value().body_);
            reply.run_state_ = run_state::ran;
            self.send_reply(call, std::move(reply));
        });
}

void call_proxy::impl::send_claimed(run_call const& run)
{
    call_request const& call = keyed_calls_.at(run.request_);
    send_to_endpoint(
        call, milliseconds{call.timeout_ms_},
        [key = run.key_](impl& self, result<http_response>& response)
        {
            call_finished finished{key, call_status::lost, nullptr};
            if (response)
            {
                finished.status_ = call_status::responded;
                finished.outcome_ = std::make_shared<call_outcome const>(
                    call_outcome{response.value().status_,
                                 std::move(response.value().headers_),
                                 std::move(response.value().body_)});
            }
            else if (response.error().code_ == error_code::unreachable)
            {
                finished.status_ = call_status::not_sent;
            }
            self.handle_event(claim_event{finished});
        });
}

void call_proxy::impl::reply_to_keyed_call(respond_to_call const& action)
{
    auto const found = keyed_calls_.find(action.request_);
    if (found == keyed_calls_.end())
    {
        return;
    }
    call_request const call = std::move(found->second);
    keyed_calls_.erase(found);
    if (!action.outcome_)
    {
        refuse(call, action.reason_, action.run_state_);
        return;
    }
    call_reply reply;
    reply.status_ = action.outcome_->status_;
    reply.headers_ = action.outcome_->headers_;
    reply.body_ = action.outcome_->body_;
    reply.run_state_ = run_state::ran;
    reply.is_replay_ = action.is_replay_;
    if (action.is_replay_)
    {
        metrics_.add("auburnlb_key_replays_total");
    }
    send_reply(call, std::move(reply));
}

// Shard owner.

/// Creates the shard owner once the service's configuration is known, and
/// updates its settings afterwards. Returns false while there is no owner.
bool call_proxy::impl::ensure_owner()
{
    auto const config = config_();
    if (owner_)
    {
        if (config)
        {
            owner_->settings_.key_lifetime_ = config->key_lifetime_;
        }
        owner_->settings_.group_interval_ =
            std::max(options_.owner_settings_.group_interval_,
                     group_interval(find_live_addresses().size(),
                                    options_.claim_writes_per_second_));
        return true;
    }
    if (!config || config->claim_shards_ == 0)
    {
        return false;
    }
    shard_owner_settings settings = options_.owner_settings_;
    settings.key_lifetime_ = config->key_lifetime_;
    owner_ = make_shard_owner(options_.service_, config->claim_shards_,
                              {options_.incarnation_, 1}, settings);
    takeover_.shard_count_ = config->claim_shards_;
    log_started_at_ = clock_.now();
    return true;
}

void call_proxy::impl::handle_event(claim_event const& event)
{
    for (auto const& action : apply(*owner_, event, clock_.now()))
    {
        execute_action(action);
    }
}

void call_proxy::impl::execute_action(claim_action const& action)
{
    if (auto const* put = std::get_if<put_segment>(&action))
    {
        execute(*put, false);
    }
    else if (auto const* read = std::get_if<read_segment>(&action))
    {
        execute(*read);
    }
    else if (auto const* run = std::get_if<run_call>(&action))
    {
        send_claimed(*run);
    }
    else if (auto const* reply = std::get_if<respond_to_call>(&action))
    {
        reply_to_keyed_call(*reply);
    }
    else if (std::holds_alternative<owner_fenced>(action))
    {
        metrics_.add("auburnlb_claim_home_fenced_total");
        log(log_level::warning, log_event::claim_home_fenced,
            {{"service", options_.service_}},
            "another process sealed this owner's claim log");
        is_table_check_due_ = true;
        next_table_check_ = clock_.now();
    }
    else if (auto const* released = std::get_if<shards_released>(&action))
    {
        released_.insert(released_.end(), released->shards_.begin(),
                         released->shards_.end());
        is_table_check_due_ = true;
        next_table_check_ = clock_.now();
    }
}

void call_proxy::impl::execute(put_segment const& action, bool is_seal)
{
    claim_segment const& segment = action.segment_;
    metrics_.add("auburnlb_claim_puts_total");
    platform_object const object{
        claim_segment_kind,
        segment_name(segment.service_, segment.log_, segment.number_), 0,
        to_json(segment), false};
    platform_.put(
        object, 0,
        locked_handler<std::uint64_t>(
            [is_seal, number = segment.number_](
                impl& self, result<std::uint64_t> const& response)
            {
                put_status const status = to_put_status(response);
                if (!response && status != put_status::conflict)
                {
                    self.metrics_.add("auburnlb_claim_put_failures_total");
                    log(log_level::warning, log_event::claim_write_failed,
                        {{"service", self.options_.service_}},
                        to_string(response.error()));
                }
                if (is_seal)
                {
                    self.handle_event(takeover_event{seal_finished{status}});
                    return;
                }
                self.handle_event(claim_event{put_finished{number, status}});
            }));
}

void call_proxy::impl::execute(read_segment const& action)
{
    platform_.get(claim_segment_kind,
                  segment_name(options_.service_, action.log_, action.number_),
                  locked_handler<platform_object>(
                      [number = action.number_](
                          impl& self, result<platform_object> const& response)
                      {
                          segment_read read{number, false, std::nullopt};
                          if (response)
                          {
                              auto segment =
                                  segment_from_json(response.value().value_);
                              read.is_failed_ = !segment;
                              if (segment)
                              {
                                  read.segment_ = std::move(segment).value();
                              }
                          }
                          else
                          {
                              read.is_failed_ = response.error().code_ !=
                                                error_code::not_found;
                          }
                          self.handle_event(claim_event{read});
                      }));
}

// Public interface.

call_proxy::call_proxy(http_client& http, platform_client& platform,
                       call_proxy_options options, send_function send,
                       clock_source& clock, metrics_registry& metrics,
                       config_function config)
    : impl_(std::make_shared<impl>(http, platform, std::move(options),
                                   std::move(send), clock, metrics,
                                   std::move(config)))
{
    impl_->thread_ = std::thread([proxy = impl_.get()] { proxy->run(); });
}

call_proxy::~call_proxy()
{
    {
        std::lock_guard const lock(impl_->mutex_);
        impl_->is_stopped_ = true;
    }
    impl_->wake_up_.notify_all();
    impl_->thread_.join();
}

void call_proxy::on_call(call_request call)
{
    impl_->run_locked([&] { impl_->on_call(std::move(call)); });
}

void call_proxy::on_fleet_update(
    std::vector<endpoint_description> const& endpoints)
{
    impl_->run_locked([&] { impl_->on_fleet_update(endpoints); });
}

void call_proxy::begin_leaving()
{
    impl_->run_locked(
        [&]
        {
            if (impl_->leaving_since_)
            {
                return;
            }
            impl_->leaving_since_ = impl_->clock_.now();
            if (impl_->owner_)
            {
                impl_->release_all_shards();
            }
        });
}

bool call_proxy::is_idle() const
{
    std::lock_guard const lock(impl_->mutex_);
    if (impl_->in_progress_ > 0 || !impl_->keyed_calls_.empty())
    {
        return false;
    }
    if (!impl_->leaving_since_ || !impl_->owner_)
    {
        return true;
    }
    auto const& shards = impl_->owner_->shards_;
    bool const is_handed_over =
        impl_->released_.empty() &&
        std::all_of(shards.begin(), shards.end(),
                    [](auto ownership)
                    { return ownership == shard_ownership::none; });
    return is_handed_over || impl_->clock_.now() - *impl_->leaving_since_ >=
                                 impl_->options_.state_transfer_timeout_;
}

load_report call_proxy::load() const
{
    std::lock_guard const lock(impl_->mutex_);
    return impl_->load();
}

std::size_t call_proxy::owned_shard_count() const
{
    std::lock_guard const lock(impl_->mutex_);
    if (!impl_->owner_)
    {
        return 0;
    }
    auto const& shards = impl_->owner_->shards_;
    return static_cast<std::size_t>(
        std::count(shards.begin(), shards.end(), shard_ownership::owned));
}

} // namespace auburnlb
