// The endpoints that one request was sent to.
#ifndef AUBURNLB_COORDINATION_ATTEMPTED_ENDPOINTS_HPP
#define AUBURNLB_COORDINATION_ATTEMPTED_ENDPOINTS_HPP

#include <string>
#include <vector>

namespace auburnlb
{

/// Ids of the endpoints that a request was sent to.
struct attempted_endpoints
{
    /// Each endpoint once, in the order of the first attempts.
    std::vector<std::string> ids_;
    /// Endpoint of the last attempt.
    std::string last_id_;
    /// Whether the last attempt was the first one at its endpoint.
    bool is_last_first_at_endpoint_ = false;

    bool operator==(attempted_endpoints const&) const = default;
};

/// Records that the request is sent to an endpoint.
void record_attempt(attempted_endpoints& attempted, std::string const& id);

/// Removes the endpoint of the last attempt, which did not reach it. Keeps the
/// endpoint if an earlier attempt was sent to it as well, since that attempt
/// may have run the request.
void undo_last_attempt(attempted_endpoints& attempted);

} // namespace auburnlb

#endif
