// Options of the command line.
#ifndef AUBURNLB_COMMAND_LINE_OPTIONS_HPP
#define AUBURNLB_COMMAND_LINE_OPTIONS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/command_line/command_line.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb::cli
{

/// Options as given. Absent ones are not set.
struct options
{
    bool is_help_ = false;
    bool is_json_ = false;
    bool is_yes_ = false;
    std::optional<std::string> admin_;
    std::optional<std::string> token_file_;
    std::optional<std::string> author_;
    std::optional<std::string> comment_;
    std::optional<std::string> change_id_;
    std::optional<std::string> kind_;
    std::vector<std::string> withdrawn_;
    std::optional<std::uint64_t> expected_version_;
    std::optional<std::uint64_t> show_version_;
    std::optional<std::uint64_t> rollback_version_;
    /// The command's name first, then its operands.
    std::vector<std::string> operands_;

    bool operator==(options const&) const = default;
};

/// Parses with getopt_long. Options may stand before and after operands.
result<options> parse_options(std::vector<std::string> arguments);

/// Where the administration API is, and who calls it.
struct connection
{
    std::string base_url_;
    std::string token_;
    std::string author_;

    bool operator==(connection const&) const = default;
};

/// From options, or else from the environment variables AUBURNLB_ADMIN,
/// AUBURNLB_TOKEN and AUBURNLB_AUTHOR or USER.
result<connection> find_connection(options const& given,
                                   command_environment const& environment);

/// A file's content, or standard input's for "-".
result<std::string> read_text(std::string const& path);

} // namespace auburnlb::cli

#endif
