// Parsing of options with getopt_long.
#include "options.hpp"

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include <getopt.h>

namespace auburnlb::cli
{

namespace
{

// Values beyond every character, because the options have no short form.
enum option_value
{
    help_option = 256,
    json_option,
    yes_option,
    admin_option,
    token_file_option,
    author_option,
    comment_option,
    change_id_option,
    kind_option,
    withdraw_option,
    expect_option,
    show_option,
    rollback_option,
};

constexpr option long_options[] = {
    {"help", no_argument, nullptr, help_option},
    {"json", no_argument, nullptr, json_option},
    {"yes", no_argument, nullptr, yes_option},
    {"admin", required_argument, nullptr, admin_option},
    {"token-file", required_argument, nullptr, token_file_option},
    {"author", required_argument, nullptr, author_option},
    {"comment", required_argument, nullptr, comment_option},
    {"change-id", required_argument, nullptr, change_id_option},
    {"kind", required_argument, nullptr, kind_option},
    {"withdraw", required_argument, nullptr, withdraw_option},
    {"expect", required_argument, nullptr, expect_option},
    {"show", required_argument, nullptr, show_option},
    {"rollback", required_argument, nullptr, rollback_option},
    {nullptr, 0, nullptr, 0},
};

error usage_error(std::string detail)
{
    return {error_code::invalid_input, "read command line", "",
            std::move(detail)};
}

std::optional<std::uint64_t> parse_version(std::string const& text)
{
    std::uint64_t version = 0;
    auto const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return version;
}

std::optional<std::uint64_t>* version_field(options& given, int which)
{
    switch (which)
    {
    case expect_option:
        return &given.expected_version_;
    case show_option:
        return &given.show_version_;
    case rollback_option:
        return &given.rollback_version_;
    default:
        return nullptr;
    }
}

std::optional<std::string>* text_field(options& given, int which)
{
    switch (which)
    {
    case admin_option:
        return &given.admin_;
    case token_file_option:
        return &given.token_file_;
    case author_option:
        return &given.author_;
    case comment_option:
        return &given.comment_;
    case change_id_option:
        return &given.change_id_;
    case kind_option:
        return &given.kind_;
    default:
        return nullptr;
    }
}

// Gives false for a version that is no number.
bool store_option(options& given, int which, std::string const& value)
{
    if (auto* version = version_field(given, which))
    {
        *version = parse_version(value);
        return version->has_value();
    }
    if (auto* text = text_field(given, which))
    {
        *text = value;
        return true;
    }
    if (which == withdraw_option)
    {
        given.withdrawn_.push_back(value);
    }
    given.is_help_ |= which == help_option;
    given.is_json_ |= which == json_option;
    given.is_yes_ |= which == yes_option;
    return true;
}

std::string without_line_end(std::string text)
{
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
    {
        text.pop_back();
    }
    return text;
}

} // namespace

result<options> parse_options(std::vector<std::string> arguments)
{
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string& argument : arguments)
    {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    options given;
    optind = 0;
    opterr = 0;
    int const count = static_cast<int>(arguments.size());
    int index = 0;
    for (int which; (which = getopt_long(count, pointers.data(), ":",
                                         long_options, &index)) != -1;)
    {
        std::string const word = pointers[static_cast<std::size_t>(optind) - 1];
        if (which == '?')
        {
            return usage_error("the option " + word + " is unknown");
        }
        if (which == ':')
        {
            return usage_error("the option " + word + " needs a value");
        }
        std::string const value = optarg == nullptr ? "" : optarg;
        if (!store_option(given, which, value))
        {
            return usage_error(std::string("the option --") +
                               long_options[index].name + " has the value " +
                               value + "; allowed is: a version number");
        }
    }
    given.operands_.assign(pointers.begin() + optind, pointers.end() - 1);
    return given;
}

result<std::string> read_text(std::string const& path)
{
    std::ostringstream text;
    if (path == "-")
    {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    text << file.rdbuf();
    if (!file)
    {
        return error{error_code::not_found, "read file", path,
                     "the file cannot be read"};
    }
    return text.str();
}

result<connection> find_connection(options const& given,
                                   command_environment const& environment)
{
    connection found;
    auto const url =
        given.admin_ ? given.admin_ : environment.variable_("AUBURNLB_ADMIN");
    if (!url || url->empty())
    {
        return usage_error("the address of the administration API is missing; "
                           "give --admin URL or set AUBURNLB_ADMIN");
    }
    found.base_url_ = *url;
    while (found.base_url_.back() == '/' && found.base_url_.size() > 1)
    {
        found.base_url_.pop_back();
    }
    if (given.token_file_)
    {
        auto const text = read_text(*given.token_file_);
        if (!text)
        {
            return text.error();
        }
        found.token_ = without_line_end(text.value());
    }
    else
    {
        found.token_ = environment.variable_("AUBURNLB_TOKEN").value_or("");
    }
    if (found.token_.empty())
    {
        return usage_error("the token is missing; give --token-file FILE or "
                           "set AUBURNLB_TOKEN");
    }
    auto const author = given.author_
                            ? given.author_
                            : environment.variable_("AUBURNLB_AUTHOR");
    found.author_ =
        author ? *author : environment.variable_("USER").value_or("unknown");
    return found;
}

} // namespace auburnlb::cli
