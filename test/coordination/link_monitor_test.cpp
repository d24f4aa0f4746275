// Tests of the search for silent connections.
#include <gtest/gtest.h>

#include "auburnlb/coordination/link_monitor.hpp"

using namespace auburnlb;

namespace
{

time_point at(int milliseconds_after_start)
{
    return time_point{} + milliseconds(milliseconds_after_start);
}

} // namespace

TEST(link_monitor, asks_while_in_use_and_replaces_without_an_answer)
{
    link_monitor monitor;
    record_frame_sent(monitor, "a", at(0));
    EXPECT_EQ(on_link_tick(monitor, at(0)),
              (std::vector<link_probe>{{"a", false}}));
    on_link_probe_reply(monitor, "a");
    EXPECT_TRUE(on_link_tick(monitor, at(400)).empty());
    EXPECT_EQ(on_link_tick(monitor, at(500)),
              (std::vector<link_probe>{{"a", false}}));
    EXPECT_TRUE(on_link_tick(monitor, at(700)).empty());
    EXPECT_EQ(on_link_tick(monitor, at(751)),
              (std::vector<link_probe>{{"a", true}}));
}

TEST(link_monitor, leaves_connections_alone_that_are_not_used)
{
    link_monitor monitor;
    record_frame_sent(monitor, "a", at(0));
    on_link_tick(monitor, at(0));
    EXPECT_TRUE(on_link_tick(monitor, at(2'001)).empty());
    EXPECT_TRUE(monitor.links_.empty());
}
