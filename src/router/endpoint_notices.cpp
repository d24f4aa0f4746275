// Rests and stops that endpoints announce.
#include "auburnlb/router/endpoint_notices.hpp"

#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

void record_announced_stop(known_endpoint& endpoint)
{
    if (is_leaving(endpoint))
    {
        return;
    }
    endpoint.has_announced_stop_ = true;
    log(log_level::info, log_event::peer_leaving,
        {{"peer", endpoint.record_.id_},
         {"service", endpoint.record_.service_}},
        "an endpoint has announced in a response that it will stop");
}

} // namespace

void apply_notices(known_endpoint& endpoint, endpoint_response const& response,
                   time_point now)
{
    if (response.is_leaving_)
    {
        record_announced_stop(endpoint);
    }
    if (response.rest_)
    {
        record_rest(endpoint, *response.rest_, now);
        log(log_level::info, log_event::endpoint_rests,
            {{"peer", endpoint.record_.id_},
             {"rest_ms", std::to_string(response.rest_->count())}},
            "an endpoint wants no requests for a while");
    }
}

} // namespace auburnlb
