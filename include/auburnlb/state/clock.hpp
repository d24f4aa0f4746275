// The clock interface, which lets tests control the time.
#ifndef AUBURNLB_STATE_CLOCK_HPP
#define AUBURNLB_STATE_CLOCK_HPP

#include <chrono>

namespace auburnlb
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// A point in monotonic time.
using time_point = std::chrono::steady_clock::time_point;

/// Source of monotonic time. Tests use manual_clock.
class clock_source
{
public:
    virtual ~clock_source() = default;
    virtual time_point now() const = 0;
};

/// A clock for tests that only moves when it is advanced.
class manual_clock final : public clock_source
{
public:
    time_point now() const override { return now_; }
    void advance(nanoseconds step) { now_ += step; }

private:
    time_point now_{};
};

} // namespace auburnlb

#endif
