// Checks the events, reasons and settings that docs/OPERATING.md mentions
// against the code.
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <gtest/gtest.h>

#include "auburnlb/state/refusal.hpp"
#include "auburnlb/state/settings.hpp"

using namespace auburnlb;

namespace
{

std::string read_page(std::string const& name)
{
    std::ifstream file(std::string(AUBURNLB_SOURCE_DIR) + "/docs/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::smatch> find_all(std::string const& text,
                                  std::string const& pattern)
{
    std::regex const expression(pattern);
    return {std::sregex_iterator(text.begin(), text.end(), expression),
            std::sregex_iterator()};
}

} // namespace

TEST(operating_page, mentions_only_events_of_the_events_page)
{
    std::string const page = read_page("OPERATING.md");
    std::string const catalogue = read_page("EVENTS.md");
    auto const events = find_all(page, "E0[0-9]{3}");
    ASSERT_FALSE(events.empty());
    for (std::smatch const& event : events)
    {
        EXPECT_NE(catalogue.find("| " + event.str() + " |"), std::string::npos)
            << event.str();
    }
}

TEST(operating_page, refusal_reasons_have_matching_numbers_and_names)
{
    std::string const page = read_page("OPERATING.md");
    auto const reasons = find_all(page, "(1[0-9]{3})\\s`([a-z_]+)`");
    ASSERT_FALSE(reasons.empty());
    for (std::smatch const& reason : reasons)
    {
        auto const number = static_cast<refusal_reason>(std::stoi(reason[1]));
        EXPECT_EQ(to_string(number), reason[2].str());
    }
}

TEST(operating_page, mentions_only_settings_of_the_catalogue)
{
    std::string const page = read_page("OPERATING.md");
    std::set<std::string> known;
    for (setting_description const& entry : describe_settings())
    {
        known.insert(entry.section_ + "." + entry.key_);
    }
    auto const named = find_all(page, "`([a-z]+\\.[a-z_]+)`");
    ASSERT_FALSE(named.empty());
    for (std::smatch const& name : named)
    {
        EXPECT_TRUE(known.contains(name[1])) << name[1];
    }
}
