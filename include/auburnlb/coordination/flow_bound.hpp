// The bound of a model service's throughput: a maximum flow through its stages.
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
    /// Tokens a second whose activations the link carries.
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
    /// Pairs (from, to) of endpoint addresses whose own link is degraded. A
    /// chain takes such a pair only if it has no other.
    std::set<std::pair<std::string, std::string>> degraded_;

    bool operator==(link_rates const&) const = default;
};

/// Endpoints with the same layers in the same data centre.
struct flow_group
{
    layer_range layers_;
    std::string data_centre_;
    /// Indexes into the endpoints that were given.
    std::vector<std::size_t> endpoints_;
    /// Sum of the endpoints' rates.
    double tokens_per_second_ = 0;
    /// Invariant: at most tokens_per_second_.
    double flow_ = 0;

    bool operator==(flow_group const&) const = default;
};

/// Flow between data centres at one boundary of layers.
struct flow_link
{
    std::uint32_t layer_ = 0;
    std::string from_;
    std::string to_;
    double flow_ = 0;

    bool operator==(flow_link const&) const = default;
};

/// A part of the minimum cut: more of it would raise the bound.
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

/// The maximum flow of a service with the least delay among maximum flows.
struct flow_bound
{
    double tokens_per_second_ = 0;
    std::vector<flow_group> groups_;
    std::vector<flow_link> links_;
    std::vector<flow_limit> limits_;

    bool operator==(flow_bound const&) const = default;
};

/// Whether an endpoint can be a stage of a model with that many layers.
bool is_usable_stage(endpoint_description const& endpoint,
                     std::uint32_t layers);

/// The rate of an endpoint in tokens a second; 1 for one that is not measured.
double rate_of(endpoint_description const& endpoint);

/// Boundaries of layers from which a chain of these ranges reaches the model's
/// depth; the depth itself is one.
std::set<std::uint32_t> find_viable_boundaries(std::vector<layer_range> ranges,
                                               std::uint32_t layers);

/// Finds the bound over those of the endpoints that are live and hold layers
/// of the model. A link's rate limits each boundary of layers by itself, so the
/// result is an upper bound where several boundaries share a link.
flow_bound find_flow_bound(std::vector<endpoint_description> const& endpoints,
                           std::uint32_t layers, link_rates const& links);

} // namespace auburnlb

#endif
