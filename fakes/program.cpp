// What the stand-ins' programs share.
#include "program.hpp"

#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace auburnlb::fakes
{

namespace
{

constexpr int usage_status = 2;

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_stop_signals()
{
    sigset_t const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void announce(char const* label, std::uint16_t port)
{
    std::printf("%s 127.0.0.1:%u\n", label, static_cast<unsigned>(port));
    std::fflush(stdout);
}

void wait_for_stop_signal()
{
    sigset_t const signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

std::uint64_t parse_number(char const* option, char const* text,
                           std::uint64_t maximum)
{
    std::uint64_t value = 0;
    char const* const end = text + std::strlen(text);
    auto const parsed = std::from_chars(text, end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value > maximum)
    {
        std::fprintf(stderr, "%s: \"%s\" is no number from 0 to %llu\n", option,
                     text, static_cast<unsigned long long>(maximum));
        std::exit(usage_status);
    }
    return value;
}

void exit_with_usage(char const* usage, int status)
{
    std::fprintf(status == 0 ? stdout : stderr, "%s", usage);
    std::exit(status);
}

} // namespace auburnlb::fakes
