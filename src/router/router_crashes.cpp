// Crashes that a router confirms, and what it refuses because of them.
#include <algorithm>
#include <string>

#include "auburnlb/router/forwarded_request.hpp"
#include "auburnlb/router/router.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// Requests that a log line names.
constexpr std::size_t max_logged_requests = 8;

std::string describe(endpoint_crash const& crash)
{
    std::string text;
    std::size_t count = 0;
    for (request_traits const& request : crash.requests_)
    {
        if (++count > max_logged_requests)
        {
            break;
        }
        text += (text.empty() ? "" : " ") + to_string(request);
    }
    return text;
}

} // namespace

void router::count_resolved_runs(char const* how, std::size_t runs)
{
    if (runs > 0)
    {
        core_.metrics_.add("auburnlb_router_resolved_runs_total",
                           std::string("how=\"") + how + "\"",
                           static_cast<double>(runs));
    }
}

void router::on_run_ended(std::string const& endpoint_run)
{
    time_point const now = core_.clock_.now();
    if (!has_ended(core_.interrupted_runs_, endpoint_run))
    {
        for (auto const& each : core_.active_)
        {
            each->record_ended_engine(endpoint_run, now);
        }
    }
    if (auto const crash =
            confirm_crash(core_.interrupted_runs_, endpoint_run, now))
    {
        on_crash(endpoint_run, *crash);
    }
}

void router::probe_interrupted_runs()
{
    if (core_.interrupted_runs_.runs_.empty())
    {
        return;
    }
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        if (awaits_confirmation(core_.interrupted_runs_,
                                run_id_of(endpoint->record_),
                                endpoint->probe_sent_))
        {
            core_.prober_.probe(endpoint);
        }
    }
}

void router::on_crash(std::string const& endpoint_run,
                      endpoint_crash const& crash)
{
    count_resolved_runs("crash", crash.requests_.size());
    if (!add_crash(core_.crash_causes_, endpoint_run, crash))
    {
        return;
    }
    log(log_level::info, log_event::crash_counted,
        {{"peer", endpoint_run},
         {"requests", std::to_string(crash.requests_.size())},
         {"traits", describe(crash)}},
        "an endpoint crashed while it ran requests");
    peers_.poll_now(core_.clock_.now());
    crash_store_.on_crash();
    apply_refused_traits();
}

void router::apply_refused_traits()
{
    auto const& refused = core_.crash_causes_.refused_;
    if (refused == applied_refusals_)
    {
        return;
    }
    for (request_traits const& each : refused)
    {
        bool const is_known =
            std::find(applied_refusals_.begin(), applied_refusals_.end(),
                      each) != applied_refusals_.end();
        if (!is_known)
        {
            log(log_level::warning, log_event::request_quarantined,
                {{"traits", to_string(each)}},
                "several endpoints crashed while they ran requests with these "
                "traits");
        }
    }
    applied_refusals_ = refused;
    refuse_crashing_requests(core_.clock_.now());
}

void router::refuse_crashing_requests(time_point now)
{
    for (auto& [name, service] : core_.services_)
    {
        auto const waiting = service.waiting_;
        for (auto const& [ticket, request] : waiting)
        {
            // Ends the request instead of sending it.
            if (request->is_known_to_crash() && request->try_start(now))
            {
                remove_waiting(service.queue_, ticket);
                service.waiting_.erase(ticket);
            }
        }
    }
}

} // namespace auburnlb
