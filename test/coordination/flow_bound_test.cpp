// Tests of the maximum flow, which must equal the capacity of the minimum cut.
#include <cmath>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/flow_bound.hpp"

#include "routing_fixture.hpp"

using namespace auburnlb;
using routing_fixture::stage;

namespace
{

constexpr std::uint32_t depth = 4;
constexpr double tolerance = 0.05;

std::vector<endpoint_description> any_stages()
{
    std::vector<std::string> const centres{"ahmedabad", "rajkot", "surat"};
    std::vector<endpoint_description> endpoints;
    int const count = *rc::gen::inRange(1, 16);
    for (int number = 0; number < count; ++number)
    {
        auto const first = *rc::gen::inRange<std::uint32_t>(0, depth);
        auto const end = *rc::gen::inRange<std::uint32_t>(first + 1, depth + 1);
        endpoints.push_back(stage(number, {first, end},
                                  *rc::gen::inRange(1, 200),
                                  *rc::gen::elementOf(centres)));
    }
    return endpoints;
}

link_rates any_links()
{
    std::vector<std::string> const centres{"ahmedabad", "rajkot", "surat"};
    link_rates links;
    for (std::string const& from : centres)
    {
        for (std::string const& to : centres)
        {
            if (from != to && *rc::gen::arbitrary<bool>())
            {
                double const rate = *rc::gen::inRange(1, 200);
                links.between_[{from, to}] = {
                    rate, microseconds(*rc::gen::inRange(0, 2'000))};
            }
        }
    }
    return links;
}

} // namespace

RC_GTEST_PROP(flow_bound, equals_the_capacity_of_the_reported_cut, ())
{
    flow_bound const bound = find_flow_bound(any_stages(), depth, any_links());
    double cut = 0;
    for (flow_limit const& limit : bound.limits_)
    {
        cut += limit.tokens_per_second_;
    }
    RC_ASSERT(std::abs(cut - bound.tokens_per_second_) < tolerance);
}

RC_GTEST_PROP(flow_bound, stays_within_capacities_and_conserves_flow, ())
{
    link_rates const links = any_links();
    flow_bound const bound = find_flow_bound(any_stages(), depth, links);
    std::map<std::pair<std::uint32_t, std::string>, double> leaving;
    std::map<std::pair<std::uint32_t, std::string>, double> entering;
    for (flow_group const& group : bound.groups_)
    {
        RC_ASSERT(group.flow_ <= group.tokens_per_second_ + tolerance);
        leaving[{group.layers_.end_, group.data_centre_}] += group.flow_;
        entering[{group.layers_.first_, group.data_centre_}] += group.flow_;
    }
    for (flow_link const& link : bound.links_)
    {
        auto const rate = links.between_.find({link.from_, link.to_});
        if (rate != links.between_.end())
        {
            RC_ASSERT(link.flow_ <=
                      rate->second.tokens_per_second_ + tolerance);
        }
        leaving[{link.layer_, link.from_}] -= link.flow_;
        entering[{link.layer_, link.to_}] -= link.flow_;
    }
    for (auto const& [site, rest] : leaving)
    {
        RC_ASSERT(site.first == depth || std::abs(rest) < tolerance);
    }
    for (auto const& [site, rest] : entering)
    {
        RC_ASSERT(site.first == 0 || std::abs(rest) < tolerance);
    }
}

TEST(flow_bound, reports_the_stages_and_links_that_limit_the_flow)
{
    std::vector<endpoint_description> const endpoints{
        stage(0, {0, 2}, 100, "surat"), stage(1, {2, 4}, 40, "surat"),
        stage(2, {2, 4}, 90, "rajkot")};
    link_rates links;
    links.between_[{"surat", "rajkot"}] = {10, microseconds(500)};
    flow_bound const bound = find_flow_bound(endpoints, depth, links);
    EXPECT_NEAR(bound.tokens_per_second_, 50, tolerance);
    ASSERT_EQ(bound.limits_.size(), 2U);
    EXPECT_EQ(bound.limits_[0].name_, "layers 2-4 at surat");
    EXPECT_EQ(bound.limits_[0].endpoints_,
              std::vector<std::string>{"engine-1"});
    EXPECT_EQ(bound.limits_[1].name_, "link surat -> rajkot at layer 2");
}

TEST(flow_bound, spreads_over_stages_that_do_not_limit_the_flow)
{
    std::vector<endpoint_description> const endpoints{
        stage(0, {0, 2}, 100, "surat"), stage(1, {2, 4}, 100, "surat"),
        stage(2, {2, 4}, 100, "rajkot")};
    flow_bound const bound = find_flow_bound(endpoints, depth, {});
    for (flow_group const& group : bound.groups_)
    {
        EXPECT_GE(group.flow_, 40 - tolerance) << group.data_centre_;
    }
}

TEST(flow_bound, excludes_endpoints_that_are_not_live)
{
    std::vector<endpoint_description> endpoints{stage(0, {0, 4}, 100),
                                                stage(1, {0, 4}, 50)};
    endpoints[0].state_ = host_state::leaving;
    EXPECT_NEAR(find_flow_bound(endpoints, depth, {}).tokens_per_second_, 50,
                tolerance);
}
