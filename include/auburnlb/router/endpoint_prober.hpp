// Probes of endpoints that make no progress.
#ifndef AUBURNLB_ROUTER_ENDPOINT_PROBER_HPP
#define AUBURNLB_ROUTER_ENDPOINT_PROBER_HPP

#include <functional>
#include <string>
#include <utility>

#include "auburnlb/coordination/endpoint_directory.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/platform_protocol.hpp"
#include "auburnlb/state/metrics.hpp"

namespace auburnlb
{

/// What probes tell of an endpoint's run. An endpoint that was asked at some
/// time answered after it.
struct probe_handlers
{
    std::function<void(std::string const& run)> on_ended_ =
        [](std::string const&) {
        };
    std::function<void(std::string const& run, time_point asked_at)> on_alive_ =
        [](std::string const&, time_point) {
        };
    /// The endpoint answered, and it is not known in which run.
    std::function<void(std::string const& run, time_point asked_at)>
        on_answer_ = [](std::string const&, time_point) {
        };
};

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

    void set_handlers(probe_handlers handlers)
    {
        handlers_ = std::move(handlers);
    }

    /// Sends a probe, unless one is pending or was sent recently.
    void probe(endpoint_ptr const& endpoint);

private:
    void count(char const* outcome);
    void on_probe_failed(endpoint_ptr const& endpoint, error const& failure,
                         time_point now);
    void on_reply(endpoint_ptr const& endpoint,
                  result<http_reply> const& reply);
    void on_report(known_endpoint& endpoint, engine_report const& report,
                   run_status status, time_point now);

    internal_http_client& http_client_;
    platform_protocol const& protocol_;
    clock_source const& clock_;
    metrics_registry& metrics_;
    probe_handlers handlers_;
};

} // namespace auburnlb

#endif
