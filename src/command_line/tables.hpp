// Plain-text tables for operators.
#ifndef AUBURNLB_COMMAND_LINE_TABLES_HPP
#define AUBURNLB_COMMAND_LINE_TABLES_HPP

#include <iosfwd>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace auburnlb::cli
{

using table_row = std::vector<std::string>;

/// Prints a heading and rows in aligned columns.
void print_table(std::ostream& out, table_row const& heading,
                 std::vector<table_row> const& rows);

/// Prints any JSON object: plain values as lines, arrays of objects as tables.
void print_document(std::ostream& out, nlohmann::ordered_json const& document);

/// Prints fields with their value before and after a change.
void print_changes(std::ostream& out, nlohmann::ordered_json const& changes);

/// A value as an operator reads it: texts without quotes, null as "-".
std::string cell_text(nlohmann::ordered_json const& value);

/// The same, shortened where it would make a table too wide.
std::string short_cell_text(nlohmann::ordered_json const& value);

} // namespace auburnlb::cli

#endif
