// The rate of requests that an endpoint takes from all routers together, and
// this router's share of it.
#ifndef AUBURNLB_COORDINATION_RATE_LIMIT_HPP
#define AUBURNLB_COORDINATION_RATE_LIMIT_HPP

#include <cstdint>
#include <optional>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// A token bucket that exists while the endpoint names a limit. The routers
/// that send to the endpoint share its rate equally.
struct rate_limit
{
    /// Requests per second from all routers; unset while the endpoint names
    /// none.
    std::optional<double> per_s_;
    /// Other routers that have sent to the endpoint lately.
    std::uint32_t other_senders_ = 0;
    /// Requests that this router may send, as of updated_at_.
    double tokens_ = 0;
    time_point updated_at_{};
    /// When the limit that is in force was first named.
    time_point learned_at_{};
    std::optional<time_point> last_sent_at_;

    bool operator==(rate_limit const&) const = default;
};

/// Applies the limit that a response names, or that it names none. A response
/// to a request from before the limit does not end it. Returns whether a limit
/// began or ended.
bool record_named_limit(rate_limit& limit, std::optional<double> per_s,
                        time_point sent_at, time_point now);

void set_other_senders(rate_limit& limit, std::uint32_t senders,
                       time_point now);

/// Returns whether a request may be sent now.
bool may_send(rate_limit const& limit, time_point now);

void record_send(rate_limit& limit, time_point now);

/// Returns whether this router counts as a sender to a limited endpoint.
bool is_sender(rate_limit const& limit, time_point now);

} // namespace auburnlb

#endif
