// Builds the flow network of a service and solves it with Boost.Graph.
#include "auburnlb/coordination/flow_bound.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/successive_shortest_path_nonnegative_weights.hpp>

namespace auburnlb
{

namespace
{

using traits =
    boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using edge = traits::edge_descriptor;
using vertex = traits::vertex_descriptor;

struct edge_data
{
    /// In thousandths of a token a second, so that sums are exact.
    std::int64_t capacity_ = 0;
    std::int64_t residual_ = 0;
    /// Microseconds for each token. The algorithm adds the largest value to
    /// distances of vertices out of reach, which only floating point allows.
    double cost_ = 0;
    edge reverse_;
};

using graph = boost::adjacency_list<boost::vecS, boost::vecS, boost::directedS,
                                    boost::no_property, edge_data>;

constexpr double units_per_token = 1'000;
/// Stands for a capacity that never limits.
constexpr std::int64_t unlimited = std::int64_t{1} << 50U;

/// Cost of a token at a stage by the stage's utilisation. A convex cost makes
/// the flow spread over stages that do not limit it.
struct utilisation_step
{
    double up_to_ = 0;
    double cost_us_ = 0;
};
constexpr utilisation_step utilisation_steps[] = {
    {0.6, 1'000}, {0.8, 3'000}, {1.0, 10'000}};

std::int64_t to_units(double tokens_per_second)
{
    double const units = tokens_per_second * units_per_token;
    return units >= static_cast<double>(unlimited)
               ? unlimited
               : std::llround(std::max(0.0, units));
}

double to_tokens(std::int64_t units)
{
    return static_cast<double>(units) / units_per_token;
}

/// A boundary of layers in a data centre.
using place = std::pair<std::uint32_t, std::string>;

struct network
{
    graph graph_;
    vertex source_ = 0;
    vertex sink_ = 0;
    std::vector<std::vector<edge>> group_edges_;
    std::vector<edge> link_edges_;
    std::map<place, vertex> leaves_;
    std::map<place, vertex> enters_;
};

edge connect(network& net, vertex from, vertex to, std::int64_t capacity,
             double cost)
{
    edge const forward = boost::add_edge(from, to, net.graph_).first;
    edge const backward = boost::add_edge(to, from, net.graph_).first;
    net.graph_[forward] = {capacity, capacity, cost, backward};
    net.graph_[backward] = {0, 0, -cost, forward};
    return forward;
}

vertex vertex_of(network& net, std::map<place, vertex>& places, place key)
{
    auto const found = places.find(key);
    if (found != places.end())
    {
        return found->second;
    }
    vertex const added = boost::add_vertex(net.graph_);
    places.emplace(std::move(key), added);
    return added;
}

std::vector<flow_group>
group_endpoints(std::vector<endpoint_description> const& endpoints,
                std::uint32_t layers)
{
    std::map<std::tuple<std::uint32_t, std::uint32_t, std::string>, flow_group>
        groups;
    for (std::size_t index = 0; index < endpoints.size(); ++index)
    {
        endpoint_description const& endpoint = endpoints[index];
        if (!is_usable_stage(endpoint, layers))
        {
            continue;
        }
        flow_group& group =
            groups[{endpoint.layers_.first_, endpoint.layers_.end_,
                    endpoint.data_centre_}];
        group.layers_ = endpoint.layers_;
        group.data_centre_ = endpoint.data_centre_;
        group.endpoints_.push_back(index);
        group.tokens_per_second_ += rate_of(endpoint);
    }
    std::vector<flow_group> list;
    list.reserve(groups.size());
    for (auto& [key, group] : groups)
    {
        list.push_back(std::move(group));
    }
    return list;
}

std::vector<edge> connect_group(network& net, flow_group const& group,
                                std::uint32_t layers)
{
    place const begin{group.layers_.first_, group.data_centre_};
    place const end{group.layers_.end_, group.data_centre_};
    vertex const from = group.layers_.first_ == 0
                            ? net.source_
                            : vertex_of(net, net.enters_, begin);
    vertex const to = group.layers_.end_ == layers
                          ? net.sink_
                          : vertex_of(net, net.leaves_, end);
    std::vector<edge> edges;
    double used = 0;
    for (utilisation_step const& step : utilisation_steps)
    {
        std::int64_t const capacity =
            to_units(group.tokens_per_second_ * step.up_to_) -
            to_units(group.tokens_per_second_ * used);
        edges.push_back(connect(net, from, to, capacity, step.cost_us_));
        used = step.up_to_;
    }
    return edges;
}

void connect_links(network& net, flow_bound& bound, link_rates const& links)
{
    for (auto const& [from, from_vertex] : net.leaves_)
    {
        auto const first = net.enters_.lower_bound({from.first, {}});
        for (auto to = first;
             to != net.enters_.end() && to->first.first == from.first; ++to)
        {
            auto const found =
                links.between_.find({from.second, to->first.second});
            link_rate const rate =
                found == links.between_.end() ? link_rate{} : found->second;
            bound.links_.push_back(
                {from.first, from.second, to->first.second, 0});
            net.link_edges_.push_back(connect(
                net, from_vertex, to->second, to_units(rate.tokens_per_second_),
                static_cast<double>(rate.delay_.count())));
        }
    }
}

void solve(network& net)
{
    boost::successive_shortest_path_nonnegative_weights(
        net.graph_, net.source_, net.sink_,
        boost::capacity_map(boost::get(&edge_data::capacity_, net.graph_))
            .residual_capacity_map(
                boost::get(&edge_data::residual_, net.graph_))
            .weight_map(boost::get(&edge_data::cost_, net.graph_))
            .reverse_edge_map(boost::get(&edge_data::reverse_, net.graph_)));
}

std::int64_t flow_on(network const& net, edge const& which)
{
    edge_data const& data = net.graph_[which];
    return data.capacity_ - data.residual_;
}

void read_flows(network const& net, flow_bound& bound)
{
    std::int64_t total = 0;
    for (std::size_t index = 0; index < bound.groups_.size(); ++index)
    {
        std::int64_t flow = 0;
        for (edge const& part : net.group_edges_[index])
        {
            flow += flow_on(net, part);
        }
        bound.groups_[index].flow_ = to_tokens(flow);
        total += bound.groups_[index].layers_.first_ == 0 ? flow : 0;
    }
    for (std::size_t index = 0; index < bound.links_.size(); ++index)
    {
        bound.links_[index].flow_ =
            to_tokens(flow_on(net, net.link_edges_[index]));
    }
    bound.tokens_per_second_ = to_tokens(total);
}

/// Vertexes that more flow could still reach from the source.
std::vector<bool> reachable_from_source(network const& net)
{
    std::vector<bool> is_reached(boost::num_vertices(net.graph_), false);
    std::vector<vertex> stack{net.source_};
    is_reached[net.source_] = true;
    while (!stack.empty())
    {
        vertex const at = stack.back();
        stack.pop_back();
        auto const [begin, end] = boost::out_edges(at, net.graph_);
        for (auto next = begin; next != end; ++next)
        {
            vertex const to = boost::target(*next, net.graph_);
            if (net.graph_[*next].residual_ > 0 && !is_reached[to])
            {
                is_reached[to] = true;
                stack.push_back(to);
            }
        }
    }
    return is_reached;
}

bool is_cut(network const& net, std::vector<bool> const& is_reached,
            edge const& which)
{
    return is_reached[boost::source(which, net.graph_)] &&
           !is_reached[boost::target(which, net.graph_)];
}

flow_limit limit_of(flow_group const& group,
                    std::vector<endpoint_description> const& endpoints)
{
    flow_limit limit;
    limit.name_ = "layers " + std::to_string(group.layers_.first_) + "-" +
                  std::to_string(group.layers_.end_) + " at " +
                  group.data_centre_;
    limit.tokens_per_second_ = group.tokens_per_second_;
    for (std::size_t const index : group.endpoints_)
    {
        limit.endpoints_.push_back(endpoints[index].name_);
    }
    return limit;
}

void read_cut(network const& net, flow_bound& bound,
              std::vector<endpoint_description> const& endpoints)
{
    std::vector<bool> const is_reached = reachable_from_source(net);
    for (std::size_t index = 0; index < bound.groups_.size(); ++index)
    {
        if (is_cut(net, is_reached, net.group_edges_[index].front()))
        {
            bound.limits_.push_back(limit_of(bound.groups_[index], endpoints));
        }
    }
    for (std::size_t index = 0; index < bound.links_.size(); ++index)
    {
        edge const which = net.link_edges_[index];
        if (is_cut(net, is_reached, which))
        {
            flow_link const& link = bound.links_[index];
            bound.limits_.push_back({"link " + link.from_ + " -> " + link.to_ +
                                         " at layer " +
                                         std::to_string(link.layer_),
                                     to_tokens(net.graph_[which].capacity_),
                                     {}});
        }
    }
}

} // namespace

bool is_usable_stage(endpoint_description const& endpoint, std::uint32_t layers)
{
    return endpoint.kind_ == service_kind::model &&
           endpoint.state_ == host_state::live &&
           endpoint.layers_.first_ < endpoint.layers_.end_ &&
           endpoint.layers_.end_ <= layers;
}

double rate_of(endpoint_description const& endpoint)
{
    return endpoint.tokens_per_second_ > 0 ? endpoint.tokens_per_second_ : 1;
}

std::set<std::uint32_t> find_viable_boundaries(std::vector<layer_range> ranges,
                                               std::uint32_t layers)
{
    // A range begins before it ends, so that falling first layers settle each
    // boundary after all those behind it.
    std::sort(ranges.begin(), ranges.end(),
              [](layer_range const& left, layer_range const& right)
              { return left.first_ > right.first_; });
    std::set<std::uint32_t> viable{layers};
    for (layer_range const& range : ranges)
    {
        if (viable.contains(range.end_))
        {
            viable.insert(range.first_);
        }
    }
    return viable;
}

flow_bound find_flow_bound(std::vector<endpoint_description> const& endpoints,
                           std::uint32_t layers, link_rates const& links)
{
    flow_bound bound;
    bound.groups_ = group_endpoints(endpoints, layers);
    network net;
    net.source_ = boost::add_vertex(net.graph_);
    net.sink_ = boost::add_vertex(net.graph_);
    for (flow_group const& group : bound.groups_)
    {
        net.group_edges_.push_back(connect_group(net, group, layers));
    }
    connect_links(net, bound, links);
    solve(net);
    read_flows(net, bound);
    read_cut(net, bound, endpoints);
    return bound;
}

} // namespace auburnlb
