// Probes of endpoints that make no progress.
#ifndef AUBURNLB_ROUTER_ENDPOINT_PROBER_HPP
#define AUBURNLB_ROUTER_ENDPOINT_PROBER_HPP

#include <functional>
#include <utility>

#include "auburnlb/coordination/endpoint_directory.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/platform_protocol.hpp"
#include "auburnlb/state/metrics.hpp"

namespace auburnlb
{

/// Requests the reports of engines, to distinguish lost engines from slow ones.
/// Not thread-safe.
class endpoint_prober
{
public:
    endpoint_prober(internal_http_client& http_client,
                    platform_protocol const& protocol,
                    clock_source const& clock, metrics_registry& metrics)
        : http_client_(http_client)
        , protocol_(protocol)
        , clock_(clock)
        , metrics_(metrics)
    {
    }

    /// Sets the function that is called when an endpoint refuses connections,
    /// which means that its process is gone.
    void set_on_connection_refused(
        std::function<void(known_endpoint const&)> handler)
    {
        on_connection_refused_ = std::move(handler);
    }

    /// Sends a probe, unless one is pending or was sent recently.
    void probe(endpoint_ptr const& endpoint);

private:
    void count(char const* outcome);
    void on_probe_failed(endpoint_ptr const& endpoint, error const& failure,
                         time_point now);
    void on_reply(endpoint_ptr const& endpoint,
                  result<http_reply> const& reply);

    internal_http_client& http_client_;
    platform_protocol const& protocol_;
    clock_source const& clock_;
    metrics_registry& metrics_;
    std::function<void(known_endpoint const&)> on_connection_refused_;
};

} // namespace auburnlb

#endif
