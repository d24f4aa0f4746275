// Tests of finding status lines where none may be.
#include <string>

#include <gtest/gtest.h>

#include "auburnlb/protocol/status_line.hpp"

using namespace auburnlb;

TEST(status_line, is_found_anywhere_in_a_text)
{
    EXPECT_TRUE(contains_status_line("HTTP/1.1 200 OK"));
    EXPECT_TRUE(contains_status_line("text/plHTTP/1.0 500"));
    for (char const* const text :
         {"", "HTTP/1.1", "HTTP/1.1 20", "HTTP/1.1 proxy", "1.1 200 OK"})
    {
        EXPECT_FALSE(contains_status_line(text)) << text;
    }
}

TEST(status_line, begins_in_a_text_that_ends_within_it)
{
    std::string const line = "HTTP/1.1 200 OK\r\n";
    for (std::size_t cut = 0; cut <= line.size(); ++cut)
    {
        std::string const text = "some text" + line.substr(0, cut);
        EXPECT_EQ(begins_status_line(text, line.substr(cut)), cut > 0) << cut;
    }
    EXPECT_TRUE(begins_status_line("H", line.substr(1)));
    EXPECT_FALSE(begins_status_line("", line));
}

TEST(status_line, only_the_five_classes_are_valid)
{
    for (long const status : {100L, 200L, 421L, 503L, 599L})
    {
        EXPECT_TRUE(is_valid_status(status)) << status;
    }
    for (long const status : {-1L, 0L, 42L, 99L, 600L, 999L})
    {
        EXPECT_FALSE(is_valid_status(status)) << status;
    }
}
