// Program fake-plain_service: the fake plain service as a process.
#include <cstdio>
#include <exception>

#include <getopt.h>

#include "fake_plain_service.hpp"
#include "program.hpp"

namespace
{

using namespace auburnlb;
using namespace auburnlb::fakes;

constexpr std::uint64_t max_port = 65'535;
constexpr std::uint64_t max_latency_ms = 600'000;

constexpr char const* usage =
    "Usage: fake-plain_service [options]\n"
    "  --port N        port on 127.0.0.1, 0 takes a free one (0)\n"
    "  --latency-ms N  time from execution to answer (0)\n"
    "  --help          this text\n"
    "Prints \"listening 127.0.0.1:PORT\" and runs until SIGTERM or SIGINT.\n";

constexpr option long_options[] = {
    {"port", required_argument, nullptr, 'p'},
    {"latency-ms", required_argument, nullptr, 'l'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
};

struct program_options
{
    std::uint16_t port_ = 0;
    milliseconds latency_{0};
};

program_options parse_options(int argc, char** argv)
{
    program_options options;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", long_options, nullptr)) != -1)
    {
        switch (chosen)
        {
        case 'p':
            options.port_ = static_cast<std::uint16_t>(
                parse_number("--port", optarg, max_port));
            break;
        case 'l':
            options.latency_ = milliseconds(
                parse_number("--latency-ms", optarg, max_latency_ms));
            break;
        default:
            exit_with_usage(usage, chosen == 'h' ? 0 : 2);
        }
    }
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    program_options const options = parse_options(argc, argv);
    block_stop_signals();
    try
    {
        fake_plain_service const service(options.port_, options.latency_);
        announce("listening", service.port());
        wait_for_stop_signal();
    }
    catch (std::exception const& failure)
    {
        std::fprintf(stderr, "fake-plain_service: %s\n", failure.what());
        return 1;
    }
    return 0;
}
