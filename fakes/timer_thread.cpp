// Runs functions after a delay.
#include "timer_thread.hpp"

#include <utility>

namespace auburnlb::fakes
{

timer_thread::timer_thread()
    : thread_([this] { run(); })
{
}

timer_thread::~timer_thread()
{
    stop();
}

void timer_thread::stop()
{
    {
        std::lock_guard const lock(mutex_);
        is_stopping_ = true;
    }
    changed_.notify_one();
    if (thread_.joinable())
    {
        thread_.join();
    }
    waiting_.clear();
}

void timer_thread::after(milliseconds delay, std::function<void()> function)
{
    if (delay <= milliseconds(0))
    {
        function();
        return;
    }
    {
        std::lock_guard const lock(mutex_);
        waiting_.emplace(std::chrono::steady_clock::now() + delay,
                         std::move(function));
    }
    changed_.notify_one();
}

void timer_thread::run()
{
    std::unique_lock lock(mutex_);
    while (!is_stopping_)
    {
        if (waiting_.empty())
        {
            changed_.wait(lock);
            continue;
        }
        auto const first = waiting_.begin();
        if (first->first > std::chrono::steady_clock::now())
        {
            time_point const due = first->first;
            changed_.wait_until(lock, due);
            continue;
        }
        auto const function = std::move(first->second);
        waiting_.erase(first);
        lock.unlock();
        function();
        lock.lock();
    }
}

} // namespace auburnlb::fakes
