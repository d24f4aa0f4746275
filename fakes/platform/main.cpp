// Program fake-platform: the fake platform as a process.
#include <cstdio>
#include <exception>

#include <getopt.h>

#include "fake_platform.hpp"
#include "program.hpp"

namespace
{

using namespace auburnlb::fakes;

constexpr std::uint64_t max_port = 65'535;

constexpr char const* usage =
    "Usage: fake-platform [--port N]\n"
    "  --port N  port on 127.0.0.1, 0 takes a free one (0)\n"
    "  --help    this text\n"
    "Prints \"listening 127.0.0.1:PORT\" and runs until SIGTERM or SIGINT.\n";

constexpr option long_options[] = {
    {"port", required_argument, nullptr, 'p'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
};

std::uint16_t parse_port(int argc, char** argv)
{
    std::uint16_t port = 0;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", long_options, nullptr)) != -1)
    {
        if (chosen != 'p')
        {
            exit_with_usage(usage, chosen == 'h' ? 0 : 2);
        }
        port = static_cast<std::uint16_t>(
            parse_number("--port", optarg, max_port));
    }
    return port;
}

} // namespace

int main(int argc, char** argv)
{
    std::uint16_t const port = parse_port(argc, argv);
    block_stop_signals();
    try
    {
        fake_platform const platform(port);
        announce("listening", platform.port());
        wait_for_stop_signal();
    }
    catch (std::exception const& failure)
    {
        std::fprintf(stderr, "fake-platform: %s\n", failure.what());
        return 1;
    }
    return 0;
}
