// Tests of what a process knows of its peers.
#include <algorithm>

#include <gtest/gtest.h>

#include "auburnlb/coordination/peer_table.hpp"

using namespace auburnlb;

namespace
{

time_point at(int milliseconds_after_start)
{
    return time_point{} + milliseconds(milliseconds_after_start);
}

endpoint_description describe(incarnation_id incarnation)
{
    endpoint_description endpoint;
    endpoint.address_ = "a";
    endpoint.incarnation_ = incarnation;
    return endpoint;
}

host_entry listed(host_state state = host_state::live)
{
    host_entry host;
    host.address_ = "a";
    host.state_ = state;
    return host;
}

/// A table that has heard from incarnation 1 at address "a".
peer_table make_table()
{
    peer_table table;
    on_hosts(table, {listed()}, at(0));
    on_peer_tick(table, at(0));
    on_hello_reply(table, {1, "a", describe(1), {}}, 1, at(0));
    return table;
}

template <class Action>
std::size_t count(peer_actions const& actions)
{
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(),
                      [](peer_action const& action)
                      { return std::holds_alternative<Action>(action); }));
}

host_state state_of(peer_table const& table)
{
    return known_endpoints(table).at(0).state_;
}

} // namespace

TEST(peer_table, a_silent_peer_is_asked_on_a_new_connection_before_it_is_lost)
{
    peer_table table = make_table();
    peer_actions const probe = probe_peer(table, "a", at(10));
    EXPECT_EQ(probe, (peer_actions{send_hello{"a", false}}));
    EXPECT_TRUE(on_peer_tick(table, at(100)).empty());
    EXPECT_EQ(on_peer_tick(table, at(111)),
              (peer_actions{send_hello{"a", true}}));
    EXPECT_EQ(state_of(table), host_state::live);
    EXPECT_EQ(count<peer_lost>(on_peer_tick(table, at(261))), 1U);
    EXPECT_EQ(state_of(table), host_state::dead);
}

TEST(peer_table, a_peer_that_answers_on_the_new_connection_is_not_lost)
{
    peer_table table = make_table();
    probe_peer(table, "a", at(10));
    on_peer_tick(table, at(111));
    on_hello_reply(table, {2, "a", describe(1), {}}, 1, at(120));
    EXPECT_EQ(count<peer_lost>(on_peer_tick(table, at(300))), 0U);
    EXPECT_EQ(state_of(table), host_state::live);
}

TEST(peer_table, a_refused_connection_loses_the_peer_at_once)
{
    peer_table table = make_table();
    EXPECT_EQ(count<test_connection>(on_link_down(table, "a", at(5))), 1U);
    EXPECT_EQ(count<peer_lost>(on_connection_refused(table, "a", at(6))), 1U);
    EXPECT_EQ(count<peer_lost>(on_connection_refused(table, "a", at(7))), 0U);
}

TEST(peer_table, another_incarnation_at_the_address_replaces_the_old_one)
{
    peer_table table = make_table();
    peer_actions const actions =
        on_hello_reply(table, {2, "a", describe(2), {}}, 2, at(10));
    EXPECT_EQ(count<peer_lost>(actions), 1U);
    // An update of the old one comes late and changes nothing.
    EXPECT_TRUE(on_endpoint_update(table, endpoint_update{describe(1)}, at(11))
                    .empty());
    EXPECT_EQ(known_endpoints(table).at(0).incarnation_, 2U);
}

TEST(peer_table, either_side_may_know_first_that_a_host_leaves)
{
    peer_table table = make_table();
    on_hosts(table, {listed(host_state::leaving)}, at(1));
    EXPECT_EQ(state_of(table), host_state::leaving);
    on_hosts(table, {listed()}, at(2));
    endpoint_description leaving = describe(1);
    leaving.state_ = host_state::leaving;
    on_endpoint_update(table, endpoint_update{leaving}, at(3));
    EXPECT_EQ(state_of(table), host_state::leaving);
}

TEST(peer_table, a_lost_engine_counts_as_a_loss_while_its_companion_lives)
{
    peer_table table = make_table();
    endpoint_description dead = describe(1);
    dead.state_ = host_state::dead;
    peer_actions const actions =
        on_endpoint_update(table, endpoint_update{dead}, at(1));
    ASSERT_EQ(count<peer_lost>(actions), 1U);
    EXPECT_EQ(std::get<peer_lost>(actions[0]).reason_,
              retry_reason::engine_failed);
}

TEST(peer_table, a_peer_missing_from_the_lagging_list_stays_while_it_answers)
{
    peer_table table = make_table();
    EXPECT_EQ(count<disconnect_peer>(on_hosts(table, {}, at(1))), 0U);
    on_connection_refused(table, "a", at(2));
    EXPECT_EQ(count<disconnect_peer>(on_hosts(table, {}, at(3))), 1U);
}

TEST(peer_table, an_entry_that_greets_is_known_before_the_list_names_it)
{
    peer_table table;
    EXPECT_EQ(on_incoming_hello(table, "e", at(0)),
              (peer_actions{send_hello{"e", false}}));
    on_hello_reply(table, {1, "e", {}, {}}, 9, at(1));
    EXPECT_TRUE(table.peers_.at("e").is_alive_);
    EXPECT_TRUE(on_incoming_hello(table, "e", at(2)).empty());
    // Trees are built over data centres, which only the list tells.
    host_entry host;
    host.address_ = "e";
    host.role_ = host_role::entry;
    host.data_centre_ = "dc1";
    EXPECT_EQ(count<endpoints_changed>(on_hosts(table, {host}, at(3))), 1U);
    EXPECT_EQ(count<endpoints_changed>(on_hosts(table, {host}, at(4))), 0U);
}
