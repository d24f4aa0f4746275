// Probes and the evaluation of their results.
#include "auburnlb/router/endpoint_prober.hpp"

#include <optional>

#include "auburnlb/router/endpoint_notices.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// An engine sends its report within a few milliseconds, even under load.
constexpr milliseconds probe_timeout{80};

/// Streams that stall at the same time share one probe.
constexpr milliseconds probe_interval{200};

} // namespace

void endpoint_prober::count(char const* outcome)
{
    metrics_.add("auburnlb_router_probes_total",
                 "outcome=\"" + std::string(outcome) + "\"");
}

void endpoint_prober::probe(endpoint_ptr const& endpoint)
{
    time_point const now = clock_.now();
    if (endpoint->is_probe_pending_ ||
        now - endpoint->probe_sent_ < probe_interval)
    {
        count("skipped");
        return;
    }
    endpoint->is_probe_pending_ = true;
    endpoint->probe_sent_ = now;
    http_client_.call(endpoint->record_.address_,
                      protocol_.write_report_call_(), probe_timeout,
                      [this, endpoint](result<http_reply> const& reply)
                      { on_reply(endpoint, reply); });
}

void endpoint_prober::on_probe_failed(endpoint_ptr const& endpoint,
                                      error const& failure, time_point now)
{
    // A host that is down does not answer, and the probe times out first.
    bool const is_refused = failure.code_ == error_code::unreachable;
    count(is_refused ? "refused" : "silent");
    record_probe_failure(*endpoint, is_refused, now);
    record_health_signal(endpoint->health_, health_signal::silence, now);
    log(log_level::warning, log_event::peer_silent,
        {{"peer", endpoint->record_.id_},
         {"address", endpoint->record_.address_}},
        to_string(failure));
    if (is_refused)
    {
        handlers_.on_ended_(run_id_of(endpoint->record_));
    }
}

void endpoint_prober::on_reply(endpoint_ptr const& endpoint,
                               result<http_reply> const& reply)
{
    time_point const now = clock_.now();
    endpoint->is_probe_pending_ = false;
    if (!reply)
    {
        on_probe_failed(endpoint, reply.error(), now);
        return;
    }
    auto const report = protocol_.read_report_(reply.value().body_);
    run_status const status = status_of_answer(
        endpoint->record_,
        report ? std::optional(report.value().started_ms_) : std::nullopt);
    record_probe_answer(*endpoint, status, now);
    if (status == run_status::alive)
    {
        apply_notices(*endpoint, protocol_.read_response_(reply.value().head_),
                      now);
    }
    if (!report)
    {
        count("answered");
        handlers_.on_answer_(run_id_of(endpoint->record_),
                             endpoint->probe_sent_);
        return;
    }
    on_report(*endpoint, report.value(), status, now);
}

void endpoint_prober::on_report(known_endpoint& endpoint,
                                engine_report const& report, run_status status,
                                time_point now)
{
    endpoint_record const& record = endpoint.record_;
    count(status == run_status::alive ? "answered" : "other_run");
    if (status != run_status::alive || !report.layers_)
    {
        endpoint.layers_missing_until_ = now + missing_layers_backoff;
    }
    if (status == run_status::alive)
    {
        record_slowness(endpoint.health_, report.slowness_, now);
        handlers_.on_alive_(run_id_of(record), endpoint.probe_sent_);
    }
    if (status == run_status::ended)
    {
        handlers_.on_ended_(run_id_of(record));
    }
}

} // namespace auburnlb
