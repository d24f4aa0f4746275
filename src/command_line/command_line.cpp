// The list of commands, their help and their choice.
#include "auburnlb/command_line/command_line.hpp"

#include <ostream>
#include <utility>

#include "commands.hpp"

namespace auburnlb
{

namespace
{

constexpr std::size_t any_number = 1'000;

struct command
{
    char const* name_;
    char const* operands_;
    std::size_t min_operands_;
    std::size_t max_operands_;
    char const* summary_;
    char const* help_;
    exit_status (*run_)(cli::options const&, command_environment const&);
};

constexpr command commands[] = {
    {"questionnaire", "", 0, 0, "print a questionnaire to fill in",
     "  --kind KIND       model (default) or plain\n",
     cli::print_questionnaire},
    {"generate", "FILE", 1, 1,
     "print the configuration generated from a questionnaire",
     "Prints each field with its value and the reason for it. FILE may be -.\n"
     "  --json            print JSON\n",
     cli::generate},
    {"check", "FILE...", 1, any_number, "check questionnaires",
     "Checks against the schema, and the answers against each other.\n",
     cli::check},
    {"apply", "FILE", 1, 1, "put a questionnaire's configuration in force",
     "Shows the fields that change, asks, and has the change accepted.\n"
     "Amendments in force are kept.\n"
     "  --comment TEXT    why, for the history\n"
     "  --expect VERSION  refuse if another version is in force\n"
     "  --change-id ID    repeat a change whose outcome is not known\n"
     "  --yes             do not ask\n"
     "  --json            print JSON\n",
     cli::apply},
    {"amend", "SERVICE [FIELD=VALUE...]", 1, any_number,
     "set fields over their generated values",
     "Values are JSON; other text is taken as a string.\n"
     "  --withdraw FIELD  return to the generated value; may be repeated\n"
     "  --comment TEXT    why, for the history\n"
     "  --expect VERSION  refuse if another version is in force\n"
     "  --change-id ID    repeat a change whose outcome is not known\n"
     "  --yes             do not ask\n"
     "  --json            print JSON\n",
     cli::amend},
    {"status", "", 0, 0, "show endpoints, services and versions in force",
     "  --json            print JSON\n", cli::show_status},
    {"drain", "ENDPOINT", 1, 1, "let an endpoint finish and take no new work",
     "  --yes             do not ask\n"
     "  --json            print JSON\n",
     cli::drain},
    {"history", "SERVICE", 1, 1, "show earlier versions or bring one back",
     "  --show VERSION      print the fields of one version\n"
     "  --rollback VERSION  bring its content back as a new version\n"
     "  --comment, --expect, --change-id, --yes as with apply\n"
     "  --json              print JSON\n",
     cli::history},
    {"explain", "REQUEST-ID [FILE...]", 1, any_number,
     "show a request's way through log lines in JSON",
     "Reads the files, or standard input, of one process or several.\n"
     "  --json            print JSON\n",
     cli::explain},
    {"version", "", 0, 0, "print the version of this program and of the host",
     "  --json            print JSON\n", cli::show_version},
    {"schema", "NAME", 1, 1, "print a JSON Schema or the settings' tables",
     "NAME is settings, settings-tables or questionnaire.\n",
     cli::print_schema},
};

constexpr char connection_help[] =
    "\nCommands that call the administration API:\n"
    "  --admin URL        base URL, or AUBURNLB_ADMIN\n"
    "  --token-file FILE  file with the token, or AUBURNLB_TOKEN\n"
    "  --author NAME      operator's name, or AUBURNLB_AUTHOR or USER\n"
    "\nExit codes: 0 ok, 1 failure, 2 wrong usage, 3 another operator was "
    "faster.\n";

command const* find_command(std::string const& name)
{
    for (command const& candidate : commands)
    {
        if (name == candidate.name_)
        {
            return &candidate;
        }
    }
    return nullptr;
}

void print_overview(std::ostream& out)
{
    out << "Usage: auburnlb COMMAND [OPTIONS]\n\n";
    for (command const& entry : commands)
    {
        std::string const name = entry.name_;
        out << "  " << name << std::string(15 - name.size(), ' ')
            << entry.summary_ << '\n';
    }
    out << "\nauburnlb COMMAND --help explains one command.\n"
        << connection_help;
}

void print_help(std::ostream& out, command const& entry)
{
    out << "Usage: auburnlb " << entry.name_ << ' ' << entry.operands_
        << "\n\nPurpose: " << entry.summary_ << ".\n"
        << entry.help_ << connection_help;
}

exit_status report_usage(command_environment const& environment,
                         std::string const& detail)
{
    environment.err_ << "auburnlb: " << detail << "\nTry auburnlb --help.\n";
    return exit_status::usage;
}

} // namespace

exit_status run_command_line(std::vector<std::string> arguments,
                             command_environment const& environment)
{
    auto const given = cli::parse_options(std::move(arguments));
    if (!given)
    {
        return report_usage(environment, given.error().detail_);
    }
    std::vector<std::string> const& operands = given.value().operands_;
    if (operands.empty())
    {
        print_overview(given.value().is_help_ ? environment.out_
                                              : environment.err_);
        return given.value().is_help_ ? exit_status::ok : exit_status::usage;
    }
    command const* chosen = find_command(operands[0]);
    if (chosen == nullptr)
    {
        return report_usage(environment,
                            "the command " + operands[0] + " is unknown");
    }
    if (given.value().is_help_)
    {
        print_help(environment.out_, *chosen);
        return exit_status::ok;
    }
    std::size_t const count = operands.size() - 1;
    if (count < chosen->min_operands_ || count > chosen->max_operands_)
    {
        return report_usage(environment, std::string("usage: auburnlb ") +
                                             chosen->name_ + " " +
                                             chosen->operands_);
    }
    return chosen->run_(given.value(), environment);
}

} // namespace auburnlb
