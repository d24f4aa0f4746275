// A sum whose older parts count less and less.
#ifndef AUBURNLB_COORDINATION_DECAYING_SUM_HPP
#define AUBURNLB_COORDINATION_DECAYING_SUM_HPP

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Decays exponentially. Every use of one sum names the same time constant.
struct decaying_sum
{
    double value_ = 0;
    time_point updated_at_{};

    bool operator==(decaying_sum const&) const = default;
};

double value_at(decaying_sum const& sum, time_point now,
                nanoseconds time_constant);

void add(decaying_sum& sum, double amount, time_point now,
         nanoseconds time_constant);

} // namespace auburnlb

#endif
