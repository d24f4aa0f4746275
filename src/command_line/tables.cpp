// Rendering of tables.
#include "tables.hpp"

#include <algorithm>
#include <ostream>

namespace auburnlb::cli
{

namespace
{

using nlohmann::ordered_json;

constexpr std::size_t max_value_width = 24;

// Counts code points, not bytes: continuation bytes of UTF-8 are passed over.
std::size_t width_of(std::string const& text)
{
    return static_cast<std::size_t>(std::count_if(
        text.begin(), text.end(),
        [](char c)
        { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; }));
}

void print_row(std::ostream& out, table_row const& row,
               std::vector<std::size_t> const& widths)
{
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column)
    {
        line += row[column];
        if (column + 1 < row.size())
        {
            line +=
                std::string(widths[column] - width_of(row[column]) + 2, ' ');
        }
    }
    out << line << '\n';
}

bool is_table(ordered_json const& value)
{
    return value.is_array() && !value.empty() &&
           std::all_of(value.begin(), value.end(),
                       [](ordered_json const& row) { return row.is_object(); });
}

void print_objects(std::ostream& out, ordered_json const& objects)
{
    table_row heading;
    for (auto const& object : objects)
    {
        for (auto const& [key, value] : object.items())
        {
            if (std::find(heading.begin(), heading.end(), key) == heading.end())
            {
                heading.push_back(key);
            }
        }
    }
    std::vector<table_row> rows;
    for (auto const& object : objects)
    {
        table_row row;
        for (std::string const& key : heading)
        {
            row.push_back(cell_text(object.value(key, ordered_json())));
        }
        rows.push_back(std::move(row));
    }
    print_table(out, heading, rows);
}

} // namespace

void print_table(std::ostream& out, table_row const& heading,
                 std::vector<table_row> const& rows)
{
    std::vector<std::size_t> widths(heading.size(), 0);
    auto const widen = [&](table_row const& row)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths[column] = std::max(widths[column], width_of(row[column]));
        }
    };
    widen(heading);
    std::for_each(rows.begin(), rows.end(), widen);
    print_row(out, heading, widths);
    for (table_row const& row : rows)
    {
        print_row(out, row, widths);
    }
}

void print_document(std::ostream& out, ordered_json const& document)
{
    for (auto const& [key, value] : document.items())
    {
        if (is_table(value))
        {
            out << '\n' << key << ":\n";
            print_objects(out, value);
            continue;
        }
        out << key << ": " << cell_text(value) << '\n';
    }
}

void print_changes(std::ostream& out, ordered_json const& changes)
{
    std::vector<table_row> rows;
    for (auto const& change : changes)
    {
        rows.push_back({cell_text(change.at("field")),
                        short_cell_text(change.at("before")),
                        short_cell_text(change.at("after"))});
    }
    print_table(out, {"FIELD", "BEFORE", "AFTER"}, rows);
}

std::string cell_text(ordered_json const& value)
{
    if (value.is_null())
    {
        return "-";
    }
    if (value.is_array() && value.empty())
    {
        return "none";
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string short_cell_text(ordered_json const& value)
{
    std::string text = cell_text(value);
    if (width_of(text) <= max_value_width || width_of(text) != text.size())
    {
        return text;
    }
    return text.substr(0, max_value_width - 3) + "...";
}

} // namespace auburnlb::cli
