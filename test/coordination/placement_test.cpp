// Tests of the placement planner.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/placement.hpp"

#include "routing_fixture.hpp"

using namespace auburnlb;
using routing_fixture::stage;

namespace
{

constexpr std::uint32_t layer_count = 4;
constexpr double tolerance = 0.05;
time_point const start{};

double flow_of(std::vector<endpoint_description> const& endpoints)
{
    return find_flow_bound(endpoints, layer_count, {}).tokens_per_second_;
}

endpoint_description&
find_endpoint(std::vector<endpoint_description>& endpoints,
              std::string const& address)
{
    return *std::find_if(endpoints.begin(), endpoints.end(),
                         [&](endpoint_description const& endpoint)
                         { return endpoint.address_ == address; });
}

/// Four endpoints for the first layers, but one for the last layers.
std::vector<endpoint_description> unbalanced()
{
    return {stage(0, {0, 2}, 100), stage(1, {0, 2}, 100), stage(2, {0, 2}, 100),
            stage(3, {0, 2}, 100), stage(4, {2, 4}, 100)};
}

} // namespace

RC_GTEST_PROP(propose_move, no_move_lowers_the_flow_while_it_loads, ())
{
    std::vector<endpoint_description> endpoints;
    int const count = *rc::gen::inRange(2, 12);
    endpoints.reserve(static_cast<std::size_t>(count));
    std::vector<layer_range> const ranges{{0, 1}, {0, 2}, {1, 2},
                                          {2, 4}, {2, 3}, {3, 4}};
    for (int number = 0; number < count; ++number)
    {
        endpoints.push_back(stage(number, *rc::gen::elementOf(ranges),
                                  *rc::gen::inRange(1, 100)));
    }
    placement_state state;
    time_point now = start;
    for (int round = 0; round < 6; ++round)
    {
        double const before = flow_of(endpoints);
        auto const move =
            propose_move(endpoints, layer_count, {}, {}, state, now);
        if (!move)
        {
            return;
        }
        record_move(state, *move, now);
        endpoint_description& moved = find_endpoint(endpoints, move->address_);
        moved.state_ = host_state::leaving;
        RC_ASSERT(flow_of(endpoints) >= before - tolerance);
        double const old_rate = moved.tokens_per_second_;
        moved.state_ = host_state::live;
        moved.layers_ = move->to_;
        moved.tokens_per_second_ = old_rate *
                                   (move->from_.end_ - move->from_.first_) /
                                   (move->to_.end_ - move->to_.first_);
        RC_ASSERT(std::abs(flow_of(endpoints) - before - move->gain_) <
                  tolerance);
        now += seconds(60);
    }
}

TEST(propose_move, moves_a_surplus_endpoint_to_the_limiting_layers)
{
    auto const move = propose_move(unbalanced(), layer_count, {}, {},
                                   placement_state{}, start);
    ASSERT_TRUE(move.has_value());
    EXPECT_EQ(move->to_, (layer_range{2, 4}));
    EXPECT_NEAR(move->gain_, 100, tolerance);
    EXPECT_EQ(move->bytes_, 2U);
}

TEST(propose_move, no_move_while_loading_and_none_of_an_endpoint_just_moved)
{
    std::vector<endpoint_description> endpoints = unbalanced();
    placement_state state;
    auto const move =
        propose_move(endpoints, layer_count, {}, {}, state, start);
    record_move(state, move.value(), start);
    endpoint_description& moved = find_endpoint(endpoints, move->address_);
    moved.state_ = host_state::leaving;
    EXPECT_FALSE(propose_move(endpoints, layer_count, {}, {}, state,
                              start + seconds(10)));
    moved.state_ = host_state::live;
    auto const next = propose_move(endpoints, layer_count, {}, {}, state,
                                   start + seconds(10));
    ASSERT_TRUE(next.has_value());
    EXPECT_NE(next->address_, move->address_);
}

TEST(propose_move, no_move_for_a_small_gain)
{
    // A move of either small endpoint would gain 4 tokens/s of 100.
    std::vector<endpoint_description> const endpoints{
        stage(0, {0, 2}, 100), stage(1, {0, 2}, 4), stage(2, {0, 2}, 4),
        stage(3, {2, 4}, 100)};
    EXPECT_FALSE(
        propose_move(endpoints, layer_count, {}, {}, placement_state{}, start));
}
