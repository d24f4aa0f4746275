// The callers' refusals as docs/INTERFACES.md lists them, against the code.
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <tuple>

#include <gtest/gtest.h>

#include "auburnlb/transport/caller_api.hpp"

using namespace auburnlb;

namespace
{

/// Number, name and HTTP status.
using refusal_row = std::tuple<int, std::string, int>;

std::set<refusal_row> rows_in_document()
{
    std::ifstream file(std::string(AUBURNLB_SOURCE_DIR) +
                       "/docs/INTERFACES.md");
    std::ostringstream text;
    text << file.rdbuf();
    std::string const whole = text.str();
    std::regex const row(R"(\n\| (\d{4}) \| `(\w+)` \| (\d{3}) \|)");
    std::set<refusal_row> rows;
    for (std::sregex_iterator match(whole.begin(), whole.end(), row);
         match != std::sregex_iterator(); ++match)
    {
        rows.emplace(std::stoi((*match)[1]), (*match)[2],
                     std::stoi((*match)[3]));
    }
    return rows;
}

} // namespace

TEST(interfaces_document, lists_every_refusal_with_number_and_status)
{
    std::set<refusal_row> rows;
    for (refusal_reason const reason : all_refusal_reasons())
    {
        rows.emplace(static_cast<int>(reason), to_string(reason),
                     http_status(reason));
    }
    EXPECT_EQ(rows_in_document(), rows);
}
