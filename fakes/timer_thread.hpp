// Runs functions after a delay, on one thread, in the order of their times.
#ifndef AUBURNLB_FAKES_TIMER_THREAD_HPP
#define AUBURNLB_FAKES_TIMER_THREAD_HPP

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "auburnlb/state/clock.hpp"

namespace auburnlb::fakes
{

class timer_thread
{
public:
    timer_thread();
    ~timer_thread();
    timer_thread(timer_thread const&) = delete;
    timer_thread& operator=(timer_thread const&) = delete;

    /// Runs the function on the calling thread when the delay is zero.
    void after(milliseconds delay, std::function<void()> function);
    /// Waits for the function that runs and forgets the others.
    void stop();

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    bool is_stopping_ = false;
    std::multimap<time_point, std::function<void()>> waiting_;
    std::thread thread_;
};

} // namespace auburnlb::fakes

#endif
