// Tests of what an operator is told of joining and leaving endpoints.
#include <gtest/gtest.h>

#include "auburnlb/coordination/peer_changes.hpp"

using namespace auburnlb;

namespace
{

endpoint_description make_endpoint(incarnation_id incarnation, host_state state)
{
    endpoint_description endpoint;
    endpoint.address_ = "tcp://a:1";
    endpoint.service_ = "writer";
    endpoint.incarnation_ = incarnation;
    endpoint.state_ = state;
    return endpoint;
}

std::vector<peer_change> one(peer_change_kind kind)
{
    return {{kind, "tcp://a:1", "writer"}};
}

} // namespace

TEST(peer_changes, each_change_is_told_once)
{
    seen_peers seen;
    auto const live = make_endpoint(1, host_state::live);
    auto const leaving = make_endpoint(1, host_state::leaving);
    EXPECT_EQ(detect_peer_changes(seen, {live}), one(peer_change_kind::joined));
    EXPECT_TRUE(detect_peer_changes(seen, {live}).empty());
    EXPECT_EQ(detect_peer_changes(seen, {leaving}),
              one(peer_change_kind::leaving));
    EXPECT_TRUE(detect_peer_changes(seen, {leaving}).empty());
}

TEST(peer_changes, an_endpoint_that_was_dead_joins_again)
{
    seen_peers seen;
    EXPECT_TRUE(detect_peer_changes(seen, {make_endpoint(1, host_state::dead)})
                    .empty());
    auto const live = make_endpoint(1, host_state::live);
    EXPECT_EQ(detect_peer_changes(seen, {live}), one(peer_change_kind::joined));
    EXPECT_TRUE(detect_peer_changes(seen, {make_endpoint(1, host_state::dead)})
                    .empty());
    EXPECT_EQ(detect_peer_changes(seen, {live}), one(peer_change_kind::joined));
}

TEST(peer_changes, a_new_incarnation_replaces_the_old_one)
{
    seen_peers seen;
    detect_peer_changes(seen, {make_endpoint(1, host_state::live)});
    detect_peer_changes(seen, {make_endpoint(1, host_state::dead)});
    EXPECT_EQ(detect_peer_changes(seen, {make_endpoint(2, host_state::live)}),
              one(peer_change_kind::replaced));
    EXPECT_TRUE(detect_peer_changes(seen, {make_endpoint(2, host_state::live)})
                    .empty());
}

TEST(peer_changes, a_forgotten_endpoint_joins_as_a_new_one)
{
    seen_peers seen;
    detect_peer_changes(seen, {make_endpoint(1, host_state::live)});
    detect_peer_changes(seen, {});
    EXPECT_EQ(detect_peer_changes(seen, {make_endpoint(2, host_state::live)}),
              one(peer_change_kind::joined));
}
