// Program fake-engine: one fake engine as a process.
#include <cstdio>
#include <cstring>
#include <exception>

#include <getopt.h>

#include "fake_engine.hpp"
#include "program.hpp"

namespace
{

using namespace auburnlb;
using namespace auburnlb::fakes;

constexpr std::uint64_t max_port = 65'535;
constexpr std::uint64_t max_layers = 10'000;
constexpr std::uint64_t max_time_us = 60'000'000;
constexpr std::uint64_t max_tokens = 1'000'000'000'000;
constexpr std::uint64_t max_batch = 100'000;

constexpr char const* usage =
    "Usage: fake-engine [options]\n"
    "  --port N           port on 127.0.0.1, 0 takes a free one (0)\n"
    "  --layers A:B       layers held, from A up to but without B (0:4)\n"
    "  --model-layers N   depth of the model, scales the prefill time; 0 "
    "counts\n"
    "                     the held layers as the whole (0)\n"
    "  --accelerator NAME accelerator kind reported (fake)\n"
    "  --step-us N        base time of one batch (1000)\n"
    "  --token-us N       further time of a batch for each position (50)\n"
    "  --prefill-us N     time for each prompt token not in the cache (20)\n"
    "  --kv-tokens N      KV memory (1000000)\n"
    "  --prefix-tokens N  prefix cache, 0 for none (0)\n"
    "  --check-fencing 0|1  refuse orders with an old fencing number (1)\n"
    "  --max-batch N      steps in one batch (32)\n"
    "  --help             this text\n"
    "Prints \"listening 127.0.0.1:PORT\" and runs until SIGTERM or SIGINT.\n";

layer_range parse_layers(char const* text)
{
    std::string const range = text;
    auto const colon = range.find(':');
    if (colon == std::string::npos)
    {
        std::fprintf(stderr, "--layers: \"%s\" is not of the form A:B\n", text);
        std::exit(2);
    }
    auto const first =
        parse_number("--layers", range.substr(0, colon).c_str(), max_layers);
    auto const end =
        parse_number("--layers", range.substr(colon + 1).c_str(), max_layers);
    if (first >= end)
    {
        std::fprintf(stderr,
                     "--layers: in \"%s\" the first is not below the "
                     "end\n",
                     text);
        std::exit(2);
    }
    return {static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(end)};
}

microseconds parse_time(char const* option, char const* text)
{
    return microseconds(parse_number(option, text, max_time_us));
}

enum option_id
{
    port_option,
    layers_option,
    model_layers_option,
    accelerator_option,
    step_option,
    token_option,
    prefill_option,
    kv_option,
    prefix_option,
    fencing_option,
    batch_option,
    help_option,
};

constexpr option long_options[] = {
    {"port", required_argument, nullptr, port_option},
    {"layers", required_argument, nullptr, layers_option},
    {"model-layers", required_argument, nullptr, model_layers_option},
    {"accelerator", required_argument, nullptr, accelerator_option},
    {"step-us", required_argument, nullptr, step_option},
    {"token-us", required_argument, nullptr, token_option},
    {"prefill-us", required_argument, nullptr, prefill_option},
    {"kv-tokens", required_argument, nullptr, kv_option},
    {"prefix-tokens", required_argument, nullptr, prefix_option},
    {"check-fencing", required_argument, nullptr, fencing_option},
    {"max-batch", required_argument, nullptr, batch_option},
    {"help", no_argument, nullptr, help_option},
    {nullptr, 0, nullptr, 0},
};

void apply(int chosen, char const* text, fake_engine_options& options)
{
    switch (chosen)
    {
    case port_option:
        options.port_ =
            static_cast<std::uint16_t>(parse_number("--port", text, max_port));
        break;
    case layers_option:
        options.layers_ = parse_layers(text);
        break;
    case model_layers_option:
        options.model_layers_ = static_cast<std::uint32_t>(
            parse_number("--model-layers", text, max_layers));
        break;
    case accelerator_option:
        options.accelerator_ = text;
        break;
    case step_option:
        options.step_time_ = parse_time("--step-us", text);
        break;
    case token_option:
        options.token_time_ = parse_time("--token-us", text);
        break;
    case prefill_option:
        options.prefill_time_ = parse_time("--prefill-us", text);
        break;
    case kv_option:
        options.kv_tokens_ = parse_number("--kv-tokens", text, max_tokens);
        break;
    case prefix_option:
        options.prefix_tokens_ =
            parse_number("--prefix-tokens", text, max_tokens);
        break;
    case fencing_option:
        options.checks_fencing_ = parse_number("--check-fencing", text, 1) == 1;
        break;
    case batch_option:
        options.max_batch_ = parse_number("--max-batch", text, max_batch);
        break;
    case help_option:
        exit_with_usage(usage, 0);
    default:
        exit_with_usage(usage, 2);
    }
}

fake_engine_options parse_options(int argc, char** argv)
{
    fake_engine_options options;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", long_options, nullptr)) != -1)
    {
        apply(chosen, optarg, options);
    }
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    fake_engine_options const options = parse_options(argc, argv);
    block_stop_signals();
    try
    {
        fake_engine const engine(options);
        announce("listening", engine.port());
        wait_for_stop_signal();
    }
    catch (std::exception const& failure)
    {
        std::fprintf(stderr, "fake-engine: %s\n", failure.what());
        return 1;
    }
    return 0;
}
