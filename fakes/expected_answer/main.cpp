// Program fake-expected_answer: what the fake engines answer to user messages.
#include <cstdio>
#include <iostream>
#include <string>

#include <getopt.h>

#include "program.hpp"
#include "reference_model.hpp"

namespace
{

using namespace auburnlb::fakes;

constexpr std::uint64_t max_layers = 10'000;
constexpr std::uint64_t max_tokens = 1'000'000;

constexpr char const* usage =
    "Usage: fake-expected_answer --layers N --tokens N\n"
    "  --layers N  depth of the model\n"
    "  --tokens N  length of the answer\n"
    "  --help      this text\n"
    "Reads user messages from standard input, one a line, and prints for each\n"
    "the expected answer as one line.\n";

constexpr option long_options[] = {
    {"layers", required_argument, nullptr, 'l'},
    {"tokens", required_argument, nullptr, 't'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
};

struct program_options
{
    std::uint32_t layers_ = 0;
    std::uint32_t tokens_ = 0;
};

program_options parse_options(int argc, char** argv)
{
    program_options options;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", long_options, nullptr)) != -1)
    {
        switch (chosen)
        {
        case 'l':
            options.layers_ = static_cast<std::uint32_t>(
                parse_number("--layers", optarg, max_layers));
            break;
        case 't':
            options.tokens_ = static_cast<std::uint32_t>(
                parse_number("--tokens", optarg, max_tokens));
            break;
        default:
            exit_with_usage(usage, chosen == 'h' ? 0 : 2);
        }
    }
    if (options.layers_ == 0 || options.tokens_ == 0)
    {
        exit_with_usage(usage, 2);
    }
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    program_options const options = parse_options(argc, argv);
    std::string content;
    while (std::getline(std::cin, content))
    {
        std::string const answer = expected_answer(
            render_user_prompt(content), options.layers_, options.tokens_);
        std::printf("%s\n", answer.c_str());
    }
    return 0;
}
