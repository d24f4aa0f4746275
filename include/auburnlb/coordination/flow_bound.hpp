// Upper bound of a model service's throughput: the maximum flow through its
// stages.
#ifndef AUBURNLB_COORDINATION_FLOW_BOUND_HPP
#define AUBURNLB_COORDINATION_FLOW_BOUND_HPP

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/fleet.hpp"

namespace auburnlb
{

/// Measured rate of the link from one data centre to another.
struct link_rate
{
    /// Tokens per second whose activations the link can carry.
    double tokens_per_second_ = std::numeric_limits<double>::infinity();
    /// One-way delay of a token's activations.
    microseconds delay_{0};

    bool operator==(link_rate const&) const = default;
};

/// Measured rates of all links.
struct link_rates
{
    /// By (from, to) data centre; a pair that is absent has no limit.
    std::map<std::pair<std::string, std::string>, link_rate> between_;
    /// Pairs (from, to) of endpoint addresses between which the link is
    /// degraded. A chain uses such a pair only if it has no alternative.
    std::set<std::pair<std::string, std::string>> degraded_;

    bool operator==(link_rates const&) const = default;
};

/// Endpoints with the same layers in the same data centre.
struct flow_group
{
    layer_range layers_;
    std::string data_centre_;
    /// Indexes into the endpoints passed to find_flow_bound.
    std::vector<std::size_t> endpoints_;
    /// Sum of the endpoints' rates, which is the capacity of the group.
    double tokens_per_second_ = 0;
    /// Invariant: at most tokens_per_second_.
    double flow_ = 0;

    bool operator==(flow_group const&) const = default;
};

/// Flow from one data centre to another, or within one, at a layer boundary.
struct flow_link
{
    std::uint32_t layer_ = 0;
    std::string from_;
    std::string to_;
    double flow_ = 0;

    bool operator==(flow_link const&) const = default;
};

/// A bottleneck, that is, a part of the minimum cut, at which more capacity
/// would raise the bound.
struct flow_limit
{
    /// For example "layers 0-12 at surat" or "link surat -> rajkot at layer
    /// 12".
    std::string name_;
    double tokens_per_second_ = 0;
    /// Names of the endpoints; empty for a link.
    std::vector<std::string> endpoints_;

    bool operator==(flow_limit const&) const = default;
};

/// The maximum flow of a service that has the least delay of all maximum flows.
struct flow_bound
{
    double tokens_per_second_ = 0;
    std::vector<flow_group> groups_;
    std::vector<flow_link> links_;
    /// The parts of the minimum cut.
    std::vector<flow_limit> limits_;

    bool operator==(flow_bound const&) const = default;
};

/// Returns whether an endpoint can be a stage of a model with this many layers.
bool is_usable_stage(endpoint_description const& endpoint,
                     std::uint32_t layers);

/// Returns the rate of an endpoint in tokens per second, or 1 if no rate is
/// known.
double rate_of(endpoint_description const& endpoint);

/// Returns the layer boundaries from which a chain of these ranges reaches the
/// model's depth, including the depth itself.
std::set<std::uint32_t> find_viable_boundaries(std::vector<layer_range> ranges,
                                               std::uint32_t layers);

/// Finds the bound over the endpoints that are live and hold layers of the
/// model. The rate of a link limits each layer boundary separately, so the
/// result may exceed the real throughput where several boundaries share a link.
flow_bound find_flow_bound(std::vector<endpoint_description> const& endpoints,
                           std::uint32_t layers, link_rates const& links);

} // namespace auburnlb

#endif
