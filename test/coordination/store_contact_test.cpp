// Tests of what the store's answers say about lapsed entries.
#include "auburnlb/coordination/store_contact.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace auburnlb
{

namespace
{

constexpr milliseconds heartbeat{1'000};
time_point const start = time_point{} + seconds(100);

bool may_have_lapsed_after(milliseconds silence)
{
    store_contact contact;
    record_store_answer(contact, start, heartbeat);
    record_store_failure(contact, start + silence / 2);
    return record_store_answer(contact, start + silence, heartbeat);
}

} // namespace

TEST(store_contact, entries_do_not_lapse_because_a_call_failed)
{
    EXPECT_FALSE(may_have_lapsed_after(milliseconds(50)));
    EXPECT_FALSE(may_have_lapsed_after(milliseconds(1'999)));
    EXPECT_TRUE(may_have_lapsed_after(milliseconds(2'000)));
}

TEST(store_contact, a_long_wait_without_failure_is_no_outage)
{
    store_contact contact;
    record_store_answer(contact, start, heartbeat);
    EXPECT_FALSE(record_store_answer(contact, start + seconds(9), heartbeat));
}

TEST(store_contact, an_outage_counts_once)
{
    store_contact contact;
    record_store_failure(contact, start - seconds(1));
    EXPECT_TRUE(record_store_answer(contact, start, heartbeat));
    EXPECT_FALSE(record_store_answer(contact, start, heartbeat));
    EXPECT_FALSE(record_store_answer(contact, start + seconds(9), heartbeat));
}

TEST(store_contact, answers_to_another_router_show_that_the_store_was_up)
{
    store_contact contact;
    record_store_answer(contact, start, heartbeat);
    record_store_failure(contact, start + milliseconds(1'500));
    EXPECT_FALSE(record_store_answer(contact, start + seconds(1), heartbeat));
    EXPECT_FALSE(
        record_store_answer(contact, start + milliseconds(2'900), heartbeat));
}

/// An entry whose endpoint writes each heartbeat interval lapses only if the
/// router sees that it may have: no live endpoint is dropped for an outage.
RC_GTEST_PROP(store_contact, a_lapse_is_never_missed, ())
{
    auto const before_outage = milliseconds(*rc::gen::inRange(0, 3'000));
    auto const outage = milliseconds(*rc::gen::inRange(0, 6'000));
    auto const after_outage = milliseconds(*rc::gen::inRange(0, 1'000));
    auto const last_write = milliseconds(*rc::gen::inRange(0, 1'000));
    constexpr int heartbeats_to_lapse = 3;
    bool const has_lapsed =
        last_write + outage >= heartbeats_to_lapse * heartbeat;
    if (has_lapsed)
    {
        RC_ASSERT(may_have_lapsed_after(before_outage + outage + after_outage));
    }
}

} // namespace auburnlb
