// Tests of the endpoints that a request was sent to.
#include "auburnlb/coordination/attempted_endpoints.hpp"

#include <gtest/gtest.h>

namespace auburnlb
{

namespace
{

using ids = std::vector<std::string>;

}

TEST(attempted_endpoints, names_each_endpoint_once)
{
    attempted_endpoints attempted;
    for (char const* const id : {"a", "b", "a"})
    {
        record_attempt(attempted, id);
    }
    EXPECT_EQ(attempted.ids_, (ids{"a", "b"}));
    EXPECT_EQ(attempted.last_id_, "a");
}

TEST(attempted_endpoints, forgets_an_endpoint_that_no_attempt_reached)
{
    attempted_endpoints attempted;
    record_attempt(attempted, "a");
    record_attempt(attempted, "b");
    undo_last_attempt(attempted);
    EXPECT_EQ(attempted.ids_, (ids{"a"}));
}

TEST(attempted_endpoints, keeps_an_endpoint_that_an_attempt_before_reached)
{
    attempted_endpoints attempted;
    record_attempt(attempted, "a");
    record_attempt(attempted, "b");
    record_attempt(attempted, "a");
    undo_last_attempt(attempted);
    EXPECT_EQ(attempted.ids_, (ids{"a", "b"}));
    undo_last_attempt(attempted);
    EXPECT_EQ(attempted.ids_, (ids{"a", "b"}));
}

} // namespace auburnlb
