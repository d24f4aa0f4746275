// The way of one request through the log lines of several processes.
#include <algorithm>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "commands.hpp"
#include "tables.hpp"

namespace auburnlb::cli
{

namespace
{

using nlohmann::ordered_json;

/// Fields that have columns of their own.
constexpr char const* own_columns[] = {"time",    "level",   "event",  "name",
                                       "process", "request", "message"};

struct found_lines
{
    std::vector<ordered_json> lines_;
    /// Lines that are no JSON object.
    std::uint64_t unreadable_ = 0;
};

void read_lines(std::string const& content, std::string const& request,
                found_lines& found)
{
    std::istringstream input(content);
    for (std::string text; std::getline(input, text);)
    {
        ordered_json line = ordered_json::parse(text, nullptr, false);
        if (!line.is_object())
        {
            ++found.unreadable_;
            continue;
        }
        if (line.value("request", "") == request)
        {
            found.lines_.push_back(std::move(line));
        }
    }
}

bool is_own_column(std::string const& name)
{
    return std::find(std::begin(own_columns), std::end(own_columns), name) !=
           std::end(own_columns);
}

std::string field_text(ordered_json const& line, char const* name)
{
    auto const found = line.find(name);
    if (found == line.end())
    {
        return "";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// What the decision was made from: the fields without a column of their own.
std::string inputs_of(ordered_json const& line)
{
    std::string text;
    for (auto const& [name, value] : line.items())
    {
        if (!is_own_column(name))
        {
            text += (text.empty() ? "" : " ") + name + "=" +
                    field_text(line, name.c_str());
        }
    }
    return text;
}

void print_way(std::ostream& out, std::vector<ordered_json> const& lines)
{
    std::vector<table_row> rows;
    rows.reserve(lines.size());
    for (ordered_json const& line : lines)
    {
        rows.push_back({field_text(line, "time"), field_text(line, "process"),
                        field_text(line, "event"), field_text(line, "name"),
                        field_text(line, "message"), inputs_of(line)});
    }
    print_table(out, {"time", "process", "event", "name", "what", "from"},
                rows);
}

} // namespace

exit_status explain(options const& given,
                    command_environment const& environment)
{
    // The command's name stands first.
    std::string const& request = given.operands_[1];
    std::vector<std::string> files(given.operands_.begin() + 2,
                                   given.operands_.end());
    if (files.empty())
    {
        files.emplace_back("-");
    }
    found_lines found;
    for (std::string const& path : files)
    {
        auto const text = read_text(path);
        if (!text)
        {
            return report(environment, text.error());
        }
        read_lines(text.value(), request, found);
    }
    std::stable_sort(
        found.lines_.begin(), found.lines_.end(),
        [](ordered_json const& left, ordered_json const& right)
        { return field_text(left, "time") < field_text(right, "time"); });
    if (found.unreadable_ > 0)
    {
        environment.err_ << found.unreadable_
                         << " lines are no JSON objects and were passed over\n";
    }
    if (found.lines_.empty())
    {
        return report(environment, {error_code::not_found, "explain", "",
                                    "no line names the request " + request});
    }
    if (given.is_json_)
    {
        environment.out_ << ordered_json(found.lines_).dump(2) << "\n";
        return exit_status::ok;
    }
    print_way(environment.out_, found.lines_);
    return exit_status::ok;
}

} // namespace auburnlb::cli
