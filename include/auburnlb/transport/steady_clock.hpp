// The operating system's monotonic clock.
#ifndef AUBURNLB_TRANSPORT_STEADY_CLOCK_HPP
#define AUBURNLB_TRANSPORT_STEADY_CLOCK_HPP

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

class steady_clock_source final : public clock_source
{
public:
    time_point now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace auburnlb

#endif
