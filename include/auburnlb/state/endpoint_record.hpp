// An endpoint as it registered itself with the platform.
#ifndef AUBURNLB_STATE_ENDPOINT_RECORD_HPP
#define AUBURNLB_STATE_ENDPOINT_RECORD_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "auburnlb/state/ids.hpp"

namespace auburnlb
{

/// One endpoint. Its identifier may return after a restart; the start time
/// tells the runs apart.
struct endpoint_record
{
    std::string id_;
    std::string service_;
    /// "IP:port".
    std::string address_;
    std::string data_centre_;
    /// Requests that it processes at once.
    std::uint32_t slots_ = 1;
    /// It finishes what it runs and takes nothing new.
    bool is_draining_ = false;
    /// Kind of accelerator; empty for a plain service.
    std::string accelerator_;
    /// Layers that it holds, unset for none.
    std::optional<layer_range> layers_;
    /// Orders that it has accepted since its start.
    std::uint64_t orders_ = 0;
    /// Unix time of its start in ms; 0 if it does not say.
    std::uint64_t started_ms_ = 0;

    bool operator==(endpoint_record const&) const = default;
};

/// Whether two records of one identifier are the same run of the endpoint.
inline bool is_same_run(endpoint_record const& left,
                        endpoint_record const& right)
{
    return left.id_ == right.id_ && left.address_ == right.address_ &&
           left.started_ms_ == right.started_ms_;
}

} // namespace auburnlb

#endif
