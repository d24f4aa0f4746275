// A clock that keeps running while the process is suspended.
#ifndef AUBURNLB_ROUTER_BOOT_CLOCK_HPP
#define AUBURNLB_ROUTER_BOOT_CLOCK_HPP

#include <ctime>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Time since the host booted, from CLOCK_BOOTTIME. Callers and leases time out
/// while a process is suspended, so its own deadlines must pass as well.
class boot_clock final : public clock_source
{
public:
    time_point now() const override
    {
        timespec value{};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(seconds(value.tv_sec) + nanoseconds(value.tv_nsec));
    }
};

} // namespace auburnlb

#endif
