// The plan that a request's path reads: where each service's flow goes.
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

/// An endpoint that may be chosen, with its part of the flow.
struct planned_endpoint
{
    endpoint_description description_;
    /// Hash of the address, for rendezvous hashing.
    std::uint64_t address_hash_ = 0;
    /// Tokens a second of the flow through it; zero if the flow avoids it.
    double flow_ = 0;
    /// Index of the hop that follows it; no_hop for a last stage.
    std::uint32_t next_hop_ = 0;
    /// Endpoints of the same plan to which its link is degraded.
    std::vector<std::uint32_t> degraded_;

    bool operator==(planned_endpoint const&) const = default;
};

/// An alternative at a hop.
struct planned_candidate
{
    std::uint32_t endpoint_ = 0;
    /// Tokens a second of the flow that enter it from this hop.
    double weight_ = 0;

    bool operator==(planned_candidate const&) const = default;
};

/// A place where a chain chooses its next stage.
struct planned_hop
{
    /// The first layer of the stage to choose.
    std::uint32_t layer_ = 0;
    /// Data centre of the stage before; empty at the first hop.
    std::string data_centre_;
    /// Invariant: each holds layers from layer_ on, and from the end of its
    /// layers the model's depth can be reached.
    std::vector<planned_candidate> candidates_;

    bool operator==(planned_hop const&) const = default;
};

inline constexpr std::uint32_t no_hop =
    std::numeric_limits<std::uint32_t>::max();

/// The plan of one service.
struct service_plan
{
    service_kind kind_ = service_kind::model;
    std::uint32_t layers_ = 0;
    std::uint64_t version_ = 0;
    /// Empty for a plain service.
    flow_bound bound_;
    /// Sorted by address. Invariant: all live.
    std::vector<planned_endpoint> endpoints_;
    /// The first is where each chain begins; empty if there is no chain.
    std::vector<planned_hop> hops_;

    bool operator==(service_plan const&) const = default;
};

/// Plans of all services. Published under RCU, never changed afterwards.
struct route_plan
{
    std::map<std::string, service_plan, std::less<>> services_;
    /// Hash of the endpoints and flows, by which a decider notices a new plan.
    std::uint64_t generation_ = 0;

    bool operator==(route_plan const&) const = default;
};

/// Builds the plan of a fleet. Takes milliseconds: call it off the path of a
/// request.
route_plan plan_routes(fleet_snapshot const& fleet, link_rates const& links);

/// What a plan was made from.
struct plan_inputs
{
    fleet_snapshot fleet_;
    link_rates links_;
};

/// Whether the fleet differs so much from the one that was planned that a new
/// plan is due: another version, endpoint, incarnation, state or layer range,
/// or a rate that changed by more than a tenth. Load does not matter.
bool needs_new_plan(plan_inputs const& planned, plan_inputs const& current);

} // namespace auburnlb

#endif
