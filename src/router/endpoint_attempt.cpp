// Resources of one attempt, and what is known of its engines.
#include "auburnlb/router/endpoint_attempt.hpp"

#include <algorithm>

namespace auburnlb
{

void close_connection(endpoint_attempt& attempt)
{
    if (attempt.connection_ != nullptr)
    {
        attempt.connection_->cancel();
        attempt.connection_.reset();
    }
}

void finish_exchange(endpoint_attempt& attempt)
{
    if (attempt.connection_ != nullptr)
    {
        attempt.following_bytes_ = attempt.connection_->following_bytes();
        attempt.connection_.reset();
    }
}

void release_reservations(endpoint_attempt& attempt)
{
    for (endpoint_reservation const& each : attempt.reservations_)
    {
        subtract_load(*each.endpoint_, each.load_);
    }
    attempt.reservations_.clear();
}

bool has_ended_engine(endpoint_attempt const& attempt)
{
    return std::any_of(
        attempt.reservations_.begin(), attempt.reservations_.end(),
        [&attempt](endpoint_reservation const& each)
        {
            return each.endpoint_->is_refusing_connections_ &&
                   has_failed_since(*each.endpoint_, attempt.last_progress_at_);
        });
}

} // namespace auburnlb
