// Tests of what a router records of its retries.
#include <cmath>

#include <gtest/gtest.h>

#include "auburnlb/coordination/retry_record.hpp"

using namespace auburnlb;

TEST(retry_record, of_an_earlier_process_counts_as_infinite_until_it_is_read)
{
    earlier_retries earlier;
    EXPECT_TRUE(std::isinf(inherited_retries(earlier, "model")));
    earlier = {true, {{"model", 7}}};
    EXPECT_EQ(inherited_retries(earlier, "model"), 7);
    EXPECT_EQ(inherited_retries(earlier, "desk"), 0);
}

TEST(retry_record, is_not_written_for_few_retries)
{
    EXPECT_FALSE(is_record_due({}, {}));
    EXPECT_FALSE(is_record_due({{"model", {0, 100}}}, {}));
    EXPECT_FALSE(is_record_due({{"model", {10, 100}}}, {}));
    EXPECT_TRUE(is_record_due({{"model", {11, 100}}}, {}));
}

TEST(retry_record, is_written_again_for_more_retries_and_once_for_none)
{
    retry_counts const written{{"model", 20}};
    EXPECT_FALSE(is_record_due({{"model", {30, 100}}}, written));
    EXPECT_TRUE(is_record_due({{"model", {31, 100}}}, written));
    EXPECT_FALSE(is_record_due({{"model", {5, 100}}}, written));
    EXPECT_TRUE(is_record_due({{"model", {0, 100}}}, written));
    EXPECT_FALSE(is_record_due({{"model", {0, 100}}}, {}));
}

TEST(retry_record, contains_the_services_with_retries)
{
    retry_counts const expected{{"model", 13}};
    EXPECT_EQ(make_record({{"model", {12.5, 100}}, {"desk", {0, 100}}}),
              expected);
}
