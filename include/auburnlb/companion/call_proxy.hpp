// The companion's gate before a plain endpoint: the only way to it.
#ifndef AUBURNLB_COMPANION_CALL_PROXY_HPP
#define AUBURNLB_COMPANION_CALL_PROXY_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "auburnlb/protocol/claim_log.hpp"
#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/fleet.hpp"
#include "auburnlb/state/metrics.hpp"
#include "auburnlb/state/service_config.hpp"
#include "auburnlb/transport/http_client.hpp"
#include "auburnlb/transport/platform_client.hpp"

namespace auburnlb
{

/// How one gate is set up. Immutable once it runs.
struct call_proxy_options
{
    std::string endpoint_url_;
    std::string service_;
    /// nng address of this companion.
    std::string address_;
    incarnation_id incarnation_ = 0;
    /// Bounds of the claim home; the lifetime of keys comes from the service's
    /// configuration.
    shard_owner_settings home_settings_;
    /// Share of the platform's writes a second for all homes of the service;
    /// stretches the group interval as homes are added.
    std::size_t claim_writes_per_second_ = 300;
    /// Calls at the endpoint at most; more are refused.
    std::size_t max_in_progress_ = 1'000;
    /// Pause between two looks at the table of homes while shards move.
    milliseconds table_check_interval_{1'000};
    /// The same while nothing is to be done.
    milliseconds table_refresh_{30'000};
    /// A home that is dead in the fleet's view for this long is replaced.
    milliseconds dead_home_timeout_{3'000};
    /// Shards move to a newcomer after the fleet was unchanged for this long.
    milliseconds settle_after_{5'000};
    /// A leaving gate stops waiting for the table after this long.
    milliseconds hand_over_limit_{10'000};
};

/// Runs the calls of one plain endpoint. A call without a key is sent at most
/// once; a keyed call runs at most once over all endpoints of the service.
/// Thread-safe; its handlers run on the HTTP client's thread and on its own.
/// Invariant: only a call whose claim is durable reaches the endpoint, unless
/// it carries no key or may be repeated.
class call_proxy
{
public:
    /// Sends a message to a peer, as message_bus::send.
    using send_function =
        std::function<void(std::string const& peer, message body)>;
    /// The service's configuration; null while it is not known.
    using config_function =
        std::function<std::shared_ptr<service_config const>()>;

    call_proxy(http_client& http, platform_client& platform,
               call_proxy_options options, send_function send,
               clock_source& clock, metrics_registry& metrics,
               config_function config);
    /// The HTTP client may outlive the gate: late answers are dropped.
    ~call_proxy();
    call_proxy(call_proxy const&) = delete;
    call_proxy& operator=(call_proxy const&) = delete;

    /// Answers with a call_reply to the call's reply_to_, sooner or later.
    void on_call(call_request call);
    /// Every endpoint that this process knows, its own included.
    void on_fleet_update(std::vector<endpoint_description> const& endpoints);
    /// From now on new calls are refused and shards are given back.
    void begin_leaving();
    /// Whether no call is in progress and, when leaving, no shard is held.
    bool is_idle() const;
    load_report load() const;
    /// Shards of which this gate is the home.
    std::size_t owned_shard_count() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace auburnlb

#endif
