// Signals of entries and companions.
#include "auburnlb/transport/stop_signals.hpp"

#include <atomic>
#include <csignal>
#include <thread>

namespace auburnlb
{

namespace
{

/// Interval at which the signal thread checks whether the process has finished.
constexpr long signal_poll_ns = 50'000'000;

} // namespace

void block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void run_until_stopped(std::function<void()> const& begin_leaving,
                       std::function<void()> const& wait)
{
    std::atomic<bool> is_finished{false};
    std::thread signal_thread(
        [&]
        {
            sigset_t signals;
            sigemptyset(&signals);
            sigaddset(&signals, SIGTERM);
            sigaddset(&signals, SIGINT);
            timespec const poll{0, signal_poll_ns};
            while (!is_finished)
            {
                if (sigtimedwait(&signals, nullptr, &poll) > 0)
                {
                    begin_leaving();
                }
            }
        });
    wait();
    is_finished = true;
    signal_thread.join();
}

} // namespace auburnlb
