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
    /// In thousandths of a token per second, so that sums are exact.
    std::int64_t capacity_ = 0;
    std::int64_t residual_ = 0;
    /// Microseconds per token. A floating-point type, because the algorithm
    /// adds the largest value to the distances of unreachable vertices, which
    /// would overflow an integer.
    double cost_ = 0;
    edge reverse_;
};

using graph = boost::adjacency_list<boost::vecS, boost::vecS, boost::directedS,
                                    boost::no_property, edge_data>;

constexpr double units_per_token = 1'000;
/// Capacity, in units, of an edge without a limit.
constexpr std::int64_t unlimited = std::int64_t{1} << 50U;

/// Cost of a token at a stage by the stage's utilisation. As the cost is
/// convex, the flow spreads over stages that do not limit it.
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

/// A layer boundary in a data centre.
using boundary_site = std::pair<std::uint32_t, std::string>;

/// Flow network of a service. Groups of endpoints and links between data
/// centres are edges; layer boundaries in data centres are vertices.
struct network
{
    graph graph_;
    vertex source_ = 0;
    vertex sink_ = 0;
    std::vector<std::vector<edge>> group_edges_;
    std::vector<edge> link_edges_;
    /// Vertices at which groups end.
    std::map<boundary_site, vertex> group_ends_;
    /// Vertices at which groups begin.
    std::map<boundary_site, vertex> group_begins_;
};

edge add_edge_pair(network& net, vertex from, vertex to, std::int64_t capacity,
                   double cost)
{
    edge const forward = boost::add_edge(from, to, net.graph_).first;
    edge const backward = boost::add_edge(to, from, net.graph_).first;
    net.graph_[forward] = {capacity, capacity, cost, backward};
    net.graph_[backward] = {0, 0, -cost, forward};
    return forward;
}

vertex vertex_of(network& net, std::map<boundary_site, vertex>& sites,
                 boundary_site key)
{
    auto const found = sites.find(key);
    if (found != sites.end())
    {
        return found->second;
    }
    vertex const added = boost::add_vertex(net.graph_);
    sites.emplace(std::move(key), added);
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

std::vector<edge> add_group_edges(network& net, flow_group const& group,
                                  std::uint32_t layers)
{
    boundary_site const begin{group.layers_.first_, group.data_centre_};
    boundary_site const end{group.layers_.end_, group.data_centre_};
    vertex const from = group.layers_.first_ == 0
                            ? net.source_
                            : vertex_of(net, net.group_begins_, begin);
    vertex const to = group.layers_.end_ == layers
                          ? net.sink_
                          : vertex_of(net, net.group_ends_, end);
    std::vector<edge> edges;
    double used = 0;
    for (utilisation_step const& step : utilisation_steps)
    {
        std::int64_t const capacity =
            to_units(group.tokens_per_second_ * step.up_to_) -
            to_units(group.tokens_per_second_ * used);
        edges.push_back(add_edge_pair(net, from, to, capacity, step.cost_us_));
        used = step.up_to_;
    }
    return edges;
}

void add_link_edges(network& net, flow_bound& bound, link_rates const& links)
{
    for (auto const& [from, from_vertex] : net.group_ends_)
    {
        auto const first = net.group_begins_.lower_bound({from.first, {}});
        for (auto to = first;
             to != net.group_begins_.end() && to->first.first == from.first;
             ++to)
        {
            auto const found =
                links.between_.find({from.second, to->first.second});
            link_rate const rate =
                found == links.between_.end() ? link_rate{} : found->second;
            bound.links_.push_back(
                {from.first, from.second, to->first.second, 0});
            net.link_edges_.push_back(add_edge_pair(
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

std::int64_t flow_on(network const& net, edge const& edge_id)
{
    edge_data const& data = net.graph_[edge_id];
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

/// Returns which vertices can be reached from the source along residual
/// capacity.
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

bool is_cut_edge(network const& net, std::vector<bool> const& is_reached,
                 edge const& edge_id)
{
    return is_reached[boost::source(edge_id, net.graph_)] &&
           !is_reached[boost::target(edge_id, net.graph_)];
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
        if (is_cut_edge(net, is_reached, net.group_edges_[index].front()))
        {
            bound.limits_.push_back(limit_of(bound.groups_[index], endpoints));
        }
    }
    for (std::size_t index = 0; index < bound.links_.size(); ++index)
    {
        edge const edge_id = net.link_edges_[index];
        if (is_cut_edge(net, is_reached, edge_id))
        {
            flow_link const& link = bound.links_[index];
            bound.limits_.push_back({"link " + link.from_ + " -> " + link.to_ +
                                         " at layer " +
                                         std::to_string(link.layer_),
                                     to_tokens(net.graph_[edge_id].capacity_),
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
    // A range ends at a higher layer than it begins, so in descending order of
    // first layers each boundary is decided after all higher ones.
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
        net.group_edges_.push_back(add_group_edges(net, group, layers));
    }
    add_link_edges(net, bound, links);
    solve(net);
    read_flows(net, bound);
    read_cut(net, bound, endpoints);
    return bound;
}

} // namespace auburnlb
