// Routing plan: the endpoints of each service and the flow planned through
// them.
#ifndef AUBURNLB_COORDINATION_ROUTE_PLAN_HPP
#define AUBURNLB_COORDINATION_ROUTE_PLAN_HPP

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "auburnlb/coordination/flow_bound.hpp"
#include "auburnlb/state/fleet.hpp"

namespace auburnlb
{

/// An endpoint that may be chosen, and the flow planned through it.
struct planned_endpoint
{
    endpoint_description description_;
    /// Hash of the address, for rendezvous hashing.
    std::uint64_t address_hash_ = 0;
    /// Flow through the endpoint in tokens per second; zero if the maximum flow
    /// does not use it.
    double flow_ = 0;
    /// Index of the hop that chooses the next stage; no_hop for a last stage.
    std::uint32_t next_hop_ = 0;
    /// Indexes of the endpoints in the plan to which the link is degraded.
    std::vector<std::uint32_t> degraded_;

    bool operator==(planned_endpoint const&) const = default;
};

/// An endpoint that may be chosen at a hop.
struct planned_candidate
{
    /// Index of the endpoint in the plan.
    std::uint32_t endpoint_ = 0;
    /// Flow from this hop into the endpoint, in tokens per second.
    double weight_ = 0;

    bool operator==(planned_candidate const&) const = default;
};

/// A step of a chain at which its next stage is chosen.
struct planned_hop
{
    /// First layer of the stage to choose.
    std::uint32_t layer_ = 0;
    /// Data centre of the previous stage; empty at the first hop.
    std::string data_centre_;
    /// Invariant: the layers of each candidate begin at layer_, and the model's
    /// depth can be reached from their end.
    std::vector<planned_candidate> candidates_;

    bool operator==(planned_hop const&) const = default;
};

/// Marks an endpoint that is the last stage of its chains.
inline constexpr std::uint32_t no_hop =
    std::numeric_limits<std::uint32_t>::max();

/// The plan of one service.
struct service_plan
{
    service_kind kind_ = service_kind::model;
    /// Depth of the model.
    std::uint32_t layers_ = 0;
    /// Version of the service's configuration.
    std::uint64_t version_ = 0;
    /// Empty for a plain service.
    flow_bound bound_;
    /// Sorted by address. Invariant: all live.
    std::vector<planned_endpoint> endpoints_;
    /// Each chain begins at the first hop. Empty if there is no complete chain.
    std::vector<planned_hop> hops_;

    bool operator==(service_plan const&) const = default;
};

/// Plans of all services. Immutable once it is published under RCU.
struct route_plan
{
    std::map<std::string, service_plan, std::less<>> services_;
    /// Hash of the endpoints and flows, by which a selector detects a new plan.
    std::uint64_t generation_ = 0;

    bool operator==(route_plan const&) const = default;
};

/// Builds the plan of a fleet. This takes milliseconds, so it must not be
/// called while a request is being routed.
route_plan plan_routes(fleet_snapshot const& fleet, link_rates const& links);

/// The data that a plan is built from.
struct plan_inputs
{
    fleet_snapshot fleet_;
    link_rates links_;
};

/// Returns whether the inputs have changed so much since the plan was built
/// that a new plan is needed: a service's version, the set of endpoints, an
/// endpoint's incarnation, state or layer range, or a rate by more than a
/// tenth. Load is not compared.
bool needs_new_plan(plan_inputs const& planned, plan_inputs const& current);

} // namespace auburnlb

#endif
