// Tests of the writing of JSON texts.
#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "auburnlb/state/json_text.hpp"

using namespace auburnlb;

TEST(json_text, bytes_that_are_no_utf8_end_no_process)
{
    std::string const odd = "a\xff\xfe";
    std::string const expected = "{\"a\xEF\xBF\xBD\xEF\xBF\xBD\":"
                                 "\"a\xEF\xBF\xBD\xEF\xBF\xBD\"}";
    EXPECT_EQ(dump_text(nlohmann::json{{odd, odd}}), expected);
    EXPECT_EQ(dump_text(nlohmann::ordered_json{{odd, odd}}), expected);
}
