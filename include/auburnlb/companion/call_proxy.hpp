// Forwards calls to one plain endpoint and runs each keyed call at most once.
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

/// Options of a call proxy.
struct call_proxy_options
{
    std::string endpoint_url_;
    std::string service_;
    /// nng address of this companion.
    std::string address_;
    incarnation_id incarnation_ = 0;
    /// Limits of the shard owner. The key lifetime is taken from the service's
    /// configuration instead.
    shard_owner_settings owner_settings_;
    /// Claim writes per second of all owners of the service together. The group
    /// interval grows with the number of owners to stay within this rate.
    std::size_t claim_writes_per_second_ = 300;
    /// Maximum number of calls at the endpoint; further calls are refused.
    std::size_t max_in_progress_ = 1'000;
    /// Interval between checks of the claim table while shards move.
    milliseconds table_check_interval_{1'000};
    /// Interval between reads of the claim table while no shards move.
    milliseconds table_refresh_interval_{30'000};
    /// An owner is replaced after it was dead or missing for this long.
    milliseconds dead_owner_timeout_{3'000};
    /// Shards move to other endpoints once the fleet was unchanged for this
    /// long.
    milliseconds rebalance_delay_{5'000};
    /// Maximum time that a leaving proxy waits for the release of its shards.
    milliseconds state_transfer_timeout_{10'000};
};

/// Forwards calls to one plain endpoint. A call without a key is sent at most
/// once; a keyed call runs at most once across all endpoints of the service.
/// Thread-safe: handlers run on the HTTP client's thread and on the proxy's
/// own thread.
/// Invariant: a call that has a key and is not idempotent reaches the endpoint
/// only after its claim is durable.
class call_proxy
{
public:
    /// Sends a message to a peer, like message_bus::send.
    using send_function =
        std::function<void(std::string const& peer, message body)>;
    /// Returns the service's configuration, or null while it is unknown.
    using config_function =
        std::function<std::shared_ptr<service_config const>()>;

    call_proxy(http_client& http, platform_client& platform,
               call_proxy_options options, send_function send,
               clock_source& clock, metrics_registry& metrics,
               config_function config);
    /// The HTTP client may outlive the proxy: responses that arrive after
    /// destruction are dropped.
    ~call_proxy();
    call_proxy(call_proxy const&) = delete;
    call_proxy& operator=(call_proxy const&) = delete;

    /// Handles a call and sends a call_reply to its reply_to_ when it ends.
    void on_call(call_request call);
    /// Takes the list of all known endpoints, including the companion's own.
    void on_fleet_update(std::vector<endpoint_description> const& endpoints);
    /// Starts to refuse new calls and to release the shards.
    void begin_leaving();
    /// Returns true if no call is in progress and, when leaving, all shards are
    /// released or state_transfer_timeout_ has passed.
    bool is_idle() const;
    load_report load() const;
    /// Number of shards whose owner this proxy is.
    std::size_t owned_shard_count() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace auburnlb

#endif
