// Backoffs that endpoints ask for, and their announcements to leave.
#include "auburnlb/router/endpoint_notices.hpp"

#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

void record_announced_leaving(known_endpoint& endpoint)
{
    if (is_leaving(endpoint))
    {
        return;
    }
    endpoint.has_announced_leaving_ = true;
    log(log_level::info, log_event::peer_leaving,
        {{"peer", endpoint.record_.id_},
         {"service", endpoint.record_.service_}},
        "an endpoint has announced in a response that it is leaving");
}

} // namespace

void apply_notices(known_endpoint& endpoint, endpoint_response const& response,
                   time_point now)
{
    if (response.is_leaving_)
    {
        record_announced_leaving(endpoint);
    }
    if (response.backoff_)
    {
        record_backoff(endpoint, *response.backoff_, now);
        log(log_level::info, log_event::endpoint_backoff,
            {{"peer", endpoint.record_.id_},
             {"backoff_ms", std::to_string(response.backoff_->count())}},
            "an endpoint asked this router to back off");
    }
}

} // namespace auburnlb
