// The endpoints that one request was sent to.
#ifndef AUBURNLB_COORDINATION_ATTEMPTED_ENDPOINTS_HPP
#define AUBURNLB_COORDINATION_ATTEMPTED_ENDPOINTS_HPP

#include <string>
#include <vector>

namespace auburnlb
{

struct attempted_endpoints
{
    /// Each once, by its first attempt.
    std::vector<std::string> ids_;
    /// The endpoint of the last attempt.
    std::string last_id_;
    /// Whether the last attempt was the first there.
    bool is_last_new_ = false;

    bool operator==(attempted_endpoints const&) const = default;
};

void record_attempt(attempted_endpoints& attempted, std::string const& id);

/// The last attempt did not reach its endpoint, which is forgotten unless an
/// attempt before had named it: that one may have run there.
void undo_last_attempt(attempted_endpoints& attempted);

} // namespace auburnlb

#endif
