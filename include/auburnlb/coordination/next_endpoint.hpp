// Choice of the endpoint for a request's next attempt at a service without
// layers, within the number of endpoints that its route allows.
#ifndef AUBURNLB_COORDINATION_NEXT_ENDPOINT_HPP
#define AUBURNLB_COORDINATION_NEXT_ENDPOINT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "auburnlb/coordination/attempted_endpoints.hpp"
#include "auburnlb/coordination/endpoint_directory.hpp"

namespace auburnlb
{

/// Where a request may be sent next.
struct next_attempt
{
    attempted_endpoints attempted_;
    /// Number of different endpoints that the request may be sent to.
    std::uint32_t max_endpoints_ = 1;
    /// Whether the request may be sent to one of them again.
    bool may_return_ = false;
    /// Endpoints that run the request now.
    std::vector<std::string> busy_ids_;

    bool operator==(next_attempt const&) const = default;
};

/// Returns the endpoint for the next attempt: a new one if the request may be
/// sent to another one, else one that it was sent to. The endpoint of the last
/// attempt is the last choice. Returns null if none accepts the request now.
endpoint_ptr choose_next_endpoint(std::vector<endpoint_ptr> const& endpoints,
                                  std::string const& data_centre,
                                  next_attempt const& next, time_point now);

/// Returns whether an endpoint may accept the request later. None will if all
/// that it may be sent to are gone.
/// @param endpoints those of the service
bool has_endpoint_left(std::vector<endpoint_ptr> const& endpoints,
                       attempted_endpoints const& attempted,
                       std::uint32_t max_endpoints);

} // namespace auburnlb

#endif
