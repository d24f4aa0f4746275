// Set-up, timers and planned stop of a router.
#include "auburnlb/router/router.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "auburnlb/router/forwarded_request.hpp"
#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// Resolution of timeouts.
constexpr milliseconds tick_interval{10};

/// Interval of checks that need less precision, such as those of idle
/// connections.
constexpr milliseconds slow_tick_interval{100};

/// After a suspension of this length, pooled connections may be dead.
constexpr milliseconds min_suspension{500};

} // namespace

router::router(asio::io_context& io, clock_source const& clock,
               platform_protocol const& protocol, router_options options)
    : core_(io, clock, protocol, std::move(options))
    , configuration_feed_(
          core_.http_client_, protocol, clock, core_.options_.store_address_,
          protocol.kind_name_(store_kind::configuration),
          core_.options_.store_loss_detection_, configuration_handlers())
    , endpoint_feed_(core_.http_client_, protocol, clock,
                     core_.options_.store_address_,
                     protocol.kind_name_(store_kind::endpoints),
                     core_.options_.store_loss_detection_, endpoint_handlers())
    , peers_(core_, core_.http_client_, exchange_handlers())
    , retries_(core_, core_.http_client_,
               [this] { return peers_.responding_routers(); })
    , placement_(core_, core_.http_client_)
    , crash_store_(core_, core_.http_client_)
    , registration_(core_, core_.http_client_,
                    [this](nlohmann::json const& value)
                    { add_listed_router(value); })
    , caller_listener_(io, [this](asio::ip::tcp::socket socket)
                       { on_accepted(std::move(socket)); })
    , ready_server_(io, clock,
                    [this](http_head const&, std::string const&)
                    {
                        return local_response{is_ready() ? status_ok
                                                         : status_unavailable,
                                              "text/plain", ""};
                    })
    , control_server_(io, clock,
                      [this](http_head const& head, std::string const& body)
                      { return handle_control_request(head, body); })
    , timer_(io)
{
    configuration_feed_.stagger_with(endpoint_feed_);
    endpoint_feed_.stagger_with(configuration_feed_);
}

router::~router()
{
    core_.active_.clear();
}

result<void> router::start()
{
    if (auto opened = caller_listener_.open(core_.options_.callers_address_);
        !opened)
    {
        return opened.error();
    }
    if (auto opened = ready_server_.open(core_.options_.ready_address_);
        !opened)
    {
        return opened.error();
    }
    if (auto opened = control_server_.open(core_.options_.control_address_);
        !opened)
    {
        return opened.error();
    }
    core_.prober_.set_handlers(
        {[this](std::string const& run) { on_run_ended(run); },
         [this](std::string const& run, time_point asked_at)
         {
             count_resolved_runs(
                 "answered",
                 dismiss_runs(core_.interrupted_runs_, run, asked_at));
         },
         [this](std::string const& run, time_point asked_at)
         {
             record_answer(core_.interrupted_runs_, run, asked_at);
         }});
    // A restarted router must not repeat the revisions of the previous process.
    core_.crash_causes_.revision_ = static_cast<std::uint64_t>(
        core_.clock_.now().time_since_epoch() / milliseconds(1));
    core_.on_crash_ =
        [this](std::string const& endpoint_run, endpoint_crash const& crash)
    {
        on_crash(endpoint_run, crash);
    };
    last_tick_ = core_.clock_.now();
    pauses_.last_tick_ = last_tick_;
    last_steady_ = std::chrono::steady_clock::now();
    publish_watch_role();
    schedule_tick();
    on_tick();
    return boost::outcome_v2::success();
}

void router::reload(router_options const& options)
{
    core_.options_.retries_ = options.retries_;
    core_.options_.stop_limit_ = options.stop_limit_;
    core_.options_.body_stall_ = options.body_stall_;
    core_.options_.max_connections_ = options.max_connections_;
    for (std::string const& seed : options.seeds_)
    {
        peers_.add_peer(seed, "");
    }
    log(log_level::info, log_event::settings_reloaded, {},
        "the settings were reloaded");
}

void router::begin_stop()
{
    if (std::exchange(core_.is_stopping_, true))
    {
        return;
    }
    time_point const now = core_.clock_.now();
    // The platform counts from the signal, which may have come during a pause.
    core_.stop_ = {earliest_arrival(pauses_, now), core_.options_.stop_limit_};
    placement_.release(now);
    log(log_level::info, log_event::process_stopping,
        {{"requests", std::to_string(core_.active_.size())}},
        "a planned stop begins");
}

void router::check_stop(time_point now)
{
    if (!core_.is_stopping_ || pauses_.has_just_ended_)
    {
        return;
    }
    end_requests_for_stop(now);
    bool const is_done = is_notice_over(core_.stop_, now) && has_finished();
    if (is_done || now >= process_end(core_.stop_))
    {
        log_stop();
        core_.io_.stop();
    }
}

void router::end_requests_for_stop(time_point now)
{
    auto const active = core_.active_;
    for (auto const& each : active)
    {
        if (auto const ending = each->end_for_stop(now))
        {
            ++stop_endings_[*ending];
            core_.metrics_.add("auburnlb_router_ended_by_stop_total",
                               std::string("ending=\"") + to_string(*ending) +
                                   "\"");
        }
    }
}

bool router::has_finished() const
{
    return core_.active_.empty() && connections_.empty() &&
           std::none_of(closing_connections_.begin(),
                        closing_connections_.end(),
                        [](std::shared_ptr<caller_connection> const& each)
                        { return each->is_writing(); });
}

void router::close_idle_connections(time_point now)
{
    forget_closed_connections();
    auto const connections = connections_;
    for (auto const& each : connections)
    {
        each->on_tick(now);
    }
}

void router::log_stop() const
{
    auto const count = [this](stop_ending ending)
    {
        auto const found = stop_endings_.find(ending);
        return std::to_string(found == stop_endings_.end() ? 0 : found->second);
    };
    log(log_level::info, log_event::process_stopped,
        {{"requests", std::to_string(core_.active_.size())},
         {"resting", std::to_string(std::count_if(
                         connections_.begin(), connections_.end(),
                         [](std::shared_ptr<caller_connection> const& each)
                         { return each->is_idle(); }))},
         {"unread", std::to_string(std::count_if(
                        connections_.begin(), connections_.end(),
                        [](std::shared_ptr<caller_connection> const& each)
                        { return each->has_unread_bytes(); }))},
         {"refused", count(stop_ending::refuse)},
         {"unknown", count(stop_ending::respond_unknown)},
         {"broken_off", count(stop_ending::abort_response)}},
        "the router has stopped");
}

void router::schedule_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](asio::error_code const& failure)
        {
            if (!failure)
            {
                schedule_tick();
                on_tick();
            }
        });
}

void router::detect_suspension(time_point now)
{
    auto const steady = std::chrono::steady_clock::now();
    nanoseconds const missed = (now - last_tick_) - (steady - last_steady_);
    last_tick_ = now;
    last_steady_ = steady;
    if (missed < min_suspension)
    {
        return;
    }
    log(log_level::warning, log_event::clock_jumped,
        {{"missed_ms",
          std::to_string(
              std::chrono::duration_cast<milliseconds>(missed).count())}},
        "the process was suspended; idle connections are closed");
    core_.pool_.close_all_idle();
}

void router::on_tick()
{
    time_point const now = core_.clock_.now();
    has_no_connection_left_ = false;
    record_tick(pauses_, now);
    detect_suspension(now);
    core_.pool_.on_tick(now);
    core_.http_client_.on_tick(now);
    update_watch_role(now);
    configuration_feed_.on_tick(now);
    endpoint_feed_.on_tick(now);
    peers_.on_tick(now);
    drop_missing_endpoints(now);
    placement_.on_tick(now);
    auto const active = core_.active_;
    for (auto const& each : active)
    {
        each->on_tick(now);
    }
    retries_.on_tick(now);
    start_waiting_requests(now);
    check_stop(now);
    flush_log();
    if (now < next_slow_tick_)
    {
        return;
    }
    next_slow_tick_ = now + slow_tick_interval;
    for (endpoint_record const& each : take_confirmed(core_.directory_, now))
    {
        on_record(each, record_age::newest);
    }
    close_idle_connections(now);
    probe_interrupted_runs();
    count_resolved_runs("expired",
                        expire_interrupted_runs(core_.interrupted_runs_, now));
    expire_crash_causes(core_.crash_causes_, now);
    crash_store_.on_tick(now);
    apply_refused_traits();
    ready_server_.on_tick(now);
    control_server_.on_tick(now);
    registration_.on_tick(now);
    update_gauges();
}

void router::drop_missing_endpoints(time_point now)
{
    for (endpoint_ptr const& each : expire_missing(core_.directory_, now))
    {
        core_.pool_.close_idle(each->record_.address_);
        log(log_level::info, log_event::peer_lost,
            {{"peer", each->record_.id_}, {"reason", "not listed"}},
            "an endpoint is still missing after the platform's recovery");
    }
}

void router::update_gauges()
{
    core_.metrics_.set_gauge("auburnlb_router_active_requests", "",
                             static_cast<double>(core_.active_.size()));
    core_.metrics_.set_gauge("auburnlb_router_routers", "",
                             core_.router_count_);
    core_.metrics_.set_gauge(
        "auburnlb_router_oversized_replies", "",
        static_cast<double>(core_.http_client_.oversized_replies()));
    for (auto const& [name, service] : core_.services_)
    {
        core_.metrics_.set_gauge(
            "auburnlb_router_waiting_requests", "service=\"" + name + "\"",
            static_cast<double>(service.queue_.waiting_.size()));
    }
    if (core_.options_.shares_capacity_)
    {
        update_share_gauges(core_.clock_.now());
    }
}

void router::update_share_gauges(time_point now)
{
    for (auto const& [name, runtime] : core_.services_)
    {
        service_entry const* const entry =
            core_.routes_ == nullptr ? nullptr
                                     : core_.routes_->find_service(name);
        if (entry == nullptr || !entry->model_ || entry->model_->layers_ <= 1)
        {
            continue;
        }
        service_capacity const known =
            known_capacity(core_, name, *entry->model_, now);
        std::string const label = "service=\"" + name + "\"";
        core_.metrics_.set_gauge("auburnlb_router_service_capacity_tokens",
                                 label, known.tokens_);
        core_.metrics_.set_gauge("auburnlb_router_reservation_limit_tokens",
                                 label, reservation_limit(known));
        core_.metrics_.set_gauge("auburnlb_router_reserved_tokens", label,
                                 known.use_.own_reserved_);
    }
}

bool router::is_ready() const
{
    return core_.routes_ != nullptr && has_endpoints_ && !core_.is_stopping_;
}

void router::serve(std::shared_ptr<caller_connection> caller, http_head head,
                   std::string body, time_point received)
{
    forwarded_request::begin(core_, std::move(caller), std::move(head),
                             std::move(body), received);
}

caller_limits router::limits() const
{
    return core_.routes_ == nullptr ? caller_limits{}
                                    : core_.routes_->table().limits_;
}

} // namespace auburnlb
