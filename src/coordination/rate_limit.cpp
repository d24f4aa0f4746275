// Token bucket of an endpoint's rate limit.
#include "auburnlb/coordination/rate_limit.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

/// Part of the rate that is used. The rest allows for routers that begin to
/// send to the endpoint and are not known yet.
constexpr double used_share = 0.9;
/// A bucket holds the requests of this time, one at least.
constexpr std::chrono::duration<double> bucket_time{0.5};
/// A lower limit still allows this rate, or its end would never be noticed.
constexpr double min_per_s = 0.1;
/// A router counts as a sender for this long after a request, or for this many
/// intervals between the requests that its share allows, whichever is longer: a
/// router that waits for a token still needs its share.
constexpr std::chrono::duration<double> sender_time{4};
constexpr double sender_intervals = 2;

double own_rate(rate_limit const& limit)
{
    return std::max(limit.per_s_.value_or(0), min_per_s) * used_share /
           (1 + static_cast<double>(limit.other_senders_));
}

double tokens_at(rate_limit const& limit, time_point now)
{
    double const rate = own_rate(limit);
    double const capacity = std::max(1.0, rate * bucket_time.count());
    std::chrono::duration<double> const passed = now - limit.updated_at_;
    return std::min(capacity, limit.tokens_ + rate * passed.count());
}

void update_tokens(rate_limit& limit, time_point now)
{
    limit.tokens_ = tokens_at(limit, now);
    limit.updated_at_ = now;
}

} // namespace

bool record_named_limit(rate_limit& limit, std::optional<double> per_s,
                        time_point sent_at, time_point now)
{
    bool const was_limited = limit.per_s_.has_value();
    if (!per_s && (!was_limited || sent_at < limit.learned_at_))
    {
        return false;
    }
    if (per_s && !was_limited)
    {
        // The endpoint has had its requests of the last moments already.
        limit.tokens_ = 0;
        limit.updated_at_ = now;
        limit.learned_at_ = now;
    }
    if (was_limited)
    {
        update_tokens(limit, now);
    }
    limit.per_s_ = per_s;
    return was_limited != per_s.has_value();
}

void set_other_senders(rate_limit& limit, std::uint32_t senders, time_point now)
{
    update_tokens(limit, now);
    limit.other_senders_ = senders;
}

bool may_send(rate_limit const& limit, time_point now)
{
    return !limit.per_s_ || tokens_at(limit, now) >= 1;
}

void record_send(rate_limit& limit, time_point now)
{
    limit.last_sent_at_ = now;
    if (limit.per_s_)
    {
        update_tokens(limit, now);
        limit.tokens_ = std::max(0.0, limit.tokens_ - 1);
    }
}

bool is_sender(rate_limit const& limit, time_point now)
{
    if (!limit.per_s_ || !limit.last_sent_at_)
    {
        return false;
    }
    std::chrono::duration<double> const turns{sender_intervals /
                                              own_rate(limit)};
    return now - *limit.last_sent_at_ <= std::max(sender_time, turns);
}

} // namespace auburnlb
