// Implementation of the companion. One thread owns its state; the message bus,
// the engine client and the timer post to that thread.
#include "auburnlb/companion/companion.hpp"

#include <atomic>
#include <map>
#include <set>
#include <thread>
#include <utility>

#include <asio.hpp>

#include "auburnlb/companion/call_proxy.hpp"
#include "auburnlb/companion/engine_runner.hpp"
#include "auburnlb/coordination/link_monitor.hpp"
#include "auburnlb/protocol/stage.hpp"
#include "auburnlb/state/log.hpp"
#include "auburnlb/state/metrics.hpp"
#include "auburnlb/state/snapshot_cell.hpp"
#include "auburnlb/transport/config_manager.hpp"
#include "auburnlb/transport/engine_client.hpp"
#include "auburnlb/transport/http_client.hpp"
#include "auburnlb/transport/incarnation.hpp"
#include "auburnlb/transport/message_bus.hpp"
#include "auburnlb/transport/platform_client.hpp"
#include "auburnlb/transport/steady_clock.hpp"
#include "auburnlb/transport/tcp_probe.hpp"

namespace auburnlb
{

namespace
{

constexpr milliseconds tick_interval{100};
/// An entry that sends no hello for this long, on top of the stream idle limit,
/// no longer receives updates.
constexpr seconds entry_lifetime{30};

time_point now()
{
    return std::chrono::steady_clock::now();
}

class companion_runtime final : public companion
{
public:
    explicit companion_runtime(companion_options options)
        : options_(std::move(options))
        , work_guard_(asio::make_work_guard(io_))
        , tick_timer_(io_)
        , engine_(http_, options_.endpoint_url_)
        , platform_(http_, options_.platform_url_)
        , service_config_(nullptr)
        , runner_(engine_, clock_,
                  {options_.max_batch_size_, options_.max_engine_calls_,
                   options_.engine_timeout_},
                  {[this](pending_step const& step, engine_step_result done)
                   { on_step_done(step, std::move(done)); },
                   [this](std::vector<pending_step> const& batch,
                          error const& failure)
                   { on_call_failed(batch, failure); },
                   [this] { stop_if_idle(); },
                   [this](std::function<void()> work)
                   {
                       asio::post(io_, std::move(work));
                   }})
    {
        stage_table_.incarnation_ = options_.incarnation_;
    }

    ~companion_runtime() override
    {
        if (bus_)
        {
            bus_->close();
        }
        work_guard_.reset();
        io_.stop();
        wait();
    }

    result<void*> open()
    {
        auto bus = message_bus::open(
            options_.bus_address_, options_.incarnation_,
            [this](envelope received)
            {
                asio::post(io_, [this, received = std::move(received)]() mutable
                           { on_message(std::move(received)); });
            },
            [](std::string const&, bool) {},
            [this]
            {
                metrics_.add("auburnlb_garbage_frames_total");
                log(log_level::warning, log_event::frame_rejected, {},
                    "malformed frame on the internal port");
            });
        if (!bus)
        {
            return bus.error();
        }
        bus_ = std::move(bus).value();
        stage_table_.address_ = options_.advertised_address_.empty()
                                    ? bus_->address()
                                    : options_.advertised_address_;
        create_config_manager();
        if (options_.kind_ == service_kind::plain)
        {
            create_call_proxy();
        }
        thread_ = std::thread([this] { io_.run(); });
        asio::post(io_, [this] { poll_endpoint(); });
        schedule_tick();
        return static_cast<void*>(nullptr);
    }

    void create_config_manager()
    {
        config_manager_ =
            std::make_unique<config_manager>(config_manager_environment{
                clock_,
                {bus_->address(), options_.data_centre_},
                [this](std::string const& peer, message body)
                { bus_->send(peer, std::move(body)); },
                [](std::string const&) {},
                {},
                [this](std::shared_ptr<service_config const> const& config)
                {
                    if (config->name_ == options_.service_)
                    {
                        service_config_.publish(config);
                    }
                }});
    }

    void create_call_proxy()
    {
        call_proxy_options proxy_options;
        proxy_options.endpoint_url_ = options_.endpoint_url_;
        proxy_options.service_ = options_.service_;
        proxy_options.address_ = bus_->address();
        proxy_options.incarnation_ = options_.incarnation_;
        call_proxy_ = std::make_unique<call_proxy>(
            http_, platform_, std::move(proxy_options),
            [this](std::string const& peer, message body)
            { bus_->send(peer, std::move(body)); },
            clock_, metrics_,
            [this]
            {
                return service_config_.read(
                    [](std::shared_ptr<service_config const> const& config)
                    { return config; });
            });
    }

    std::string address() const override { return bus_->address(); }

    void begin_leaving() override
    {
        asio::post(io_, [this] { start_leaving(); });
    }

    void wait() override
    {
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    std::string render_metrics() const override { return metrics_.render(); }

private:
    void on_message(envelope received)
    {
        std::visit([this, &received](auto& body)
                   { on_body(received.sender_, body); },
                   received.body_);
    }

    /// Counts messages that are not meant for a companion.
    template <class Body>
    void on_body(incarnation_id /*sender*/, Body& /*body*/)
    {
        metrics_.add("auburnlb_unexpected_messages_total");
    }

    void on_body(incarnation_id /*sender*/, hello& body)
    {
        if (body.role_ == host_role::endpoint)
        {
            bus_->send(body.from_address_,
                       hello_reply{body.nonce_, stage_table_.address_, {}, {}});
            return;
        }
        entries_[body.from_address_] = now();
        std::erase_if(body.versions_, [this](auto const& version)
                      { return version.first != options_.service_; });
        config_manager_->on_versions(body.from_address_, body.versions_);
        hello_reply reply;
        reply.nonce_ = body.nonce_;
        reply.from_address_ = stage_table_.address_;
        reply.endpoint_ = describe();
        reply.versions_ = config_manager_->versions();
        bus_->send(body.from_address_, std::move(reply));
    }

    void on_body(incarnation_id /*sender*/, hello_reply& body)
    {
        on_link_probe_reply(link_monitor_, body.from_address_);
    }

    /// Sends hellos on the connections in use, because the entries and stages
    /// that receive frames send no acknowledgement.
    void probe_links()
    {
        for (link_probe const& probe : on_link_tick(link_monitor_, now()))
        {
            if (probe.needs_new_connection_)
            {
                metrics_.add("auburnlb_replaced_connections_total");
                bus_->replace(probe.peer_);
            }
            hello outgoing;
            outgoing.from_address_ = stage_table_.address_;
            outgoing.role_ = host_role::endpoint;
            bus_->send(probe.peer_, std::move(outgoing));
        }
    }

    void on_body(incarnation_id /*sender*/, step_frame& frame)
    {
        step_decision const decision = accept_step(stage_table_, frame, now());
        if (auto const* const reason = std::get_if<refusal_reason>(&decision))
        {
            refuse(frame, *reason);
            return;
        }
        auto const& accepted = std::get<step_accepted>(decision);
        if (accepted.replaced_attempt_)
        {
            runner_.release(frame.request_, *accepted.replaced_attempt_);
        }
        stage_stream const& stream = stage_table_.streams_.at(frame.request_);
        entries_.try_emplace(stream.route_.entry_address_, now());
        config_manager_->on_version(stream.route_.entry_address_,
                                    stream.route_.service_,
                                    frame.service_version_);
        pending_step step;
        step.priority_ = stream.route_.priority_;
        step.prompt_tokens_ = stream.route_.prompt_tokens_;
        step.is_last_stage_ =
            stream.stage_index_ + 1 == stream.route_.stages_.size();
        step.accepted_at_ = now();
        step.frame_ = std::move(frame);
        runner_.submit(std::move(step));
    }

    void on_body(incarnation_id /*sender*/, cancel_stream& body)
    {
        std::optional<std::uint32_t> const released =
            cancel_at_stage(stage_table_, body, now());
        if (released)
        {
            runner_.release(body.request_, *released);
            runner_.send_waiting();
        }
        stop_if_idle();
    }

    void on_body(incarnation_id /*sender*/, adopt_stream& body)
    {
        entries_[body.entry_address_] = now();
        auto const known = stage_table_.streams_.find(body.request_);
        std::string const former = known == stage_table_.streams_.end()
                                       ? std::string()
                                       : known->second.route_.entry_address_;
        std::optional<stream_adopted> adopted =
            adopt_at_stage(stage_table_, body, now());
        // The adopting entry sends this message to every stage, including the
        // last one, which has already switched to it.
        if (!adopted || former == body.entry_address_)
        {
            return;
        }
        // The former entry may still be running if its caller only lost the
        // connection. It must not continue the stream.
        metrics_.add("auburnlb_adopted_streams_total");
        bus_->send(former, *adopted);
        bus_->send(body.entry_address_, std::move(*adopted));
    }

    /// Returns the entries that were silent for longer than the stream idle
    /// limit, after which no stream of theirs is resumed. Removes entries that
    /// were silent for entry_lifetime more.
    std::set<std::string> collect_lost_entries()
    {
        std::set<std::string> lost;
        for (auto entry = entries_.begin(); entry != entries_.end();)
        {
            nanoseconds const silent = now() - entry->second;
            if (silent > options_.stream_idle_limit_)
            {
                lost.insert(entry->first);
            }
            entry = silent > entry_lifetime + options_.stream_idle_limit_
                        ? entries_.erase(entry)
                        : std::next(entry);
        }
        return lost;
    }

    void on_body(incarnation_id /*sender*/, call_request& body)
    {
        if (call_proxy_)
        {
            call_proxy_->on_call(std::move(body));
        }
    }

    /// Entries send the state of the service's other endpoints.
    void on_body(incarnation_id /*sender*/, endpoint_update& body)
    {
        if (!call_proxy_)
        {
            return;
        }
        endpoints_[body.endpoint_.address_] = body.endpoint_;
        endpoints_[stage_table_.address_] = describe();
        std::vector<endpoint_description> endpoints;
        for (auto const& [address, endpoint] : endpoints_)
        {
            endpoints.push_back(endpoint);
        }
        call_proxy_->on_fleet_update(endpoints);
    }

    void on_body(incarnation_id /*sender*/, config_push& body)
    {
        config_manager_->on_push(body);
    }

    void on_body(incarnation_id /*sender*/, drain_request& body)
    {
        if (body.target_incarnation_ == options_.incarnation_)
        {
            start_leaving();
        }
    }

    void refuse(step_frame const& frame, refusal_reason reason)
    {
        auto const known = stage_table_.streams_.find(frame.request_);
        std::string entry;
        if (frame.route_)
        {
            entry = frame.route_->entry_address_;
        }
        else if (known != stage_table_.streams_.end() &&
                 known->second.is_running_)
        {
            entry = known->second.route_.entry_address_;
        }
        metrics_.count_refusal(reason);
        log(log_level::info, log_event::frame_rejected,
            {{"request", to_string(frame.request_)},
             {"attempt", std::to_string(frame.attempt_)},
             {"reason", to_string(reason)}},
            "step frame refused");
        // Frames of older attempts and of earlier positions are late duplicates
        // and don't affect the stream.
        bool const is_late = reason == refusal_reason::stale_attempt ||
                             (reason == refusal_reason::wrong_position &&
                              known != stage_table_.streams_.end() &&
                              frame.position_ < known->second.next_position_);
        if (entry.empty() || is_late)
        {
            return;
        }
        bus_->send(entry, step_refusal{frame.request_, frame.attempt_, reason,
                                       stage_table_.address_});
    }

    void on_call_failed(std::vector<pending_step> const& batch,
                        error const& failure)
    {
        handle_call_failure(failure);
        for (pending_step const& step : batch)
        {
            fail_step(step, refusal_reason::engine_failed);
        }
    }

    /// Polls the engine on a new connection after a timeout. Treats the engine
    /// as lost after any other failure.
    void handle_call_failure(error const& failure)
    {
        if (failure.code_ == error_code::timeout)
        {
            metrics_.add("auburnlb_engine_silences_total");
            last_poll_at_ = time_point{};
            return;
        }
        on_engine_lost(failure);
    }

    void on_step_done(pending_step const& step, engine_step_result done)
    {
        if (!done.failure_.empty())
        {
            fail_step(step, done.failure_ == "full"
                                ? refusal_reason::engine_full
                                : refusal_reason::engine_failed);
            return;
        }
        metrics_.observe("auburnlb_step_seconds", {},
                         now() - step.accepted_at_);
        std::vector<outgoing_message> messages = forward_step(
            stage_table_, step.frame_,
            {std::move(done.outputs_), done.is_end_, done.cached_tokens_},
            load());
        for (outgoing_message& outgoing : messages)
        {
            send_result(step, std::move(outgoing));
        }
    }

    void send_result(pending_step const& step, outgoing_message outgoing)
    {
        if (outgoing.address_ == stage_table_.address_)
        {
            on_body(stage_table_.incarnation_,
                    std::get<step_frame>(outgoing.body_));
            return;
        }
        bool const is_step = std::holds_alternative<step_frame>(outgoing.body_);
        record_frame_sent(link_monitor_, outgoing.address_, now());
        if (bus_->send(outgoing.address_, std::move(outgoing.body_)) ||
            !is_step)
        {
            return;
        }
        metrics_.add("auburnlb_unreachable_stages_total");
        report_failure(step.frame_, refusal_reason::stream_lost,
                       outgoing.address_);
    }

    void fail_step(pending_step const& step, refusal_reason reason)
    {
        metrics_.count_refusal(reason);
        report_failure(step.frame_, reason, stage_table_.address_);
        cancel_stream const cancel{step.frame_.request_, step.frame_.attempt_};
        if (cancel_at_stage(stage_table_, cancel, now()))
        {
            runner_.release(cancel.request_, cancel.attempt_);
        }
    }

    void report_failure(step_frame const& frame, refusal_reason reason,
                        std::string const& stage)
    {
        auto const known = stage_table_.streams_.find(frame.request_);
        if (known == stage_table_.streams_.end() ||
            !known->second.is_running_ ||
            known->second.attempt_ != frame.attempt_)
        {
            return;
        }
        bus_->send(known->second.route_.entry_address_,
                   step_refusal{frame.request_, frame.attempt_, reason, stage});
    }

    load_report load() const
    {
        if (call_proxy_)
        {
            return call_proxy_->load();
        }
        load_report report;
        report.active_ =
            static_cast<std::uint32_t>(running_streams(stage_table_));
        report.queued_ = static_cast<std::uint32_t>(runner_.waiting_steps());
        report.step_time_us_ =
            static_cast<std::uint32_t>(runner_.step_time().count());
        report.kv_free_tokens_ =
            engine_status_.kv_tokens_ -
            std::min(engine_status_.kv_tokens_, engine_status_.kv_used_tokens_);
        return report;
    }

    endpoint_description describe() const
    {
        endpoint_description self;
        self.name_ = options_.name_;
        self.address_ = stage_table_.address_;
        self.incarnation_ = options_.incarnation_;
        self.data_centre_ = options_.data_centre_;
        self.region_ = options_.region_;
        self.service_ = options_.service_;
        self.kind_ = options_.kind_;
        self.layers_ = stage_table_.layers_;
        self.accelerator_ = engine_status_.accelerator_;
        self.tokens_per_second_ = options_.tokens_per_second_ > 0
                                      ? options_.tokens_per_second_
                                      : engine_status_.tokens_per_second_;
        self.kv_tokens_ = engine_status_.kv_tokens_;
        self.state_ = stage_table_.is_leaving_ ? host_state::leaving
                      : is_engine_up_          ? host_state::live
                                               : host_state::dead;
        self.load_ = load();
        return self;
    }

    void announce_state()
    {
        for (auto const& [entry, seen] : entries_)
        {
            bus_->send(entry, endpoint_update{describe()});
        }
    }

    void poll_endpoint()
    {
        is_polling_ = true;
        last_poll_at_ = now();
        if (options_.kind_ == service_kind::model)
        {
            poll_engine();
            return;
        }
        // Opening a connection checks a plain service without making it handle
        // a request.
        connect_once(io_, options_.endpoint_url_,
                     [this](std::error_code failure)
                     {
                         result<engine_status> status = engine_status{};
                         if (failure)
                         {
                             status = error{error_code::unreachable,
                                            "connect to plain service",
                                            options_.endpoint_url_,
                                            failure.message()};
                         }
                         on_engine_status(status);
                     });
    }

    void poll_engine()
    {
        engine_.status(
            [this](result<engine_status> status)
            {
                asio::post(io_, [this, status = std::move(status)]
                           { on_engine_status(status); });
            });
    }

    void on_engine_status(result<engine_status> const& status)
    {
        is_polling_ = false;
        if (!status)
        {
            on_engine_lost(status.error());
            return;
        }
        engine_status_ = status.value();
        if (options_.kv_tokens_ > 0)
        {
            engine_status_.kv_tokens_ = options_.kv_tokens_;
        }
        if (is_engine_up_ && stage_table_.layers_ == engine_status_.layers_)
        {
            return;
        }
        is_engine_up_ = true;
        stage_table_.layers_ = engine_status_.layers_;
        log(log_level::info, log_event::engine_back,
            {{"peer", options_.endpoint_url_}}, "the engine is reachable");
        announce_state();
    }

    void on_engine_lost(error const& reason)
    {
        if (!is_engine_up_)
        {
            return;
        }
        is_engine_up_ = false;
        log(log_level::error, log_event::engine_lost,
            {{"peer", options_.endpoint_url_}}, to_string(reason));
        // Entries receive the update before any refusal, so that they can
        // distinguish streams that ran here from later ones. Every stream of
        // this stage is resumed at another endpoint. The engine may only have
        // been out of reach, so it is told to free their KV cache.
        announce_state();
        for (auto& [request, stream] : stage_table_.streams_)
        {
            if (stream.is_running_)
            {
                bus_->send(stream.route_.entry_address_,
                           step_refusal{request, stream.attempt_,
                                        refusal_reason::engine_failed,
                                        stage_table_.address_});
                runner_.release(request, stream.attempt_);
                cancel_at_stage(stage_table_, {request, stream.attempt_},
                                now());
            }
        }
        runner_.drop_waiting();
    }

    void schedule_tick()
    {
        tick_timer_.expires_after(tick_interval);
        tick_timer_.async_wait(
            [this](std::error_code failure)
            {
                if (!failure)
                {
                    on_tick();
                    schedule_tick();
                }
            });
    }

    void on_tick()
    {
        probe_links();
        for (released_stream const& released : expire_streams(
                 stage_table_, now(), options_.stream_idle_limit_,
                 options_.tombstone_lifetime_, collect_lost_entries()))
        {
            runner_.release(released.request_, released.attempt_);
        }
        runner_.send_waiting();
        if (!is_polling_ &&
            now() - last_poll_at_ > options_.engine_poll_interval_)
        {
            poll_endpoint();
        }
        stop_if_idle();
    }

    void start_leaving()
    {
        if (stage_table_.is_leaving_)
        {
            return;
        }
        stage_table_.is_leaving_ = true;
        if (call_proxy_)
        {
            call_proxy_->begin_leaving();
        }
        leaving_since_ = now();
        log(log_level::info, log_event::process_stopping, {},
            "shutting down; new work is refused");
        announce_state();
        stop_if_idle();
    }

    void stop_if_idle()
    {
        if (!stage_table_.is_leaving_)
        {
            return;
        }
        bool const is_overdue = now() - leaving_since_ > options_.drain_limit_;
        bool const is_idle = running_streams(stage_table_) == 0 &&
                             runner_.is_idle() &&
                             (!call_proxy_ || call_proxy_->is_idle());
        // Leaves one tick for the announcement to be sent.
        bool const is_announced = now() - leaving_since_ > tick_interval;
        if ((is_idle && is_announced) || is_overdue)
        {
            work_guard_.reset();
            io_.stop();
        }
    }

    companion_options const options_;
    metrics_registry metrics_;
    // Declared before http_, so that it outlives handlers that post to it.
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
    asio::steady_timer tick_timer_;
    http_client http_;
    engine_client engine_;
    platform_client platform_;
    steady_clock_source clock_;
    /// Configuration of this endpoint's service; null until it is received.
    snapshot_cell<std::shared_ptr<service_config const>> service_config_;
    std::unique_ptr<message_bus> bus_;
    std::unique_ptr<config_manager> config_manager_;
    /// Set for plain services only.
    std::unique_ptr<call_proxy> call_proxy_;
    std::thread thread_;

    // The members below are accessed only from thread_.
    stage_table stage_table_;
    engine_runner runner_;
    link_monitor link_monitor_;
    /// Entries by address, with the time of the last sign of activity.
    std::map<std::string, time_point> entries_;
    /// Endpoints of a plain service as reported by entries, by address.
    std::map<std::string, endpoint_description> endpoints_;
    engine_status engine_status_;
    bool is_engine_up_ = false;
    bool is_polling_ = false;
    time_point last_poll_at_{};
    time_point leaving_since_{};
};

} // namespace

result<std::unique_ptr<companion>> companion::start(companion_options options)
{
    if (options.incarnation_ == 0)
    {
        options.incarnation_ = make_incarnation();
    }
    auto runtime = std::make_unique<companion_runtime>(std::move(options));
    result<void*> const opened = runtime->open();
    if (!opened)
    {
        return opened.error();
    }
    return std::unique_ptr<companion>(std::move(runtime));
}

} // namespace auburnlb
