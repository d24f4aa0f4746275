// Tests of the choice of chains: adjacency, shares, lagging views, affinity.
#include <algorithm>
#include <deque>
#include <functional>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/chain_choice.hpp"

#include "../../bench/routing_baselines.hpp"
#include "routing_fixture.hpp"

using namespace auburnlb;
using routing_fixture::fleet_of;
using routing_fixture::stage;

namespace
{

constexpr std::uint32_t depth = 6;
std::string const service = "kalai-writer";

/// A small depth makes dead ends and the ways around them frequent.
constexpr std::uint32_t small_depth = 3;

std::vector<endpoint_description> any_endpoints()
{
    std::vector<std::string> const centres{"ahmedabad", "rajkot", "surat"};
    std::vector<host_state> const states{host_state::live, host_state::live,
                                         host_state::live, host_state::leaving,
                                         host_state::dead};
    std::vector<endpoint_description> endpoints;
    int const count = *rc::gen::inRange(1, 24);
    for (int number = 0; number < count; ++number)
    {
        auto const first = *rc::gen::inRange<std::uint32_t>(0, small_depth);
        auto const end =
            *rc::gen::inRange<std::uint32_t>(first + 1, small_depth + 1);
        endpoints.push_back(stage(number, {first, end},
                                  *rc::gen::inRange(0, 100),
                                  *rc::gen::elementOf(centres)));
        endpoints.back().state_ = *rc::gen::elementOf(states);
    }
    return endpoints;
}

std::set<std::string>
any_excluded(std::vector<endpoint_description> const& endpoints)
{
    std::set<std::string> excluded;
    for (endpoint_description const& endpoint : endpoints)
    {
        if (*rc::gen::arbitrary<bool>())
        {
            excluded.insert(endpoint.address_);
        }
    }
    return excluded;
}

/// Whether a chain exists, by search over the layers, apart from the plan.
bool has_chain(std::vector<endpoint_description> const& endpoints,
               std::set<std::string> const& excluded)
{
    std::set<std::uint32_t> reached{0};
    for (std::uint32_t layer = 0; layer < small_depth; ++layer)
    {
        for (endpoint_description const& endpoint : endpoints)
        {
            if (reached.contains(layer) && endpoint.layers_.first_ == layer &&
                endpoint.state_ == host_state::live &&
                !excluded.contains(endpoint.address_))
            {
                reached.insert(endpoint.layers_.end_);
            }
        }
    }
    return reached.contains(small_depth);
}

endpoint_description const&
find_endpoint(std::vector<endpoint_description> const& endpoints,
              std::string const& address)
{
    return *std::find_if(endpoints.begin(), endpoints.end(),
                         [&](endpoint_description const& endpoint)
                         { return endpoint.address_ == address; });
}

/// Three stages of unlike kinds; the middle one limits.
std::vector<endpoint_description> mixed_stages()
{
    std::vector<endpoint_description> endpoints;
    int number = 0;
    for (double const rate : {50.0, 100.0, 200.0, 400.0})
    {
        endpoints.push_back(stage(number++, {0, 2}, rate));
        endpoints.push_back(stage(number++, {2, 4}, rate * 0.6));
        endpoints.push_back(stage(number++, {4, 6}, rate * 0.8));
    }
    return endpoints;
}

/// Three stages of ten like endpoints each.
std::vector<endpoint_description> like_stages()
{
    std::vector<endpoint_description> endpoints;
    for (int number = 0; number < 30; ++number)
    {
        auto const first = static_cast<std::uint32_t>(number % 3) * 2;
        endpoints.push_back(stage(number, {first, first + 2}, 100));
    }
    return endpoints;
}

using chain = std::vector<chain_stage>;

} // namespace

RC_GTEST_PROP(choose_chain, is_adjacent_complete_live_and_not_excluded, ())
{
    std::vector<endpoint_description> const endpoints = any_endpoints();
    std::set<std::string> const excluded = any_excluded(endpoints);
    route_plan const plan = plan_routes(fleet_of(endpoints, small_depth), {});
    selector_state state = make_selector_state(*rc::gen::arbitrary<unsigned>());
    for (int round = 0; round < 5; ++round)
    {
        auto const prefix = *rc::gen::inRange<std::uint64_t>(0, 3);
        std::optional<chain> const found =
            choose_chain(plan, service, state, excluded, prefix);
        RC_ASSERT(found.has_value() == has_chain(endpoints, excluded));
        if (!found)
        {
            return;
        }
        std::uint32_t layer = 0;
        for (chain_stage const& part : *found)
        {
            endpoint_description const& endpoint =
                find_endpoint(endpoints, part.address_);
            RC_ASSERT(part.layers_ == endpoint.layers_);
            RC_ASSERT(part.incarnation_ == endpoint.incarnation_);
            RC_ASSERT(endpoint.state_ == host_state::live);
            RC_ASSERT(!excluded.contains(part.address_));
            RC_ASSERT(part.layers_.first_ == layer);
            layer = part.layers_.end_;
        }
        RC_ASSERT(layer == small_depth);
        record_request_start(state, *found);
    }
}

RC_GTEST_PROP(plan_routes, leads_into_no_dead_end, ())
{
    route_plan const plan =
        plan_routes(fleet_of(any_endpoints(), small_depth), {});
    service_plan const& planned = plan.services_.at(service);
    for (planned_hop const& hop : planned.hops_)
    {
        RC_ASSERT(!hop.candidates_.empty());
        for (planned_candidate const& candidate : hop.candidates_)
        {
            planned_endpoint const& endpoint =
                planned.endpoints_[candidate.endpoint_];
            RC_ASSERT(endpoint.description_.layers_.first_ == hop.layer_);
            RC_ASSERT((endpoint.next_hop_ == no_hop) ==
                      (endpoint.description_.layers_.end_ == small_depth));
        }
    }
}

TEST(needs_new_plan, follows_significant_changes_only)
{
    plan_inputs const planned{fleet_of(mixed_stages(), depth), {}};
    EXPECT_FALSE(needs_new_plan(planned, planned));

    plan_inputs current = planned;
    current.fleet_.endpoints_[0].load_.active_ = 50;
    current.fleet_.endpoints_[0].tokens_per_second_ *= 1.05;
    EXPECT_FALSE(needs_new_plan(planned, current));
    current.fleet_.endpoints_[0].tokens_per_second_ *= 1.1;
    EXPECT_TRUE(needs_new_plan(planned, current));

    current = planned;
    current.fleet_.endpoints_[1].state_ = host_state::leaving;
    EXPECT_TRUE(needs_new_plan(planned, current));

    current = planned;
    current.fleet_.endpoints_.pop_back();
    EXPECT_TRUE(needs_new_plan(planned, current));

    current = planned;
    current.links_.between_[{"surat", "rajkot"}] = {100, microseconds(500)};
    EXPECT_TRUE(needs_new_plan(planned, current));
}

TEST(choose_chain, shares_follow_the_flow_within_five_percent)
{
    constexpr int requests = 20'000;
    constexpr std::size_t in_progress = 60;
    route_plan const plan = plan_routes(fleet_of(mixed_stages(), depth), {});
    selector_state state = make_selector_state(7);
    std::map<std::string, int> counts;
    std::deque<chain> running;
    for (int request = 0; request < requests; ++request)
    {
        chain const chosen = choose_chain(plan, service, state, {}).value();
        record_request_start(state, chosen);
        running.push_back(chosen);
        for (chain_stage const& part : chosen)
        {
            ++counts[part.address_];
        }
        if (running.size() > in_progress)
        {
            record_request_end(state, running.front());
            running.pop_front();
        }
    }
    service_plan const& planned = plan.services_.at(service);
    for (planned_endpoint const& endpoint : planned.endpoints_)
    {
        double const wanted =
            requests * endpoint.flow_ / planned.bound_.tokens_per_second_;
        EXPECT_NEAR(counts[endpoint.description_.address_], wanted,
                    wanted * 0.05)
            << endpoint.description_.name_;
    }
}

TEST(choose_chain, moves_away_from_an_endpoint_that_slows_down)
{
    route_plan const plan = plan_routes(fleet_of(like_stages(), depth), {});
    selector_state state = make_selector_state(7);
    std::string const slow = like_stages().front().address_;
    std::deque<chain> running;
    int at_slow = 0;
    constexpr int requests = 1'000;
    for (int request = 0; request < requests; ++request)
    {
        chain const chosen = choose_chain(plan, service, state, {}).value();
        record_request_start(state, chosen);
        bool const is_slow = chosen.front().address_ == slow;
        at_slow += is_slow ? 1 : 0;
        // Requests at the slow endpoint never end.
        if (!is_slow)
        {
            running.push_back(chosen);
        }
        if (running.size() > 30)
        {
            record_request_end(state, running.front());
            running.pop_front();
        }
    }
    EXPECT_LT(at_slow, requests / 10 / 4);
}

namespace
{

constexpr int deciders = 50;

/// Lets many deciders act on one view that is refreshed only every twenty
/// requests of each, and gives the greatest load over the mean.
double worst_imbalance(
    std::function<chain(int decider, baseline::load_view const& stale)> const&
        choose,
    std::function<void(baseline::load_view const& fresh)> const& report)
{
    baseline::load_view load;
    std::deque<chain> running;
    double worst = 0;
    for (int round = 0; round < 20; ++round)
    {
        baseline::load_view const stale = load;
        report(stale);
        for (int request = 0; request < 20 * deciders; ++request)
        {
            chain const chosen = choose(request % deciders, stale);
            running.push_back(chosen);
            for (chain_stage const& part : chosen)
            {
                load[part.address_] += 1;
            }
            if (running.size() > 600)
            {
                for (chain_stage const& part : running.front())
                {
                    load[part.address_] -= 1;
                }
                running.pop_front();
            }
        }
        for (auto const& [address, value] : load)
        {
            worst = std::max(worst, value / (600.0 / 10));
        }
    }
    return worst;
}

} // namespace

TEST(choose_chain, fifty_deciders_on_a_lagging_view_do_not_herd)
{
    route_plan const plan = plan_routes(fleet_of(like_stages(), depth), {});
    std::vector<selector_state> states;
    states.reserve(deciders);
    for (int decider = 0; decider < deciders; ++decider)
    {
        states.push_back(make_selector_state(decider + 1U, deciders));
    }
    std::vector<std::deque<chain>> own(deciders);
    double const ours = worst_imbalance(
        [&](int decider, baseline::load_view const&)
        {
            selector_state& state = states[static_cast<std::size_t>(decider)];
            chain chosen = choose_chain(plan, service, state, {}).value();
            record_request_start(state, chosen);
            auto& mine = own[static_cast<std::size_t>(decider)];
            mine.push_back(chosen);
            if (mine.size() > 600 / deciders)
            {
                record_request_end(state, mine.front());
                mine.pop_front();
            }
            return chosen;
        },
        [&](baseline::load_view const& fresh)
        {
            for (selector_state& state : states)
            {
                for (auto const& [address, value] : fresh)
                {
                    load_report load;
                    load.active_ = static_cast<std::uint32_t>(value);
                    on_load_report(state, address, load);
                }
            }
        });
    service_plan const& planned = plan.services_.at(service);
    double const least_loaded =
        worst_imbalance([&](int, baseline::load_view const& stale)
                        { return baseline::least_loaded(planned, stale); },
                        [](baseline::load_view const&) {});
    RecordProperty("ours", std::to_string(ours));
    RecordProperty("least_loaded", std::to_string(least_loaded));
    EXPECT_LT(ours, 1.25);
    EXPECT_GT(least_loaded, 5.0);
}

TEST(choose_chain, fifty_deciders_do_not_flood_a_newcomer)
{
    // The last report: everybody has 60 in progress, the newcomer none. The
    // next report comes after so many requests of each decider.
    std::vector<endpoint_description> const endpoints = like_stages();
    std::string const newcomer = endpoints.front().address_;
    route_plan const plan = plan_routes(fleet_of(endpoints, depth), {});
    for (int const requests : {20, 40, 100})
    {
        int at_newcomer = 0;
        for (unsigned decider = 0; decider < deciders; ++decider)
        {
            selector_state state = make_selector_state(decider + 1, deciders);
            for (endpoint_description const& endpoint : endpoints)
            {
                load_report load;
                load.active_ = endpoint.address_ == newcomer ? 0 : 60;
                on_load_report(state, endpoint.address_, load);
            }
            for (int request = 0; request < requests; ++request)
            {
                chain const chosen =
                    choose_chain(plan, service, state, {}).value();
                record_request_start(state, chosen);
                at_newcomer += chosen.front().address_ == newcomer ? 1 : 0;
            }
        }
        double const share = requests * deciders / 10.0;
        double const mean = (9 * 60 + requests * deciders) / 10.0;
        RecordProperty("after_" + std::to_string(requests),
                       std::to_string(at_newcomer / mean));
        EXPECT_GT(at_newcomer, share) << "it catches up";
        EXPECT_LT(at_newcomer, mean * 1.5);
    }
}

TEST(choose_chain, goes_around_a_dead_end_that_exclusion_makes)
{
    std::vector<endpoint_description> const endpoints{
        stage(0, {0, 2}, 100), stage(1, {2, 6}, 100), stage(2, {0, 3}, 100),
        stage(3, {3, 6}, 100)};
    route_plan const plan = plan_routes(fleet_of(endpoints, depth), {});
    selector_state state = make_selector_state(1);
    for (int round = 0; round < 20; ++round)
    {
        auto const chosen =
            choose_chain(plan, service, state, {endpoints[1].address_});
        ASSERT_TRUE(chosen.has_value());
        EXPECT_EQ(chosen->front().address_, endpoints[2].address_);
    }
}

TEST(choose_chain, avoids_a_degraded_link_unless_it_is_the_only_one)
{
    std::vector<endpoint_description> endpoints{
        stage(0, {0, 3}, 100), stage(1, {3, 6}, 100), stage(2, {3, 6}, 100)};
    link_rates links;
    links.degraded_.emplace(endpoints[0].address_, endpoints[1].address_);
    route_plan const plan = plan_routes(fleet_of(endpoints, depth), links);
    selector_state state = make_selector_state(1);
    for (int round = 0; round < 20; ++round)
    {
        EXPECT_EQ(choose_chain(plan, service, state, {})->back().address_,
                  endpoints[2].address_);
    }
    EXPECT_EQ(choose_chain(plan, service, state, {endpoints[2].address_})
                  ->back()
                  .address_,
              endpoints[1].address_);
}

TEST(choose_chain, avoids_an_endpoint_without_free_cache_memory)
{
    std::vector<endpoint_description> const endpoints{stage(0, {0, 6}, 100),
                                                      stage(1, {0, 6}, 100)};
    route_plan const plan = plan_routes(fleet_of(endpoints, depth), {});
    selector_state state = make_selector_state(1);
    load_report full;
    full.kv_free_tokens_ = 99;
    on_load_report(state, endpoints[0].address_, full);
    for (int round = 0; round < 20; ++round)
    {
        EXPECT_EQ(
            choose_chain(plan, service, state, {}, 0, 100)->front().address_,
            endpoints[1].address_);
    }
}

TEST(choose_chain, keeps_a_prefix_together_only_while_that_pays)
{
    route_plan const plan = plan_routes(fleet_of(like_stages(), depth), {});
    constexpr std::uint64_t prefix = 42;
    selector_state first = make_selector_state(1);
    selector_state second = make_selector_state(2);
    chain const home = choose_chain(plan, service, first, {}, prefix).value();
    EXPECT_EQ(choose_chain(plan, service, second, {}, prefix).value(), home);

    for (int request = 0; request < 10; ++request)
    {
        record_request_start(first, home);
    }
    EXPECT_NE(choose_chain(plan, service, first, {}, prefix).value(), home);

    for (int result = 0; result < 100; ++result)
    {
        on_prefix_cache_result(second, service, false);
    }
    int kept = 0;
    for (int request = 0; request < 160; ++request)
    {
        kept += choose_chain(plan, service, second, {}, prefix).value() == home;
    }
    EXPECT_LT(kept, 20);
    EXPECT_GT(kept, 5);
}

TEST(choose_endpoint, takes_live_plain_endpoints_by_load)
{
    std::vector<endpoint_description> endpoints{
        stage(0, {}, 0), stage(1, {}, 0), stage(2, {}, 0)};
    for (endpoint_description& endpoint : endpoints)
    {
        endpoint.kind_ = service_kind::plain;
    }
    endpoints[2].state_ = host_state::leaving;
    fleet_snapshot fleet = fleet_of(endpoints, 0);
    service_config config = *fleet.services_[service];
    config.kind_ = service_kind::plain;
    fleet.services_[service] = std::make_shared<service_config const>(config);
    route_plan const plan = plan_routes(fleet, {});
    selector_state state = make_selector_state(3);
    std::map<std::string, int> counts;
    for (int request = 0; request < 100; ++request)
    {
        ++counts[choose_endpoint(plan, service, state, {})->address_];
    }
    EXPECT_EQ(counts.count(endpoints[2].address_), 0U);
    EXPECT_NEAR(counts[endpoints[0].address_], 50, 5);
    EXPECT_EQ(choose_endpoint(plan, service, state, {endpoints[0].address_})
                  ->address_,
              endpoints[1].address_);
    EXPECT_FALSE(choose_chain(plan, service, state, {}).has_value());
}

TEST(remove_absent_endpoints, drops_views_that_nothing_needs)
{
    std::vector<endpoint_description> endpoints{stage(0, {0, 6}, 100),
                                                stage(1, {0, 6}, 100)};
    route_plan const both = plan_routes(fleet_of(endpoints, depth), {});
    selector_state state = make_selector_state(1);
    choose_chain(both, service, state, {});
    endpoints.pop_back();
    route_plan const one = plan_routes(fleet_of(endpoints, depth), {});
    remove_absent_endpoints(state, one);
    EXPECT_EQ(state.views_.size(), 1U);
    EXPECT_EQ(choose_chain(one, service, state, {})->front().address_,
              endpoints[0].address_);
}
