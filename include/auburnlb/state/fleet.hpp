// The fleet as one process sees it: hosts, endpoints, load and configuration.
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

/// Whether a host takes new work.
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

/// A host as the platform's lagging list names it.
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

/// Load of an endpoint. Reported with a lag.
struct load_report
{
    /// Streams or calls in progress.
    std::uint32_t active_ = 0;
    /// Steps or calls that wait at the endpoint.
    std::uint32_t queued_ = 0;
    /// KV cache memory that is free, in tokens.
    std::uint64_t kv_free_tokens_ = 0;
    /// Recent mean time of one step or call, in microseconds.
    std::uint32_t step_time_us_ = 0;

    bool operator==(load_report const&) const = default;
};

/// An endpoint as its companion describes it in a hello.
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
    /// Accelerator kind, free text such as "a100".
    std::string accelerator_;
    /// Generated tokens a second that the endpoint can pass on at full batch.
    double tokens_per_second_ = 0;
    std::uint64_t kv_tokens_ = 0;
    host_state state_ = host_state::live;
    load_report load_;

    bool operator==(endpoint_description const&) const = default;
};

/// What a request's path reads. Published under RCU, never changed afterwards.
struct fleet_snapshot
{
    /// By service name; each the highest version known to this process.
    std::map<std::string, std::shared_ptr<service_config const>> services_;
    /// Sorted by address, each address once.
    std::vector<endpoint_description> endpoints_;
};

} // namespace auburnlb

#endif
