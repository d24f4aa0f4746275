// Choice of the endpoint for a request's next attempt.
#include "auburnlb/coordination/next_endpoint.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

bool was_sent_to(attempted_endpoints const& attempted,
                 known_endpoint const& endpoint)
{
    return std::find(attempted.ids_.begin(), attempted.ids_.end(),
                     endpoint.record_.id_) != attempted.ids_.end();
}

/// Returns whether no process of the endpoint's run listens any more.
bool is_gone(known_endpoint const& endpoint)
{
    return endpoint.is_refusing_connections_ &&
           has_failed_since(endpoint, endpoint.silent_since_);
}

} // namespace

endpoint_ptr choose_next_endpoint(std::vector<endpoint_ptr> const& endpoints,
                                  std::string const& data_centre,
                                  next_attempt const& next, time_point now)
{
    attempted_endpoints const& attempted = next.attempted_;
    if (attempted.ids_.size() < next.max_endpoints_)
    {
        endpoint_ptr unused =
            choose_endpoint(endpoints, data_centre, attempted.ids_, now);
        if (unused != nullptr || !next.may_return_)
        {
            return unused;
        }
    }
    if (!next.may_return_)
    {
        return nullptr;
    }
    std::vector<endpoint_ptr> used = endpoints;
    std::erase_if(used, [&attempted](endpoint_ptr const& each)
                  { return !was_sent_to(attempted, *each); });
    std::vector<std::string> excluded_ids = next.busy_ids_;
    excluded_ids.push_back(attempted.last_id_);
    if (auto earlier = choose_endpoint(used, data_centre, excluded_ids, now))
    {
        return earlier;
    }
    return choose_endpoint(used, data_centre, next.busy_ids_, now);
}

bool has_endpoint_left(std::vector<endpoint_ptr> const& endpoints,
                       attempted_endpoints const& attempted,
                       std::uint32_t max_endpoints)
{
    return attempted.ids_.size() < max_endpoints ||
           std::any_of(endpoints.begin(), endpoints.end(),
                       [&attempted](endpoint_ptr const& each) {
                           return was_sent_to(attempted, *each) &&
                                  !is_gone(*each);
                       });
}

} // namespace auburnlb
