// Signals of the daemons.
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

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

sigset_t all_signals()
{
    sigset_t signals = stop_signals();
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void block_signals()
{
    sigset_t const signals = all_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void unblock_signals()
{
    sigset_t const signals = all_signals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

bool is_stop_pending()
{
    sigset_t pending;
    sigemptyset(&pending);
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 ||
           sigismember(&pending, SIGINT) == 1;
}

void run_until_stopped(std::function<void()> const& begin_leaving,
                       std::function<void()> const& wait)
{
    std::atomic<bool> is_finished{false};
    std::thread signal_thread(
        [&]
        {
            // SIGHUP stays blocked: settings are read at the start alone.
            sigset_t const signals = stop_signals();
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
