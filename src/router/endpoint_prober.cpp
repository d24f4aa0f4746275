// Probes and what their answers show.
#include "auburnlb/router/endpoint_prober.hpp"

#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// An engine answers a report within a few milliseconds, also under load.
constexpr milliseconds probe_timeout{80};

/// Streams that stall together need one probe.
constexpr milliseconds probe_interval{200};

/// How long an engine that no longer holds its layers is left out, if its
/// record does not change.
constexpr milliseconds lost_layers_lifetime{1'500};

} // namespace

void endpoint_prober::probe(endpoint_ptr const& endpoint)
{
    time_point const now = clock_.now();
    if (endpoint->is_probed_ || now - endpoint->probe_sent_ < probe_interval)
    {
        return;
    }
    endpoint->is_probed_ = true;
    endpoint->probe_sent_ = now;
    caller_.call(endpoint->record_.address_, protocol_.write_report_call_(),
                 probe_timeout,
                 [this, endpoint](result<http_reply> const& reply)
                 { on_reply(endpoint, reply); });
}

void endpoint_prober::on_reply(endpoint_ptr const& endpoint,
                               result<http_reply> const& reply)
{
    time_point const now = clock_.now();
    endpoint->is_probed_ = false;
    auto const report = reply ? protocol_.read_report_(reply.value().body_)
                              : result<engine_report>(reply.error());
    if (!report)
    {
        endpoint->probe_failed_ = now;
        note_evidence(endpoint->health_, health_evidence::silence, now);
        log(log_level::warning, log_event::peer_silent,
            {{"peer", endpoint->record_.id_},
             {"address", endpoint->record_.address_}},
            to_string(report.error()));
        return;
    }
    endpoint->probe_answered_ = now;
    note_slowness(endpoint->health_, report.value().slowness_, now);
    bool const is_other_run =
        report.value().started_ms_ != endpoint->record_.started_ms_;
    if (is_other_run || !report.value().layers_)
    {
        endpoint->layers_lost_until_ = now + lost_layers_lifetime;
    }
}

} // namespace auburnlb
