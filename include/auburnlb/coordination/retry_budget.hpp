// Retry budget of a service, shared by all kinds of retries.
#ifndef AUBURNLB_COORDINATION_RETRY_BUDGET_HPP
#define AUBURNLB_COORDINATION_RETRY_BUDGET_HPP

#include <cstdint>
#include <map>

#include "auburnlb/state/refusal.hpp"

namespace auburnlb
{

/// A token bucket that each new request fills by ratio_. In total, the retries
/// are at most reserve + ratio * requests.
struct retry_budget
{
    /// Retries allowed for each new request.
    double ratio_ = 0.1;
    /// Maximum number of saved retries.
    double capacity_ = 1'000;
    /// Invariant: 0 <= tokens_ <= capacity_.
    double tokens_ = 0;
    /// Number of retries that were denied.
    std::uint64_t denied_ = 0;
    /// Number of retries that were allowed, by reason.
    std::map<retry_reason, std::uint64_t> spent_;

    bool operator==(retry_budget const&) const = default;
};

/// Retries available before the first requests have filled the budget: enough
/// to resume the streams of one lost endpoint.
inline constexpr double default_retry_reserve = 100;

/// @param ratio retries allowed for each new request
/// @param reserve retries available at the start
retry_budget make_retry_budget(double ratio,
                               double reserve = default_retry_reserve);

/// Adds the share of a new request to the budget.
void on_request_begun(retry_budget& budget);

/// Takes one retry from the budget. Returns false if none is left.
bool try_spend(retry_budget& budget, retry_reason reason);

} // namespace auburnlb

#endif
