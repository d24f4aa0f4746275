// The command line of the daemons.
#include "auburnlb/transport/daemon_command.hpp"

#include <cstdio>
#include <utility>

#include <getopt.h>

#include "auburnlb/state/log.hpp"
#include "auburnlb/transport/steady_clock.hpp"

namespace auburnlb
{

namespace
{

constexpr char const* program_version = "0.1.0";

void print_help(std::string const& program)
{
    std::printf("Usage: %s --settings FILE\n\n"
                "  --settings FILE        read the settings and run\n"
                "  --check-settings FILE  check the settings and exit\n"
                "  --version              print the version and exit\n"
                "  --help                 print this text and exit\n\n"
                "SIGTERM stops the process after the requests in progress.\n",
                program.c_str());
}

/// Returns the clock of the log, which must exist until the process ends.
clock_source const& log_clock()
{
    static steady_clock_source const clock;
    return clock;
}

daemon_command load_settings(std::string const& path, bool is_check,
                             std::string const& program)
{
    auto loaded = settings::load(path);
    if (!loaded)
    {
        // The settings for format and target are not available.
        configure_log(log_level::info, log_format::text, program, log_clock(),
                      log_target::standard_error);
        log(log_level::error, log_event::settings_rejected, {},
            path + ": " + loaded.error().detail_);
        return {exit_code::usage, {}, path};
    }
    if (is_check)
    {
        std::printf("%s: the settings are valid\n", path.c_str());
        return {exit_code::success, {}, path};
    }
    return {std::nullopt, std::move(loaded).value(), path};
}

log_level parse_level(std::string const& name)
{
    if (name == "debug")
    {
        return log_level::debug;
    }
    if (name == "warning")
    {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

} // namespace

daemon_command read_daemon_command(int argc, char** argv,
                                   std::string const& program)
{
    option const long_options[] = {
        {"settings", required_argument, nullptr, 's'},
        {"check-settings", required_argument, nullptr, 'c'},
        {"version", no_argument, nullptr, 'v'},
        {"help", no_argument, nullptr, 'h'},
        {nullptr, 0, nullptr, 0},
    };
    int const chosen = getopt_long(argc, argv, "", long_options, nullptr);
    daemon_command command;
    switch (chosen)
    {
    case 's':
    case 'c':
        command = load_settings(optarg, chosen == 'c', program);
        break;
    case 'v':
        std::printf("%s %s\n", program.c_str(), program_version);
        command.exit_ = exit_code::success;
        break;
    case 'h':
        print_help(program);
        command.exit_ = exit_code::success;
        break;
    default:
        print_help(program);
        command.exit_ = exit_code::usage;
        break;
    }
    if (!command.exit_)
    {
        using namespace settings_catalogue;
        settings const& values = command.settings_;
        configure_log(parse_level(values.get(log_lowest_level)),
                      values.get(log_line_format) == "json" ? log_format::json
                                                            : log_format::text,
                      program, log_clock(),
                      values.get(log_output) == "stderr"
                          ? log_target::standard_error
                          : log_target::standard_output);
    }
    return command;
}

} // namespace auburnlb
