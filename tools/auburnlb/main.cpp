// The operators' command: connects the command line to its process.
#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

#include "auburnlb/command_line/admin_client.hpp"
#include "auburnlb/command_line/command_line.hpp"

namespace
{

std::optional<std::string> read_variable(std::string const& name)
{
    char const* value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

bool confirm(std::string const& question)
{
    std::cerr << question << " [y/N] " << std::flush;
    std::string answer;
    std::getline(std::cin, answer);
    return answer == "y" || answer == "yes";
}

std::string new_change_id()
{
    std::random_device random;
    std::ostringstream text;
    text << std::hex;
    for (int part = 0; part < 4; ++part)
    {
        text << random();
    }
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    auburnlb::http_client client;
    auburnlb::command_environment environment{
        std::cout,
        std::cerr,
        read_variable,
        {},
        new_change_id,
        [&client](std::string const& url,
                  auburnlb::admin_request const& request)
        {
            return auburnlb::call_admin_api(client, url, request);
        }};
    if (isatty(STDIN_FILENO) != 0)
    {
        environment.confirm_ = confirm;
    }
    return static_cast<int>(auburnlb::run_command_line(
        std::vector<std::string>(argv, argv + argc), environment));
}
