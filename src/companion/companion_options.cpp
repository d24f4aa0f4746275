// Reads a companion's options from its settings.
#include "auburnlb/companion/companion_options.hpp"

namespace auburnlb
{

result<companion_options> read_companion_options(settings const& values)
{
    using namespace settings_catalogue;
    if (auto missing =
            values.require_all({&node_name, &node_data_centre, &platform_url,
                                &endpoint_url, &endpoint_service}))
    {
        return *missing;
    }
    companion_options options;
    options.name_ = values.get(node_name);
    options.data_centre_ = values.get(node_data_centre);
    options.region_ = values.get(node_region);
    options.bus_address_ = values.get(peers_address);
    options.advertised_address_ = values.get(peers_advertised_address);
    options.platform_url_ = values.get(platform_url);
    options.endpoint_url_ = values.get(endpoint_url);
    options.service_ = values.get(endpoint_service);
    options.kind_ = values.get(endpoint_kind) == "plain" ? service_kind::plain
                                                         : service_kind::model;
    options.tokens_per_second_ = values.get(endpoint_tokens_per_second);
    options.kv_tokens_ = values.get(endpoint_kv_tokens);
    options.drain_limit_ = values.get(timing_drain_limit);
    options.stream_idle_limit_ = values.get(timing_resume_grace);
    return options;
}

} // namespace auburnlb
