// Tests of crash causes in the messages between routers.
#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "auburnlb/router/crash_messages.hpp"

using namespace auburnlb;

TEST(crash_messages, another_routers_clock_does_not_matter)
{
    time_point const own{seconds(100)};
    time_point const others{seconds(7)};
    crash_causes_update update;
    update.crashes_["i-1@5"] = {own - milliseconds(400), {{"m/1", "m/2"}}};
    update.successes_["m/1"] = own - seconds(2);
    crash_causes_update expected;
    expected.crashes_["i-1@5"] = {others - milliseconds(400), {{"m/1", "m/2"}}};
    expected.successes_["m/1"] = others - seconds(2);
    EXPECT_EQ(read_crash_causes(write_crash_causes(update, own), others),
              expected);
}

TEST(crash_messages, an_age_that_no_router_sends_is_an_error)
{
    for (char const* const age : {"-1", "9223372036854775807"})
    {
        auto const message = nlohmann::json::parse(
            std::string(R"({"crashes": {}, "successes": {"m/1": )") + age +
            "}}");
        EXPECT_THROW(read_crash_causes(message, time_point{}),
                     nlohmann::json::exception)
            << age;
    }
}

TEST(crash_messages, a_foreign_value_is_an_error)
{
    for (
        char const* const text :
        {"{}", "[]", R"({"crashes": 1, "successes": {}})",
         R"({"crashes": {"a": {"age_ms": "x", "requests": []}}, "successes": {}})"})
    {
        EXPECT_THROW(
            read_crash_causes(nlohmann::json::parse(text), time_point{}),
            nlohmann::json::exception)
            << text;
    }
}
