// Router options, read from the settings.
#include "auburnlb/router/router_options.hpp"

#include <sstream>

namespace auburnlb
{

namespace
{

std::vector<std::string> split_list(std::string const& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
    {
        if (!part.empty())
        {
            parts.push_back(part);
        }
    }
    return parts;
}

} // namespace

result<router_options> read_router_options(settings const& values)
{
    using namespace settings_catalogue;
    if (auto missing =
            values.require_all({&node_name, &node_data_centre, &router_callers,
                                &router_ready, &router_control, &router_store}))
    {
        return *missing;
    }
    router_options options;
    options.name_ = values.get(node_name);
    options.data_centre_ = values.get(node_data_centre);
    options.callers_address_ = values.get(router_callers);
    options.ready_address_ = values.get(router_ready);
    options.control_address_ = values.get(router_control);
    options.store_address_ = values.get(router_store);
    options.store_loss_detection_ = values.get(router_store_silence);
    options.endpoint_heartbeat_ = values.get(router_endpoint_heartbeat);
    options.seeds_ = split_list(values.get(router_seeds));
    options.retries_.ratio_ = values.get(router_retry_ratio);
    options.retries_.slack_ = values.get(router_retry_slack);
    options.retries_.window_ = values.get(router_retry_window);
    options.shares_capacity_ = values.get(router_share_capacity);
    options.bounds_prefill_ = values.get(router_bound_prefill);
    options.controls_overload_ = values.get(router_overload_control);
    options.body_stall_ = values.get(router_body_stall);
    options.max_connections_ = values.get(router_max_connections);
    options.stop_limit_ = values.get(router_stop_limit);
    return options;
}

} // namespace auburnlb
