// One budget for each service for all work that is sent a second time.
#ifndef AUBURNLB_COORDINATION_RETRY_BUDGET_HPP
#define AUBURNLB_COORDINATION_RETRY_BUDGET_HPP

#include <cstdint>
#include <map>

#include "auburnlb/state/refusal.hpp"

namespace auburnlb
{

/// A token bucket filled by requests begun. Over any history, the retries are
/// at most reserve + ratio * requests begun.
struct retry_budget
{
    /// Retries for each request begun.
    double ratio_ = 0.1;
    /// Retries that may be saved up.
    double capacity_ = 1'000;
    /// Invariant: 0 <= tokens_ <= capacity_.
    double tokens_ = 0;
    std::uint64_t denied_ = 0;
    std::map<retry_reason, std::uint64_t> spent_;

    bool operator==(retry_budget const&) const = default;
};

/// Retries that a service may make before its first requests have filled the
/// budget: enough to resume the streams of one lost endpoint.
inline constexpr double default_retry_reserve = 100;

retry_budget make_retry_budget(double ratio,
                               double reserve = default_retry_reserve);

void on_request_begun(retry_budget& budget);

/// Takes one retry from the budget, or gives false if none is left.
bool try_spend(retry_budget& budget, retry_reason reason);

} // namespace auburnlb

#endif
