// One process's view of the fleet: hosts, endpoints, load and configuration.
#ifndef AUBURNLB_STATE_FLEET_HPP
#define AUBURNLB_STATE_FLEET_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "auburnlb/state/ids.hpp"
#include "auburnlb/state/service_config.hpp"

namespace auburnlb
{

/// Whether a host accepts new work.
enum class host_state
{
    live,
    leaving,
    dead,
};

/// What runs on a host.
enum class host_role
{
    entry,
    endpoint,
};

/// A host in the platform's host list, which may lag behind the actual state.
struct host_entry
{
    std::string name_;
    host_role role_ = host_role::endpoint;
    /// nng address of the process, "tcp://IP:port".
    std::string address_;
    std::string data_centre_;
    std::string region_;
    host_state state_ = host_state::live;

    bool operator==(host_entry const&) const = default;
};

/// Load of an endpoint at the time of its last report.
struct load_report
{
    /// Streams or calls in progress.
    std::uint32_t active_ = 0;
    /// Steps or calls queued at the endpoint.
    std::uint32_t queued_ = 0;
    /// Free KV cache, in tokens.
    std::uint64_t kv_free_tokens_ = 0;
    /// Recent mean time of one step or call, in microseconds.
    std::uint32_t step_time_us_ = 0;

    bool operator==(load_report const&) const = default;
};

/// The description of an endpoint in the hello of its companion.
struct endpoint_description
{
    std::string name_;
    std::string address_;
    incarnation_id incarnation_ = 0;
    std::string data_centre_;
    std::string region_;
    std::string service_;
    service_kind kind_ = service_kind::model;
    /// Layers held; {0, 0} for a plain service.
    layer_range layers_;
    /// Kind of accelerator, free text such as "a100".
    std::string accelerator_;
    /// Throughput in generated tokens per second at full batch.
    double tokens_per_second_ = 0;
    std::uint64_t kv_tokens_ = 0;
    host_state state_ = host_state::live;
    load_report load_;

    bool operator==(endpoint_description const&) const = default;
};

/// The state that the request path reads. Immutable, published under RCU.
struct fleet_snapshot
{
    /// Keyed by service name; the highest version known to this process.
    std::map<std::string, std::shared_ptr<service_config const>> services_;
    /// Sorted by address, without duplicates.
    std::vector<endpoint_description> endpoints_;
};

} // namespace auburnlb

#endif
