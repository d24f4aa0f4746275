// Runtime of the entry: wires sockets, timers and the platform to the services
// that decide. One core thread owns their state; HTTP threads only parse,
// check keys against the published view and post.
#include "auburnlb/entry/entry.hpp"

#include <atomic>
#include <set>
#include <thread>
#include <utility>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "auburnlb/coordination/configuration.hpp"
#include "auburnlb/entry/admin_front.hpp"
#include "auburnlb/entry/call_service.hpp"
#include "auburnlb/entry/caller_front.hpp"
#include "auburnlb/entry/status_report.hpp"
#include "auburnlb/entry/stream_service.hpp"
#include "auburnlb/entry/view_planner.hpp"
#include "auburnlb/state/log.hpp"
#include "auburnlb/state/service_object.hpp"
#include "auburnlb/transport/config_manager.hpp"
#include "auburnlb/transport/incarnation.hpp"
#include "auburnlb/transport/object_watch.hpp"
#include "auburnlb/transport/peer_log.hpp"
#include "auburnlb/transport/platform_client.hpp"
#include "auburnlb/transport/platform_store.hpp"
#include "auburnlb/transport/steady_clock.hpp"
#include "auburnlb/transport/tcp_probe.hpp"

namespace auburnlb
{

namespace
{

constexpr milliseconds tick_interval{10};
/// Wait before the platform is asked again after a failure; doubled each time.
constexpr milliseconds platform_retry_min{100};
constexpr milliseconds platform_retry_max{5'000};
/// How often companions of plain services are shown the fleet.
constexpr milliseconds fleet_interval{1'000};
/// Time for the balancer to see that readiness is off before the port closes.
constexpr milliseconds balancer_notice{200};

class entry_runtime final : public entry
{
public:
    explicit entry_runtime(entry_options options)
        : options_(std::move(options))
        , view_(routing_view{})
        , work_(asio::make_work_guard(io_))
        , tick_timer_(io_)
        , hosts_timer_(io_)
        , planner_(
              io_, view_, [this] { return read_view_inputs(); },
              [this] { streams_->on_view_changed(); })
        , platform_(http_, options_.platform_url_)
        , store_(platform_)
        , service_watch_(io_, platform_, "services", options_.watch_wait_,
                         options_.incarnation_,
                         {[this](platform_object const& object)
                          { configs_->on_platform_object(object); },
                          [this](bool is_reachable)
                          {
                              note_platform(is_reachable);
                          }})
        , table_watch_(io_, platform_, claim_table_kind, options_.watch_wait_,
                       options_.incarnation_ + 1,
                       {[this](platform_object const& object) {
                            calls_->on_claim_table(object.name_, object.value_);
                        },
                        [](bool) {
                        }})
        , front_({view_, metrics_, clock_, is_leaving_,
                  options_.callers_.max_body_bytes_,
                  [this](stream_call call)
                  {
                      asio::post(io_, [this, call = std::move(call)]() mutable
                                 { streams_->submit(std::move(call)); });
                  },
                  [this](plain_call call)
                  {
                      asio::post(io_, [this, call = std::move(call)]() mutable
                                 { calls_->submit(std::move(call)); });
                  }})
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
        open_configs();
        streams_ = std::make_unique<stream_service>(stream_environment{
            *bus_, metrics_, view_, clock_, bus_->address(),
            options_.incarnation_, options_.streams_, options_.resume_grace_,
            [this](std::string const& address)
            { apply(probe_peer(peers_, address, clock_.now())); },
            [this](suspicion_update const& update) { broadcast(update); },
            [this](std::function<void()> work)
            {
                asio::post(io_, std::move(work));
            }});
        calls_ = std::make_unique<call_service>(
            *bus_, metrics_, view_, clock_, bus_->address(),
            options_.incarnation_,
            [this](std::string const& address)
            { apply(probe_peer(peers_, address, clock_.now())); });
        auto callers = http_server::start(
            options_.callers_,
            [this](incoming_request request, std::shared_ptr<http_reply> reply)
            { front_.handle(std::move(request), std::move(reply)); });
        if (!callers)
        {
            return callers.error();
        }
        callers_ = std::move(callers).value();
        if (options_.is_admin_enabled_)
        {
            admin_front_ = std::make_unique<admin_front>(
                store_, metrics_, options_.admin_token_, make_admin_hooks());
            auto admin = http_server::start(
                options_.admin_,
                [this](incoming_request const& request,
                       std::shared_ptr<http_reply> const& reply)
                { admin_front_->handle(request, reply); });
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
                       table_watch_.set_active(true);
                       update_members();
                       schedule_tick();
                   });
        return static_cast<void*>(nullptr);
    }

    void open_configs()
    {
        configs_ = std::make_unique<config_manager>(config_manager_environment{
            clock_,
            {bus_->address(), options_.data_centre_},
            [this](std::string const& peer, message body)
            { bus_->send(peer, std::move(body)); },
            [this](std::string const& peer) {
                apply_one(send_hello{peer, false});
            },
            [this](bool is_watching)
            { service_watch_.set_active(is_watching); },
            [this](std::shared_ptr<service_config const> const& config)
            {
                planner_.request();
                greet_endpoints(config->name_);
            }});
    }

    /// Beats are too rare to bring a new configuration to the companions.
    void greet_endpoints(std::string const& service)
    {
        for (endpoint_description const& endpoint : known_endpoints(peers_))
        {
            if (endpoint.service_ == service &&
                endpoint.state_ != host_state::dead)
            {
                apply_one(send_hello{endpoint.address_, false});
            }
        }
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
    admin_hooks make_admin_hooks()
    {
        admin_hooks hooks;
        hooks.status_ = [this]
        {
            return view_.read([this](routing_view const& view)
                              { return render_status(options_.name_, view); });
        };
        hooks.version_ = []
        {
            return R"({"version":"0.1.0"})";
        };
        hooks.drain_ = [this](std::string const& endpoint,
                              std::function<void(result<std::string>)> done)
        {
            asio::post(io_, [this, endpoint, done = std::move(done)]
                       { done(drain(endpoint)); });
        };
        hooks.on_accepted_ = [this](std::string const& service,
                                    std::uint64_t version,
                                    std::string const& text)
        {
            asio::post(io_,
                       [this, service, version, text]
                       {
                           configs_->on_platform_object({service_object_kind,
                                                         service, version, text,
                                                         false});
                       });
        };
        return hooks;
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

    void on_body(incarnation_id /*sender*/, stream_adopted& body)
    {
        streams_->on_adopted(body);
    }

    void on_body(incarnation_id /*sender*/, call_reply& body)
    {
        calls_->on_reply(body);
    }

    void on_body(incarnation_id sender, hello_reply& body)
    {
        apply(on_hello_reply(peers_, body, sender, clock_.now()));
        configs_->on_versions(body.from_address_, body.versions_);
    }

    void on_body(incarnation_id /*sender*/, endpoint_update& body)
    {
        apply(on_endpoint_update(peers_, body, clock_.now()));
    }

    void on_body(incarnation_id /*sender*/, suspicion_update& body)
    {
        streams_->on_suspicion(body);
    }

    void on_body(incarnation_id sender, hello& body)
    {
        hello_reply reply;
        reply.nonce_ = body.nonce_;
        reply.from_address_ = bus_->address();
        if (body.role_ == host_role::entry)
        {
            reply.versions_ = configs_->versions();
            configs_->on_versions(body.from_address_, body.versions_);
            apply(on_incoming_hello(peers_, body.from_address_, clock_.now()));
            teach_newcomer(sender, body.from_address_);
        }
        bus_->send(body.from_address_, std::move(reply));
    }

    /// An entry that has just started has to know the suspects before a caller
    /// sends one to it again.
    void teach_newcomer(incarnation_id sender, std::string const& address)
    {
        if (std::exchange(taught_[address], sender) == sender)
        {
            return;
        }
        suspicion_update known = streams_->suspicions();
        if (!known.crashes_.empty())
        {
            bus_->send(address, std::move(known));
        }
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
            // A dead peer is asked on new connections too; that is no silence.
            if (peers_.peers_.at(action.address_).is_alive_)
            {
                log(log_level::warning, log_event::peer_silent,
                    {{"peer", action.address_}},
                    "a new connection is being tried");
            }
            bus_->replace(action.address_);
        }
        hello greeting;
        greeting.from_address_ = bus_->address();
        greeting.role_ = host_role::entry;
        greeting.nonce_ = ++last_nonce_;
        greeting.versions_ = versions_for(action.address_);
        bus_->send(action.address_, std::move(greeting));
    }

    /// An endpoint needs its own service's version only; other entries exchange
    /// all of them.
    version_map versions_for(std::string const& address) const
    {
        version_map versions = configs_->versions();
        auto const peer = peers_.peers_.find(address);
        if (peer != peers_.peers_.end() && peer->second.endpoint_)
        {
            std::erase_if(
                versions, [&peer](auto const& version)
                { return version.first != peer->second.endpoint_->service_; });
        }
        return versions;
    }

    void apply_one(test_connection const& action)
    {
        connect_once(
            io_, action.address_,
            [this, address = action.address_](std::error_code failure)
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
        calls_->on_peer_lost(action.address_, action.incarnation_);
    }

    void apply_one(peer_answered const& action)
    {
        streams_->on_peer_answered(action.address_, action.incarnation_);
    }

    void apply_one(disconnect_peer const& action)
    {
        bus_->disconnect(action.address_);
    }

    void apply_one(endpoints_changed const& /*action*/)
    {
        log_peer_changes(seen_peers_, known_endpoints(peers_));
        planner_.request();
        update_members();
        show_fleet_to_gates();
    }

    /// Companions of plain services move the homes of keys by the fleet that
    /// entries see.
    void show_fleet_to_gates()
    {
        std::vector<endpoint_description> const endpoints =
            known_endpoints(peers_);
        for (endpoint_description const& gate : endpoints)
        {
            if (gate.kind_ != service_kind::plain)
            {
                continue;
            }
            for (endpoint_description const& other : endpoints)
            {
                if (other.service_ == gate.service_)
                {
                    bus_->send(gate.address_, endpoint_update{other});
                }
            }
        }
        next_fleet_show_ = clock_.now() + fleet_interval;
    }

    // Configuration spreads among the entries; companions learn it from the
    // entries' hellos.

    void update_members()
    {
        std::vector<distribution_member> members{
            {bus_->address(), options_.data_centre_}};
        for (auto const& [address, peer] : peers_.peers_)
        {
            if (peer.host_.role_ == host_role::entry && peer.is_alive_)
            {
                members.push_back({address, peer.host_.data_centre_});
            }
        }
        configs_->set_members(std::move(members));
    }

    void on_body(incarnation_id /*sender*/, config_push& body)
    {
        configs_->on_push(body);
    }

    void on_body(incarnation_id /*sender*/, config_request& body)
    {
        configs_->on_request(body);
    }

    void on_link_lost(std::string const& peer)
    {
        apply(auburnlb::on_link_down(peers_, peer, clock_.now()));
    }

    view_inputs read_view_inputs() const
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
            {configs_->services(), known_endpoints(peers_)},
            static_cast<std::uint32_t>(entries.size()),
            static_cast<std::uint32_t>(std::distance(entries.begin(), own))};
    }

    /// Asks the companion to leave; its refusals and its announcement then
    /// reach every entry.
    result<std::string> drain(std::string const& name)
    {
        for (endpoint_description const& endpoint : known_endpoints(peers_))
        {
            if (endpoint.name_ != name)
            {
                continue;
            }
            if (endpoint.state_ == host_state::dead ||
                !bus_->send(endpoint.address_,
                            drain_request{endpoint.incarnation_}))
            {
                return error{error_code::unreachable, "drain endpoint",
                             endpoint.address_,
                             "endpoint " + name + " does not answer"};
            }
            return nlohmann::ordered_json{{"endpoint", name},
                                          {"state", "leaving"}}
                .dump();
        }
        return error{error_code::not_found, "drain endpoint", name,
                     "there is no endpoint " + name};
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
        configs_->on_tick();
        if (clock_.now() >= next_fleet_show_)
        {
            show_fleet_to_gates();
        }
        streams_->on_tick();
        calls_->on_tick();
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
                             calls_->in_progress() == 0 &&
                             callers_->requests_in_progress() == 0 &&
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
    view_planner planner_;
    http_client http_;
    platform_client platform_;
    platform_store store_;
    std::unique_ptr<admin_front> admin_front_;
    object_watch service_watch_;
    object_watch table_watch_;
    std::atomic<bool> is_leaving_{false};
    caller_front front_;
    std::unique_ptr<message_bus> bus_;
    std::unique_ptr<stream_service> streams_;
    std::unique_ptr<call_service> calls_;
    std::unique_ptr<config_manager> configs_;
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<http_server> admin_;
    std::thread thread_;

    // What follows belongs to thread_.
    peer_table peers_;
    seen_peers seen_peers_;
    /// Incarnation of each entry that was told the suspects.
    std::map<std::string, incarnation_id> taught_;
    time_point next_fleet_show_{};
    std::uint64_t last_nonce_ = 0;
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
