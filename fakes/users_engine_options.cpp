// Options of the stand-in of the users' engines.
#include "users_engine_options.hpp"

#include <string_view>

#include <getopt.h>

#include "program.hpp"

namespace auburnlb::fakes
{

namespace
{

constexpr char const* usage =
    "usage: fake-users_engine --id ID --store IP:PORT [--service NAME] "
    "[--zone NAME] [--kind ACCELERATOR] [--events N] "
    "[--advertise IP:PORT] [--port N] [--record FILE] [--crash-part ID] "
    "[--crash-body TEXT] [--crash-point request|head|later-engine|EVENTS] "
    "[--reset-connections] [--head-delay MS] [--restart-at-once]\n";

void read_crash_point(users_engine_options& options, std::string_view text)
{
    constexpr std::uint64_t max_crash_events = 10'000;
    if (text == "request")
    {
        options.crash_point_ = crash_point::before_head;
        return;
    }
    if (text == "head")
    {
        options.crash_point_ = crash_point::after_head;
        return;
    }
    if (text == "later-engine")
    {
        options.crash_point_ = crash_point::later_engine;
        return;
    }
    options.crash_point_ = crash_point::after_events;
    options.crash_events_ = static_cast<std::uint32_t>(
        parse_number("--crash-point", text.data(), max_crash_events));
}

} // namespace

users_engine_options read_users_engine_options(int argc, char** argv)
{
    users_engine_options options;
    option const names[] = {{"id", required_argument, nullptr, 'i'},
                            {"store", required_argument, nullptr, 's'},
                            {"service", required_argument, nullptr, 'n'},
                            {"zone", required_argument, nullptr, 'z'},
                            {"kind", required_argument, nullptr, 'k'},
                            {"events", required_argument, nullptr, 'e'},
                            {"advertise", required_argument, nullptr, 'a'},
                            {"record", required_argument, nullptr, 'r'},
                            {"crash-part", required_argument, nullptr, 'c'},
                            {"crash-body", required_argument, nullptr, 'b'},
                            {"crash-point", required_argument, nullptr, 'w'},
                            {"reset-connections", no_argument, nullptr, 'x'},
                            {"head-delay", required_argument, nullptr, 'd'},
                            {"restart-at-once", no_argument, nullptr, 't'},
                            {"port", required_argument, nullptr, 'p'},
                            {nullptr, 0, nullptr, 0}};
    constexpr std::uint64_t max_events = 100'000;
    constexpr std::uint64_t max_port = 65'535;
    constexpr std::uint64_t max_head_delay_ms = 60'000;
    for (int chosen = getopt_long(argc, argv, "", names, nullptr); chosen != -1;
         chosen = getopt_long(argc, argv, "", names, nullptr))
    {
        switch (chosen)
        {
        case 'i':
            options.id_ = optarg;
            break;
        case 's':
            options.store_ = optarg;
            break;
        case 'n':
            options.service_ = optarg;
            break;
        case 'z':
            options.zone_ = optarg;
            break;
        case 'k':
            options.kind_ = optarg;
            break;
        case 'e':
            options.events_ = static_cast<std::uint32_t>(
                parse_number("--events", optarg, max_events));
            break;
        case 'a':
            options.advertised_ = optarg;
            break;
        case 'r':
            options.record_ = optarg;
            break;
        case 'c':
            options.crash_part_ = optarg;
            break;
        case 'b':
            options.crash_body_ = optarg;
            break;
        case 'w':
            read_crash_point(options, optarg);
            break;
        case 'x':
            options.resets_connections_ = true;
            break;
        case 'd':
            options.head_delay_ = milliseconds(
                parse_number("--head-delay", optarg, max_head_delay_ms));
            break;
        case 't':
            options.restarts_at_once_ = true;
            break;
        case 'p':
            options.port_ = static_cast<std::uint16_t>(
                parse_number("--port", optarg, max_port));
            break;
        default:
            exit_with_usage(usage, 2);
        }
    }
    if (options.id_.empty() || options.store_.empty())
    {
        exit_with_usage(usage, 2);
    }
    return options;
}

} // namespace auburnlb::fakes
