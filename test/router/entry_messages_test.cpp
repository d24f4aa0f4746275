// Tests of endpoint entries in the messages between routers.
#include <array>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "auburnlb/router/entry_messages.hpp"

using namespace auburnlb;
using nlohmann::json;

TEST(entry_messages, an_odd_value_in_a_delta_costs_only_its_entry)
{
    auto const delta = read_entries_delta(json::parse(
        R"({"epoch": 2, "revision": 9, "whole": false,
            "changed": {"a": "{}", "b": 7, "c": null, "d": {}},
            "removed": ["e", 7, "f"]})"));
    EXPECT_EQ(delta.version_, (store_version{2, 9}));
    EXPECT_EQ(delta.changed_,
              (std::map<std::string, std::string>{
                  {"a", "{}"}, {"b", "null"}, {"c", "null"}, {"d", "null"}}));
    EXPECT_EQ(delta.removed_, (std::vector<std::string>{"e", "f"}));
}

TEST(entry_messages, a_delta_without_version_or_entries_is_rejected)
{
    for (char const* const text :
         {"{}", "[]", R"({"revision": 9, "whole": 1, "changed": {},
            "removed": []})",
          R"({"revision": 9, "whole": true, "changed": [], "removed": []})",
          R"({"revision": 9, "whole": true, "changed": {}, "removed": {}})"})
    {
        EXPECT_THROW(read_entries_delta(json::parse(text)), json::exception)
            << text;
    }
}

TEST(entry_messages, an_odd_count_of_senders_costs_only_its_endpoint)
{
    EXPECT_EQ(
        read_senders(json::parse(
            R"({"a": 2, "b": "x", "c": -1, "d": 4294967297, "e": [], "f": 1})")),
        (std::map<std::string, std::uint32_t>{{"a", 2}, {"f", 1}}));
    EXPECT_TRUE(read_senders(json::parse("[1]")).empty());
}

TEST(entry_messages, a_time_that_would_overflow_is_cut)
{
    constexpr milliseconds hour{3'600'000};
    EXPECT_EQ(read_short_time(json(-250)), milliseconds(-250));
    EXPECT_EQ(read_short_time(json(9'223'372'036'854'775'807)), hour);
    EXPECT_EQ(read_short_time(json(-9'223'372'036'854'775'807)), -hour);
    EXPECT_EQ(read_short_time(json(1e300)), hour);
    EXPECT_EQ(read_short_time(json("x")), milliseconds(0));
}
