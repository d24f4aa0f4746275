// Implementation of the entry: connects sockets, timers and the platform to
// stream_service and call_service. One core thread owns their state. HTTP
// threads only parse requests, check keys against the routing view, and post
// to the core thread.
#include "auburnlb/entry/entry.hpp"

#include <atomic>
#include <set>
#include <thread>
#include <utility>

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include "auburnlb/coordination/configuration.hpp"
#include "auburnlb/entry/admin_http_handler.hpp"
#include "auburnlb/entry/call_service.hpp"
#include "auburnlb/entry/caller_http_handler.hpp"
#include "auburnlb/entry/routing_view_builder.hpp"
#include "auburnlb/entry/status_report.hpp"
#include "auburnlb/entry/stream_service.hpp"
#include "auburnlb/state/json_text.hpp"
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
/// Wait before a failed request to the platform is repeated. Doubled after each
/// failure, up to the maximum.
constexpr milliseconds platform_retry_min{100};
constexpr milliseconds platform_retry_max{5'000};
/// Interval at which the fleet is sent to companions of plain services.
constexpr milliseconds fleet_update_interval{1'000};
/// Delay between reporting not ready and closing the port, so that the balancer
/// stops sending requests first.
constexpr milliseconds readiness_off_delay{200};

class entry_runtime final : public entry
{
public:
    explicit entry_runtime(entry_options options)
        : options_(std::move(options))
        , view_(routing_view{})
        , work_guard_(asio::make_work_guard(io_))
        , tick_timer_(io_)
        , hosts_timer_(io_)
        , view_builder_(
              io_, view_, [this] { return read_routing_view_inputs(); },
              [this] { streams_->on_view_changed(); })
        , platform_(http_, options_.platform_url_)
        , store_(platform_)
        , service_watch_(io_, platform_, "services", options_.watch_wait_,
                         options_.incarnation_,
                         {[this](platform_object const& object)
                          { config_manager_->on_platform_object(object); },
                          [this](bool is_reachable)
                          {
                              update_platform_state(is_reachable);
                          }})
        , claim_table_watch_(
              io_, platform_, claim_table_kind, options_.watch_wait_,
              options_.incarnation_ + 1,
              {[this](platform_object const& object)
               { calls_->on_claim_table(object.name_, object.value_); },
               [](bool) {
               }})
        , caller_handler_(
              {view_, metrics_, clock_, is_leaving_,
               options_.caller_server_.max_body_bytes_,
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
        peers_.limits_ = options_.peer_limits_;
    }

    ~entry_runtime() override
    {
        if (caller_server_)
        {
            caller_server_->stop();
        }
        if (admin_server_)
        {
            admin_server_->stop();
        }
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
                    "malformed frame on the internal port");
            });
        if (!bus)
        {
            return bus.error();
        }
        bus_ = std::move(bus).value();
        create_config_manager();
        streams_ = std::make_unique<stream_service>(stream_environment{
            *bus_, metrics_, view_, clock_, bus_->address(),
            options_.incarnation_, options_.stream_limits_,
            options_.resume_grace_,
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
            options_.caller_server_,
            [this](incoming_request request, std::shared_ptr<http_reply> reply)
            { caller_handler_.handle(std::move(request), std::move(reply)); });
        if (!callers)
        {
            return callers.error();
        }
        caller_server_ = std::move(callers).value();
        if (options_.is_admin_enabled_)
        {
            admin_handler_ = std::make_unique<admin_http_handler>(
                store_, metrics_, options_.admin_token_, make_admin_hooks());
            auto admin = http_server::start(
                options_.admin_server_,
                [this](incoming_request const& request,
                       std::shared_ptr<http_reply> const& reply)
                { admin_handler_->handle(request, reply); });
            if (!admin)
            {
                return admin.error();
            }
            admin_server_ = std::move(admin).value();
        }
        thread_ = std::thread([this] { io_.run(); });
        asio::post(io_,
                   [this]
                   {
                       poll_hosts();
                       claim_table_watch_.set_active(true);
                       update_members();
                       schedule_tick();
                   });
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
                [this](std::string const& peer) {
                    execute(send_hello{peer, false});
                },
                [this](bool is_watching)
                { service_watch_.set_active(is_watching); },
                [this](std::shared_ptr<service_config const> const& config)
                {
                    view_builder_.request_build();
                    send_hello_to_endpoints(config->name_);
                }});
    }

    /// Sends a hello to each endpoint of the service. Regular hellos are too
    /// infrequent to distribute a new configuration to companions.
    void send_hello_to_endpoints(std::string const& service)
    {
        for (endpoint_description const& endpoint : known_endpoints(peers_))
        {
            if (endpoint.service_ == service &&
                endpoint.state_ != host_state::dead)
            {
                execute(send_hello{endpoint.address_, false});
            }
        }
    }

    std::string bus_address() const override { return bus_->address(); }
    std::uint16_t callers_port() const override
    {
        return caller_server_->port();
    }
    std::uint16_t admin_port() const override
    {
        return admin_server_ ? admin_server_->port() : 0;
    }

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
            asio::post(
                io_,
                [this, service, version, text]
                {
                    config_manager_->on_platform_object(
                        {service_object_kind, service, version, text, false});
                });
        };
        return hooks;
    }

    // The functions below run on the core thread.

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
        config_manager_->on_versions(body.from_address_, body.versions_);
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
            reply.versions_ = config_manager_->versions();
            config_manager_->on_versions(body.from_address_, body.versions_);
            apply(on_incoming_hello(peers_, body.from_address_, clock_.now()));
            send_suspicions_to_new_entry(sender, body.from_address_);
        }
        bus_->send(body.from_address_, std::move(reply));
    }

    /// Sends the crash suspicions to an entry that has just started, so that it
    /// receives them before a caller repeats a suspected request there.
    void send_suspicions_to_new_entry(incarnation_id sender,
                                      std::string const& address)
    {
        if (std::exchange(informed_entries_[address], sender) == sender)
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
            std::visit([this](auto const& each) { execute(each); }, action);
        }
    }

    void execute(send_hello const& action)
    {
        if (action.is_reconnect_)
        {
            // Dead peers are probed on new connections too; only the silence of
            // a live peer is logged.
            if (peers_.peers_.at(action.address_).is_alive_)
            {
                log(log_level::warning, log_event::peer_silent,
                    {{"peer", action.address_}},
                    "a new connection is being tried");
            }
            bus_->replace(action.address_);
        }
        hello outgoing;
        outgoing.from_address_ = bus_->address();
        outgoing.role_ = host_role::entry;
        outgoing.nonce_ = ++last_nonce_;
        outgoing.versions_ = versions_for(action.address_);
        bus_->send(action.address_, std::move(outgoing));
    }

    /// Returns the versions to send to a peer: only its own service's version
    /// for an endpoint, all versions for an entry.
    version_map versions_for(std::string const& address) const
    {
        version_map versions = config_manager_->versions();
        auto const peer = peers_.peers_.find(address);
        if (peer != peers_.peers_.end() && peer->second.endpoint_)
        {
            std::erase_if(
                versions, [&peer](auto const& version)
                { return version.first != peer->second.endpoint_->service_; });
        }
        return versions;
    }

    void execute(test_connection const& action)
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

    void execute(peer_lost const& action)
    {
        log(log_level::warning, log_event::peer_lost,
            {{"peer", action.address_}, {"reason", to_string(action.reason_)}},
            "streams through this peer are resumed elsewhere");
        metrics_.add("auburnlb_peers_lost_total");
        streams_->on_peer_lost(action.address_, action.incarnation_,
                               action.reason_);
        calls_->on_peer_lost(action.address_, action.incarnation_,
                             action.reason_);
    }

    void execute(peer_answered const& action)
    {
        streams_->on_peer_answered(action.address_, action.incarnation_);
        calls_->on_peer_answered(action.address_, action.incarnation_);
    }

    void execute(disconnect_peer const& action)
    {
        bus_->disconnect(action.address_);
    }

    void execute(endpoints_changed const& /*action*/)
    {
        log_peer_changes(seen_peers_, known_endpoints(peers_));
        view_builder_.request_build();
        update_members();
        send_fleet_to_companions();
    }

    /// Sends the endpoints of each plain service to its companions, which
    /// assign key shards by them.
    void send_fleet_to_companions()
    {
        std::vector<endpoint_description> const endpoints =
            known_endpoints(peers_);
        for (endpoint_description const& receiver : endpoints)
        {
            if (receiver.kind_ != service_kind::plain)
            {
                continue;
            }
            for (endpoint_description const& other : endpoints)
            {
                if (other.service_ == receiver.service_)
                {
                    bus_->send(receiver.address_, endpoint_update{other});
                }
            }
        }
        next_fleet_update_ = clock_.now() + fleet_update_interval;
    }

    // Configurations are distributed among the entries; companions receive them
    // after the entries' hellos.

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
        config_manager_->set_members(std::move(members));
    }

    void on_body(incarnation_id /*sender*/, config_push& body)
    {
        config_manager_->on_push(body);
    }

    void on_body(incarnation_id /*sender*/, config_request& body)
    {
        config_manager_->on_request(body);
    }

    void on_link_lost(std::string const& peer)
    {
        apply(auburnlb::on_link_down(peers_, peer, clock_.now()));
    }

    routing_view_inputs read_routing_view_inputs() const
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
            {config_manager_->services(), known_endpoints(peers_)},
            static_cast<std::uint32_t>(entries.size()),
            static_cast<std::uint32_t>(std::distance(entries.begin(), own))};
    }

    /// Sends a drain request to an endpoint's companion, which then announces
    /// its state to every entry. Returns the response of the administration
    /// API, or an error if the endpoint is unknown or unreachable.
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
                             "endpoint " + name + " is unreachable"};
            }
            return dump_text(nlohmann::ordered_json{{"endpoint", name},
                                                    {"state", "leaving"}});
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
        update_platform_state(hosts.has_value());
        hosts_timer_.expires_after(hosts ? options_.hosts_poll_interval_
                                         : platform_retry_wait_);
        hosts_timer_.async_wait(
            [this](std::error_code failure)
            {
                if (!failure)
                {
                    poll_hosts();
                }
            });
    }

    void update_platform_state(bool is_reachable)
    {
        if (is_reachable)
        {
            platform_retry_wait_ = platform_retry_min;
        }
        else
        {
            platform_retry_wait_ =
                std::min(platform_retry_wait_ * 2, platform_retry_max);
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
            is_reachable ? "the platform is reachable"
                         : "requests continue with the last known state");
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
        apply(on_peer_tick(peers_, clock_.now()));
        config_manager_->on_tick();
        if (clock_.now() >= next_fleet_update_)
        {
            send_fleet_to_companions();
        }
        streams_->on_tick();
        calls_->on_tick();
        stop_if_idle();
    }

    void start_leaving()
    {
        if (is_leaving_.exchange(true))
        {
            return;
        }
        leaving_since_ = clock_.now();
        caller_server_->close_after_responses();
        log(log_level::info, log_event::process_stopping, {},
            "reporting not ready; requests in progress continue");
    }

    void stop_if_idle()
    {
        if (!is_leaving_)
        {
            return;
        }
        nanoseconds const since = clock_.now() - leaving_since_;
        if (since > readiness_off_delay && !is_drained_)
        {
            is_drained_ = true;
            caller_server_->drain();
        }
        bool const is_idle = is_drained_ && streams_->in_progress() == 0 &&
                             calls_->in_progress() == 0 &&
                             caller_server_->requests_in_progress() == 0 &&
                             // A request may be on its way on each of them.
                             caller_server_->open_connections() == 0 &&
                             since > 2 * readiness_off_delay;
        if (is_idle || since > options_.drain_limit_)
        {
            work_guard_.reset();
            io_.stop();
        }
    }

    entry_options const options_;
    metrics_registry metrics_;
    steady_clock_source const clock_;
    snapshot_cell<routing_view> view_;
    // Declared before http_, so that it outlives handlers that post to it.
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
    asio::steady_timer tick_timer_;
    asio::steady_timer hosts_timer_;
    routing_view_builder view_builder_;
    http_client http_;
    platform_client platform_;
    platform_store store_;
    std::unique_ptr<admin_http_handler> admin_handler_;
    object_watch service_watch_;
    object_watch claim_table_watch_;
    std::atomic<bool> is_leaving_{false};
    caller_http_handler caller_handler_;
    std::unique_ptr<message_bus> bus_;
    std::unique_ptr<stream_service> streams_;
    std::unique_ptr<call_service> calls_;
    std::unique_ptr<config_manager> config_manager_;
    std::unique_ptr<http_server> caller_server_;
    std::unique_ptr<http_server> admin_server_;
    std::thread thread_;

    // The members below are accessed only from thread_.
    peer_table peers_;
    seen_peers seen_peers_;
    /// Incarnation of each entry to which the suspicions were sent.
    std::map<std::string, incarnation_id> informed_entries_;
    time_point next_fleet_update_{};
    std::uint64_t last_nonce_ = 0;
    bool is_platform_up_ = true;
    bool is_drained_ = false;
    milliseconds platform_retry_wait_ = platform_retry_min;
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
