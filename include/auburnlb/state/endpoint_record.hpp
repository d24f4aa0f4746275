// The record with which an endpoint registers itself at the platform.
#ifndef AUBURNLB_STATE_ENDPOINT_RECORD_HPP
#define AUBURNLB_STATE_ENDPOINT_RECORD_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "auburnlb/state/ids.hpp"

namespace auburnlb
{

/// A registered endpoint. A restarted endpoint may reuse its identifier; the
/// start time distinguishes the runs.
struct endpoint_record
{
    std::string id_;
    std::string service_;
    /// "IP:port".
    std::string address_;
    std::string data_centre_;
    /// Maximum number of requests that it processes concurrently.
    std::uint32_t slots_ = 1;
    /// Finishes running requests and accepts no new ones.
    bool is_draining_ = false;
    /// Kind of accelerator; empty for a plain service.
    std::string accelerator_;
    /// Layers that it has loaded; unset if there are none.
    std::optional<layer_range> layers_;
    /// Number of orders accepted since its start.
    std::uint64_t orders_ = 0;
    /// Unix time of its start in ms; 0 if unknown.
    std::uint64_t started_ms_ = 0;
    /// Never decreases during a run, so that older records are recognized.
    std::uint64_t sequence_ = 0;

    bool operator==(endpoint_record const&) const = default;
};

/// Whether two records describe the same run of an endpoint.
inline bool is_same_run(endpoint_record const& left,
                        endpoint_record const& right)
{
    return left.id_ == right.id_ && left.address_ == right.address_ &&
           left.started_ms_ == right.started_ms_;
}

/// Identifies one run of an endpoint, from its start to its end.
inline std::string run_id_of(endpoint_record const& record)
{
    return record.id_ + "@" + std::to_string(record.started_ms_);
}

} // namespace auburnlb

#endif
