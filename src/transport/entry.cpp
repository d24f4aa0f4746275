// Runtime of the entry: wires sockets, timers and the platform to the services
// that decide. One core thread owns their state; HTTP threads only parse,
// check keys against the published view and post.
#include "auburnlb/transport/entry.hpp"

#include <atomic>
#include <set>
#include <thread>
#include <utility>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "auburnlb/coordination/admin_api.hpp"
#include "auburnlb/state/log.hpp"
#include "auburnlb/state/service_object.hpp"
#include "auburnlb/transport/caller_api.hpp"
#include "auburnlb/transport/companion.hpp"
#include "auburnlb/transport/digest.hpp"
#include "auburnlb/transport/platform_client.hpp"
#include "auburnlb/transport/platform_store.hpp"
#include "auburnlb/transport/stream_service.hpp"

namespace auburnlb
{

namespace
{

constexpr milliseconds tick_interval{20};
/// Wait before the platform is asked again after a failure; doubled each time.
constexpr milliseconds platform_retry_min{100};
constexpr milliseconds platform_retry_max{5'000};
/// Time for the balancer to see that readiness is off before the port closes.
constexpr milliseconds balancer_notice{200};

class steady_clock_source final : public clock_source
{
public:
    time_point now() const override { return std::chrono::steady_clock::now(); }
};

/// "tcp://IP:port" as an endpoint; nothing for another form.
std::optional<asio::ip::tcp::endpoint> parse_tcp(std::string const& address)
{
    constexpr std::string_view scheme = "tcp://";
    auto const colon = address.rfind(':');
    if (!address.starts_with(scheme) || colon <= scheme.size())
    {
        return std::nullopt;
    }
    std::error_code failure;
    auto const ip = asio::ip::make_address(
        address.substr(scheme.size(), colon - scheme.size()), failure);
    if (failure)
    {
        return std::nullopt;
    }
    auto const port =
        static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1));
    return asio::ip::tcp::endpoint(ip, port);
}

class entry_runtime final : public entry
{
public:
    explicit entry_runtime(entry_options options)
        : options_(std::move(options))
        , view_(routing_view{})
        , work_(asio::make_work_guard(io_))
        , tick_timer_(io_)
        , hosts_timer_(io_)
        , watch_timer_(io_)
        , planner_(1)
        , platform_(http_, options_.platform_url_)
        , store_(platform_)
    {
        peers_.limits_ = options_.peers_;
    }

    ~entry_runtime() override
    {
        if (callers_)
        {
            callers_->stop();
        }
        if (admin_)
        {
            admin_->stop();
        }
        if (bus_)
        {
            bus_->close();
        }
        planner_.join();
        work_.reset();
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
            [this](std::string const& peer, bool up)
            {
                if (!up)
                {
                    asio::post(io_, [this, peer] { on_link_lost(peer); });
                }
            },
            [this]
            {
                metrics_.add("auburnlb_garbage_frames_total");
                log(log_level::warning, log_event::frame_rejected, {},
                    "a frame on the internal port is no message");
            });
        if (!bus)
        {
            return bus.error();
        }
        bus_ = std::move(bus).value();
        streams_ = std::make_unique<stream_service>(stream_environment{
            *bus_, metrics_, view_, clock_, bus_->address(),
            options_.incarnation_, options_.streams_,
            [this](std::string const& address)
            { apply(probe_peer(peers_, address, clock_.now())); },
            [this](suspicion_update const& update) { broadcast(update); },
            [this](std::function<void()> work)
            {
                asio::post(io_, std::move(work));
            }});
        auto callers = http_server::start(
            options_.callers_,
            [this](incoming_request request, std::shared_ptr<http_reply> reply)
            { on_request(std::move(request), std::move(reply)); });
        if (!callers)
        {
            return callers.error();
        }
        callers_ = std::move(callers).value();
        if (options_.is_admin_enabled_)
        {
            admin_api_ = std::make_unique<admin_api>(
                store_, options_.admin_token_, make_admin_hooks());
            auto admin = http_server::start(
                options_.admin_, [this](incoming_request request,
                                        std::shared_ptr<http_reply> reply)
                { on_admin(std::move(request), std::move(reply)); });
            if (!admin)
            {
                return admin.error();
            }
            admin_ = std::move(admin).value();
        }
        thread_ = std::thread([this] { io_.run(); });
        asio::post(io_,
                   [this]
                   {
                       poll_hosts();
                       watch_services();
                       schedule_tick();
                   });
        return static_cast<void*>(nullptr);
    }

    std::string bus_address() const override { return bus_->address(); }
    std::uint16_t callers_port() const override { return callers_->port(); }
    std::uint16_t admin_port() const override
    {
        return admin_ ? admin_->port() : 0;
    }

    void begin_leaving() override
    {
        asio::post(io_, [this] { leave(); });
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
    // Callers. These run on the HTTP server's threads.

    void on_request(incoming_request request, std::shared_ptr<http_reply> reply)
    {
        if (request.path_ == "/healthz")
        {
            reply->send({200, {}, "ok\n"});
            return;
        }
        if (request.path_ == "/readyz")
        {
            bool const is_ready =
                !is_leaving_ &&
                view_.read([](routing_view const& view)
                           { return !view.fleet_.services_.empty(); });
            reply->send({is_ready ? 200 : 503,
                         {},
                         is_ready ? "ready\n" : "not ready\n"});
            return;
        }
        if (is_leaving_)
        {
            refuse(*reply, refusal_reason::entry_stopping,
                   "this entry host is stopping", seconds{1});
            return;
        }
        if (request.path_ == "/v1/models" && request.method_ == "GET")
        {
            reply->send(format_model_list(model_names()));
            return;
        }
        if (request.path_ == "/v1/chat/completions" &&
            request.method_ == "POST")
        {
            on_chat(request, std::move(reply));
            return;
        }
        refuse(*reply, refusal_reason::unknown_path,
               "no such path: " + request.method_ + " " + request.path_);
    }

    void refuse(http_reply& reply, refusal_reason reason,
                std::string const& message,
                std::optional<seconds> retry_after = std::nullopt)
    {
        metrics_.count_refusal(reason);
        reply.send(
            format_error(reason, run_state::not_run, message, retry_after));
    }

    std::vector<std::string> model_names() const
    {
        return view_.read(
            [](routing_view const& view)
            {
                std::vector<std::string> names;
                for (auto const& [name, config] : view.fleet_.services_)
                {
                    if (config->kind_ == service_kind::model)
                    {
                        names.push_back(name);
                    }
                }
                return names;
            });
    }

    void on_chat(incoming_request const& request,
                 std::shared_ptr<http_reply> reply)
    {
        auto options = parse_caller_options(request.headers_);
        if (!options)
        {
            refuse(*reply, refusal_for(options.error()),
                   options.error().detail_);
            return;
        }
        auto chat = parse_chat_request(request.body_,
                                       options_.callers_.max_body_bytes_);
        if (!chat)
        {
            refuse(*reply, refusal_for(chat.error()), chat.error().detail_);
            return;
        }
        stream_call call;
        call.request_ = std::move(chat).value();
        call.options_ = std::move(options).value();
        call.reply_ = std::move(reply);
        call.received_at_ = clock_.now();
        std::string const digest = sha256_hex(call.options_.bearer_key_);
        view_.read(
            [&](routing_view const& view)
            {
                call.config_ = find_service(view, call.request_.model_);
                call.workspace_ =
                    find_workspace(view, call.request_.model_, digest);
            });
        if (!call.config_ || call.config_->kind_ != service_kind::model)
        {
            refuse(*call.reply_, refusal_reason::unknown_service,
                   "field model: no model service named \"" +
                       call.request_.model_ + "\"");
            return;
        }
        if (call.workspace_.empty())
        {
            refuse(*call.reply_, refusal_reason::unauthorized,
                   "header Authorization: the key belongs to no workspace of " +
                       call.request_.model_);
            return;
        }
        if (request.body_.size() > call.config_->max_body_bytes_)
        {
            refuse(*call.reply_, refusal_reason::body_too_large,
                   "the body has " + std::to_string(request.body_.size()) +
                       " bytes, " + call.request_.model_ + " takes " +
                       std::to_string(call.config_->max_body_bytes_));
            return;
        }
        asio::post(io_, [this, call = std::move(call)]() mutable
                   { streams_->submit(std::move(call)); });
    }

    void on_admin(incoming_request const& request,
                  std::shared_ptr<http_reply> const& reply)
    {
        if (request.path_ == "/metrics")
        {
            reply->send({200,
                         {{"Content-Type", "text/plain; version=0.0.4"}},
                         metrics_.render()});
            return;
        }
        constexpr std::string_view bearer = "Bearer ";
        admin_request asked;
        asked.method_ = request.method_;
        asked.path_ = request.path_;
        asked.body_ = request.body_;
        asked.author_ = find_header(request.headers_, "X-Operator");
        std::string const token =
            find_header(request.headers_, "Authorization");
        if (token.starts_with(bearer))
        {
            asked.token_ = token.substr(bearer.size());
        }
        admin_api_->handle(asked,
                           [reply](admin_response answer)
                           {
                               reply->send(
                                   {answer.status_,
                                    {{"Content-Type", "application/json"}},
                                    std::move(answer.body_)});
                           });
    }

    admin_hooks make_admin_hooks()
    {
        admin_hooks hooks;
        hooks.status_ = [this]
        {
            return status_json();
        };
        hooks.version_ = []
        {
            return R"({"version":"0.1.0"})";
        };
        hooks.drain_ = [](std::string const& endpoint,
                          std::function<void(result<std::string>)> const& done)
        {
            done(error{error_code::not_found, "drain", endpoint,
                       "no such endpoint"});
        };
        return hooks;
    }

    std::string status_json() const
    {
        nlohmann::ordered_json status;
        status["entry"] = options_.name_;
        status["services"] = nlohmann::ordered_json::array();
        status["endpoints"] = nlohmann::ordered_json::array();
        view_.read(
            [&status](routing_view const& view)
            {
                status["entries"] = view.entries_;
                for (auto const& [name, config] : view.fleet_.services_)
                {
                    status["services"].push_back(
                        describe_service(view, *config));
                }
                for (auto const& endpoint : view.fleet_.endpoints_)
                {
                    status["endpoints"].push_back(describe_endpoint(endpoint));
                }
            });
        return status.dump();
    }

    static nlohmann::ordered_json describe_service(routing_view const& view,
                                                   service_config const& config)
    {
        nlohmann::ordered_json text{{"name", config.name_},
                                    {"version", config.version_}};
        auto const plan = view.plan_.services_.find(config.name_);
        if (plan == view.plan_.services_.end())
        {
            return text;
        }
        text["bound_tokens_per_second"] =
            plan->second.bound_.tokens_per_second_;
        for (auto const& limit : plan->second.bound_.limits_)
        {
            text["limited_by"].push_back(limit.endpoints_);
        }
        return text;
    }

    static nlohmann::ordered_json
    describe_endpoint(endpoint_description const& endpoint)
    {
        char const* const state = endpoint.state_ == host_state::live ? "live"
                                  : endpoint.state_ == host_state::leaving
                                      ? "leaving"
                                      : "dead";
        return {{"name", endpoint.name_},
                {"address", endpoint.address_},
                {"service", endpoint.service_},
                {"data_centre", endpoint.data_centre_},
                {"state", state},
                {"layers", {endpoint.layers_.first_, endpoint.layers_.end_}},
                {"accelerator", endpoint.accelerator_},
                {"tokens_per_second", endpoint.tokens_per_second_}};
    }

    // Everything below runs on the core thread.

    void on_message(envelope received)
    {
        std::visit([this, &received](auto& body)
                   { on_body(received.sender_, body); },
                   received.body_);
    }

    template <class Body>
    void on_body(incarnation_id /*sender*/, Body& /*body*/)
    {
        metrics_.add("auburnlb_unexpected_messages_total");
    }

    void on_body(incarnation_id /*sender*/, token_frame& body)
    {
        streams_->on_token(body);
    }

    void on_body(incarnation_id /*sender*/, step_refusal& body)
    {
        streams_->on_refusal(body);
    }

    void on_body(incarnation_id sender, hello_reply& body)
    {
        apply(on_hello_reply(peers_, body, sender, clock_.now()));
    }

    void on_body(incarnation_id /*sender*/, endpoint_update& body)
    {
        apply(on_endpoint_update(peers_, body, clock_.now()));
    }

    void on_body(incarnation_id /*sender*/, suspicion_update& body)
    {
        streams_->on_suspicion(body);
    }

    void on_body(incarnation_id /*sender*/, hello& body)
    {
        hello_reply reply;
        reply.nonce_ = body.nonce_;
        reply.from_address_ = bus_->address();
        reply.versions_ = versions();
        bus_->send(body.from_address_, std::move(reply));
    }

    std::map<std::string, std::uint64_t> versions() const
    {
        std::map<std::string, std::uint64_t> versions;
        for (auto const& [name, config] : services_)
        {
            versions[name] = config->version_;
        }
        return versions;
    }

    void broadcast(suspicion_update const& update)
    {
        for (auto const& [address, peer] : peers_.peers_)
        {
            if (peer.host_.role_ == host_role::entry &&
                address != bus_->address())
            {
                bus_->send(address, update);
            }
        }
    }

    void apply(peer_actions const& actions)
    {
        for (peer_action const& action : actions)
        {
            std::visit([this](auto const& each) { apply_one(each); }, action);
        }
    }

    void apply_one(send_hello const& action)
    {
        if (action.is_reconnect_)
        {
            bus_->replace(action.address_);
        }
        hello greeting;
        greeting.from_address_ = bus_->address();
        greeting.role_ = host_role::entry;
        greeting.nonce_ = ++last_nonce_;
        greeting.versions_ = versions();
        bus_->send(action.address_, std::move(greeting));
    }

    void apply_one(test_connection const& action)
    {
        auto const target = parse_tcp(action.address_);
        if (!target)
        {
            return;
        }
        auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
        socket->async_connect(
            *target,
            [this, socket, address = action.address_](std::error_code failure)
            {
                if (failure == asio::error::connection_refused)
                {
                    apply(on_connection_refused(peers_, address, clock_.now()));
                }
            });
    }

    void apply_one(peer_lost const& action)
    {
        log(log_level::warning, log_event::peer_lost,
            {{"peer", action.address_}, {"reason", to_string(action.reason_)}},
            "streams through this peer are resumed elsewhere");
        metrics_.add("auburnlb_peers_lost_total");
        streams_->on_peer_lost(action.address_, action.incarnation_,
                               action.reason_);
    }

    void apply_one(peer_answered const& action)
    {
        streams_->on_peer_answered(action.address_, action.incarnation_);
    }

    void apply_one(forget_peer const& action) { bus_->forget(action.address_); }

    void apply_one(endpoints_changed const& /*action*/) { plan_soon(); }

    void on_link_lost(std::string const& peer)
    {
        apply(auburnlb::on_link_down(peers_, peer, clock_.now()));
    }

    // The view is planned on a thread of its own, one plan at a time.

    void plan_soon()
    {
        is_plan_due_ = true;
        if (is_planning_)
        {
            return;
        }
        is_plan_due_ = false;
        is_planning_ = true;
        fleet_snapshot fleet{services_, known_endpoints(peers_)};
        auto const [entries, index] = entry_share_now();
        asio::post(planner_,
                   [this, fleet = std::move(fleet), entries = entries,
                    index = index]() mutable
                   {
                       view_.publish(
                           make_routing_view(std::move(fleet), entries, index));
                       asio::post(io_, [this] { on_planned(); });
                   });
    }

    void on_planned()
    {
        is_planning_ = false;
        streams_->on_view_changed();
        if (is_plan_due_)
        {
            plan_soon();
        }
    }

    std::pair<std::uint32_t, std::uint32_t> entry_share_now() const
    {
        std::set<std::string> entries{bus_->address()};
        for (auto const& [address, peer] : peers_.peers_)
        {
            if (peer.host_.role_ == host_role::entry && peer.is_alive_)
            {
                entries.insert(address);
            }
        }
        auto const own = entries.find(bus_->address());
        return {
            static_cast<std::uint32_t>(entries.size()),
            static_cast<std::uint32_t>(std::distance(entries.begin(), own))};
    }

    // The platform.

    void poll_hosts()
    {
        platform_.hosts(
            [this](result<std::vector<host_entry>> hosts)
            {
                asio::post(io_, [this, hosts = std::move(hosts)]
                           { on_host_list(hosts); });
            });
    }

    void on_host_list(result<std::vector<host_entry>> const& hosts)
    {
        if (hosts)
        {
            std::vector<host_entry> others;
            for (host_entry const& host : hosts.value())
            {
                if (host.address_ != bus_->address())
                {
                    others.push_back(host);
                }
            }
            apply(on_hosts(peers_, others, clock_.now()));
        }
        note_platform(hosts.has_value());
        hosts_timer_.expires_after(hosts ? options_.hosts_poll_
                                         : platform_retry_);
        hosts_timer_.async_wait(
            [this](std::error_code failure)
            {
                if (!failure)
                {
                    poll_hosts();
                }
            });
    }

    void watch_services()
    {
        platform_.watch("services", watched_version_, options_.watch_wait_,
                        [this](result<std::vector<platform_object>> changes)
                        {
                            asio::post(io_, [this, changes = std::move(changes)]
                                       { on_services(changes); });
                        });
    }

    void on_services(result<std::vector<platform_object>> const& changes)
    {
        note_platform(changes.has_value());
        if (changes)
        {
            for (platform_object const& object : changes.value())
            {
                watched_version_ = std::max(watched_version_, object.version_);
                take_configuration(object);
            }
            watch_services();
            return;
        }
        watch_timer_.expires_after(platform_retry_);
        watch_timer_.async_wait(
            [this](std::error_code failure)
            {
                if (!failure)
                {
                    watch_services();
                }
            });
    }

    /// A lower version is never in force after a higher one.
    void take_configuration(platform_object const& object)
    {
        auto const known = services_.find(object.name_);
        bool const is_newer = known == services_.end() ||
                              known->second->version_ < object.version_;
        if (!is_newer)
        {
            return;
        }
        if (object.is_deleted_)
        {
            return;
        }
        auto config = config_from_object(object.value_, object.version_);
        if (!config)
        {
            log(log_level::error, log_event::configuration_rejected,
                {{"service", object.name_},
                 {"version", std::to_string(object.version_)}},
                to_string(config.error()));
            return;
        }
        services_[object.name_] =
            std::make_shared<service_config const>(std::move(config).value());
        log(log_level::info, log_event::configuration_in_force,
            {{"service", object.name_},
             {"version", std::to_string(object.version_)}},
            "a newer configuration is in force here");
        plan_soon();
    }

    void note_platform(bool is_reachable)
    {
        if (is_reachable)
        {
            platform_retry_ = platform_retry_min;
        }
        else
        {
            platform_retry_ = std::min(platform_retry_ * 2, platform_retry_max);
        }
        if (is_reachable == is_platform_up_)
        {
            return;
        }
        is_platform_up_ = is_reachable;
        log(is_reachable ? log_level::info : log_level::warning,
            is_reachable ? log_event::platform_reachable
                         : log_event::platform_unreachable,
            {{"peer", options_.platform_url_}},
            is_reachable ? "the platform answers"
                         : "requests go on with what is known");
    }

    void schedule_tick()
    {
        tick_timer_.expires_after(tick_interval);
        tick_timer_.async_wait(
            [this](std::error_code failure)
            {
                if (!failure)
                {
                    on_timer();
                    schedule_tick();
                }
            });
    }

    void on_timer()
    {
        apply(on_peer_tick(peers_, clock_.now()));
        streams_->on_tick();
        stop_when_idle();
    }

    void leave()
    {
        if (is_leaving_.exchange(true))
        {
            return;
        }
        leaving_since_ = clock_.now();
        log(log_level::info, log_event::process_stopping, {},
            "readiness is off; requests in progress go on");
    }

    void stop_when_idle()
    {
        if (!is_leaving_)
        {
            return;
        }
        nanoseconds const since = clock_.now() - leaving_since_;
        if (since > balancer_notice && !is_drained_)
        {
            is_drained_ = true;
            callers_->drain();
        }
        bool const is_idle = is_drained_ && streams_->in_progress() == 0 &&
                             since > 2 * balancer_notice;
        if (is_idle || since > options_.drain_limit_)
        {
            work_.reset();
            io_.stop();
        }
    }

    entry_options const options_;
    metrics_registry metrics_;
    steady_clock_source const clock_;
    snapshot_cell<routing_view> view_;
    // Destroyed after the HTTP client, whose last handlers still post to it.
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    asio::steady_timer tick_timer_;
    asio::steady_timer hosts_timer_;
    asio::steady_timer watch_timer_;
    asio::thread_pool planner_;
    http_client http_;
    platform_client platform_;
    platform_store store_;
    std::unique_ptr<admin_api> admin_api_;
    std::unique_ptr<message_bus> bus_;
    std::unique_ptr<stream_service> streams_;
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<http_server> admin_;
    std::thread thread_;
    std::atomic<bool> is_leaving_{false};

    // What follows belongs to thread_.
    peer_table peers_;
    /// Each the highest version seen.
    std::map<std::string, std::shared_ptr<service_config const>> services_;
    std::uint64_t watched_version_ = 0;
    std::uint64_t last_nonce_ = 0;
    bool is_planning_ = false;
    bool is_plan_due_ = false;
    bool is_platform_up_ = true;
    bool is_drained_ = false;
    milliseconds platform_retry_ = platform_retry_min;
    time_point leaving_since_{};
};

} // namespace

result<std::unique_ptr<entry>> entry::start(entry_options options)
{
    if (options.incarnation_ == 0)
    {
        options.incarnation_ = make_incarnation();
    }
    auto runtime = std::make_unique<entry_runtime>(std::move(options));
    result<void*> const opened = runtime->open();
    if (!opened)
    {
        return opened.error();
    }
    return std::unique_ptr<entry>(std::move(runtime));
}

} // namespace auburnlb
