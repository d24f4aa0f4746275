// An entry's options from its settings.
#include "auburnlb/entry/entry_options.hpp"

namespace auburnlb
{

result<entry_options> read_entry_options(settings const& values)
{
    using namespace settings_catalogue;
    if (auto missing =
            values.require_all({&node_name, &node_data_centre, &platform_url}))
    {
        return *missing;
    }
    entry_options options;
    options.name_ = values.get(node_name);
    options.data_centre_ = values.get(node_data_centre);
    options.region_ = values.get(node_region);
    options.bus_address_ = values.get(peers_address);
    options.platform_url_ = values.get(platform_url);
    options.callers_.address_ = values.get(callers_address);
    options.callers_.port_ = values.get(callers_port);
    options.callers_.threads_ = values.get(callers_threads);
    options.callers_.max_body_bytes_ = values.get(callers_max_body_bytes);
    options.is_admin_enabled_ = values.get(admin_enabled);
    if (options.is_admin_enabled_)
    {
        if (auto missing = values.require(admin_token))
        {
            return *missing;
        }
    }
    options.admin_.address_ = values.get(admin_address);
    options.admin_.port_ = values.get(admin_port);
    options.admin_token_ = values.get(admin_token);
    options.peers_.hello_interval_ = values.get(timing_heartbeat);
    options.peers_.silence_ = values.get(timing_probe_timeout);
    options.streams_.silence_ = values.get(timing_stream_silence);
    options.streams_.probe_timeout_ = values.get(timing_probe_timeout);
    options.drain_limit_ = values.get(timing_drain_limit);
    options.resume_grace_ = values.get(timing_resume_grace);
    options.hosts_poll_ = values.get(timing_hosts_poll);
    options.watch_wait_ = values.get(timing_watch_wait);
    return options;
}

} // namespace auburnlb
