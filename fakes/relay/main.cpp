// Program fake-relay: the relay as a process, with control over HTTP.
#include <cstdio>
#include <exception>

#include <getopt.h>

#include "fake_http.hpp"
#include "fake_relay.hpp"
#include "program.hpp"

namespace
{

using namespace auburnlb;
using namespace auburnlb::fakes;

constexpr std::uint64_t max_port = 65'535;

constexpr char const* usage =
    "Usage: fake-relay --to HOST:PORT [options]\n"
    "  --to HOST:PORT    where connections are relayed to, by IP number\n"
    "  --listen-port N   port on 127.0.0.1, 0 takes a free one (0)\n"
    "  --control-port N  port of the control side, 0 takes a free one (0)\n"
    "  --help            this text\n"
    "Prints \"listening 127.0.0.1:PORT\" and \"control 127.0.0.1:PORT\".\n"
    "Runs until SIGTERM or SIGINT. POST / on the control side takes a\n"
    "command as its body: silence, isolate, lose, heal, cut, reset,\n"
    "delay MS, rate BYTES_PER_S, pieces BYTES PAUSE_MS, to HOST:PORT.\n"
    "GET / counts the connections and lists the clients that the target\n"
    "refused, each as port and milliseconds of the monotonic clock.\n";

constexpr option long_options[] = {
    {"to", required_argument, nullptr, 't'},
    {"listen-port", required_argument, nullptr, 'l'},
    {"control-port", required_argument, nullptr, 'c'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
};

struct program_options
{
    std::string target_;
    std::uint16_t listen_port_ = 0;
    std::uint16_t control_port_ = 0;
};

std::uint16_t parse_port(char const* name, char const* text)
{
    return static_cast<std::uint16_t>(parse_number(name, text, max_port));
}

program_options parse_options(int argc, char** argv)
{
    program_options options;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", long_options, nullptr)) != -1)
    {
        switch (chosen)
        {
        case 't':
            options.target_ = optarg;
            break;
        case 'l':
            options.listen_port_ = parse_port("--listen-port", optarg);
            break;
        case 'c':
            options.control_port_ = parse_port("--control-port", optarg);
            break;
        default:
            exit_with_usage(usage, chosen == 'h' ? 0 : 2);
        }
    }
    if (options.target_.empty())
    {
        exit_with_usage(usage, 2);
    }
    return options;
}

std::string refused_list(fake_relay const& relay)
{
    std::string text;
    for (refused_client const& each : relay.refused())
    {
        auto const at = each.at_.time_since_epoch() / milliseconds(1);
        text += (text.empty() ? "[" : ",[") + std::to_string(each.port_) + "," +
                std::to_string(at) + "]";
    }
    return "[" + text + "]";
}

http_response control(fake_relay& relay, incoming_request const& request)
{
    if (request.method_ == "GET")
    {
        relay_counts const counts = relay.counts();
        return json_response(
            200, "{\"open\":" + std::to_string(counts.open_) +
                     ",\"silent\":" + std::to_string(counts.silent_) +
                     ",\"refused\":" + refused_list(relay) + "}");
    }
    if (!relay.run_command(request.body_))
    {
        return json_response(400, "{\"error\":\"unknown command\"}");
    }
    return json_response(200, "{}");
}

} // namespace

int main(int argc, char** argv)
{
    program_options const options = parse_options(argc, argv);
    block_stop_signals();
    try
    {
        fake_relay relay(options.listen_port_, options.target_);
        auto const server = fake_http_server::start(
            options.control_port_,
            [&relay](incoming_request const& request,
                     std::shared_ptr<fake_reply> const& reply)
            { reply->send(control(relay, request)); });
        announce("listening", relay.port());
        announce("control", server->port());
        wait_for_stop_signal();
    }
    catch (std::exception const& failure)
    {
        std::fprintf(stderr, "fake-relay: %s\n", failure.what());
        return 1;
    }
    return 0;
}
