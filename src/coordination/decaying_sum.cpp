// Exponential decay of a sum.
#include "auburnlb/coordination/decaying_sum.hpp"

#include <algorithm>
#include <cmath>

namespace auburnlb
{

double value_at(decaying_sum const& sum, time_point now,
                nanoseconds time_constant)
{
    std::chrono::duration<double> const age =
        std::max(now - sum.updated_at_, nanoseconds(0));
    std::chrono::duration<double> const constant = time_constant;
    return sum.value_ * std::exp(-(age / constant));
}

void add(decaying_sum& sum, double amount, time_point now,
         nanoseconds time_constant)
{
    sum.value_ = value_at(sum, now, time_constant) + amount;
    sum.updated_at_ = now;
}

} // namespace auburnlb
