// Token bucket of the retry budget.
#include "auburnlb/coordination/retry_budget.hpp"

#include <algorithm>

namespace auburnlb
{

retry_budget make_retry_budget(double ratio, double reserve)
{
    retry_budget budget;
    budget.ratio_ = std::max(0.0, ratio);
    budget.tokens_ = std::clamp(reserve, 0.0, budget.capacity_);
    return budget;
}

void on_request_begun(retry_budget& budget)
{
    budget.tokens_ = std::min(budget.capacity_, budget.tokens_ + budget.ratio_);
}

bool try_spend(retry_budget& budget, retry_reason reason)
{
    if (budget.tokens_ < 1)
    {
        ++budget.denied_;
        return false;
    }
    budget.tokens_ -= 1;
    ++budget.spent_[reason];
    return true;
}

} // namespace auburnlb
