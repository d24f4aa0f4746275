// Tests of the choice of the endpoint for a request's next attempt.
#include <gtest/gtest.h>

#include "auburnlb/coordination/next_endpoint.hpp"

using namespace auburnlb;

namespace
{

time_point const start = time_point{} + seconds(100);

/// Three endpoints of a service, "a", "b" and "c".
class next_endpoint : public testing::Test
{
protected:
    next_endpoint()
    {
        for (std::string const id : {"a", "b", "c"})
        {
            endpoint_record record;
            record.id_ = id;
            record.service_ = "service";
            record.address_ = "address-of-" + id;
            record.data_centre_ = "dc";
            record.slots_ = 6;
            record.started_ms_ = 1'000;
            apply_record(directory_, record, record_age::newest, start);
        }
        next_.max_endpoints_ = 2;
        next_.may_return_ = true;
    }

    void send_to(std::string const& id)
    {
        record_attempt(next_.attempted_, id);
    }

    void end(std::string const& id)
    {
        record_probe_failure(*directory_.endpoints_[id], true, start);
    }

    std::vector<endpoint_ptr> endpoints() const
    {
        return endpoints_of(directory_, "service");
    }

    std::string choose() const
    {
        auto const chosen =
            choose_next_endpoint(endpoints(), "dc", next_, start);
        return chosen == nullptr ? "" : chosen->record_.id_;
    }

    bool has_one_left() const
    {
        return has_endpoint_left(endpoints(), next_.attempted_,
                                 next_.max_endpoints_);
    }

    endpoint_directory directory_;
    next_attempt next_;
};

} // namespace

TEST_F(next_endpoint, is_a_new_one_below_the_limit)
{
    EXPECT_EQ(choose(), "a");
    send_to("a");
    EXPECT_EQ(choose(), "b");
}

// Streams used to run on as many endpoints as they may be sent.
TEST_F(next_endpoint, is_an_earlier_one_at_the_limit)
{
    send_to("a");
    send_to("b");
    EXPECT_EQ(choose(), "a");
    send_to("a");
    EXPECT_EQ(choose(), "b");
}

TEST_F(next_endpoint, is_none_while_all_that_it_may_be_are_busy)
{
    send_to("a");
    send_to("b");
    next_.busy_ids_ = {"a", "b"};
    EXPECT_EQ(choose(), "");
    next_.busy_ids_ = {"a"};
    EXPECT_EQ(choose(), "b");
}

TEST_F(next_endpoint, is_none_for_a_call_at_the_limit)
{
    next_.may_return_ = false;
    send_to("a");
    EXPECT_EQ(choose(), "b");
    send_to("b");
    EXPECT_EQ(choose(), "");
}

TEST_F(next_endpoint, is_the_same_again_if_there_is_no_other)
{
    next_.max_endpoints_ = 5;
    directory_.endpoints_.erase("b");
    directory_.endpoints_.erase("c");
    send_to("a");
    EXPECT_EQ(choose(), "a");
    next_.may_return_ = false;
    EXPECT_EQ(choose(), "");
}

TEST_F(next_endpoint, is_a_new_one_in_place_of_one_that_was_not_reached)
{
    send_to("a");
    send_to("b");
    undo_last_attempt(next_.attempted_);
    directory_.endpoints_.erase("b");
    EXPECT_EQ(choose(), "c");
}

TEST_F(next_endpoint, is_not_awaited_once_all_that_it_may_be_are_gone)
{
    send_to("a");
    send_to("b");
    EXPECT_TRUE(has_one_left());
    end("a");
    EXPECT_TRUE(has_one_left());
    end("b");
    EXPECT_FALSE(has_one_left());
    directory_.endpoints_.clear();
    EXPECT_FALSE(has_one_left());
    next_.max_endpoints_ = 3;
    EXPECT_TRUE(has_one_left());
}
