// What the stand-ins' programs share: port announcement and stop signals.
#ifndef AUBURNLB_FAKES_PROGRAM_HPP
#define AUBURNLB_FAKES_PROGRAM_HPP

#include <cstdint>
#include <string>

namespace auburnlb::fakes
{

/// Blocks SIGTERM and SIGINT in this thread and those that it starts later.
void block_stop_signals();

/// Prints "<label> 127.0.0.1:<port>" as one flushed line on standard output.
void announce(char const* label, std::uint16_t port);

/// Waits for SIGTERM or SIGINT.
void wait_for_stop_signal();

/// Parses a decimal number for the option; prints an error that names option,
/// value and what is allowed, and exits with status 2 when it is none.
std::uint64_t parse_number(char const* option, char const* text,
                           std::uint64_t maximum);

/// Prints the usage line and exits with the status.
[[noreturn]] void exit_with_usage(char const* usage, int status);

} // namespace auburnlb::fakes

#endif
