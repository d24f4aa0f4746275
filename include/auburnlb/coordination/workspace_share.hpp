// Equal shares of a service for the workspaces whose requests arrive at one
// router.
#ifndef AUBURNLB_COORDINATION_WORKSPACE_SHARE_HPP
#define AUBURNLB_COORDINATION_WORKSPACE_SHARE_HPP

#include <map>
#include <string>

#include "auburnlb/coordination/decaying_sum.hpp"

namespace auburnlb
{

/// Tokens of one workspace in the last seconds.
struct workspace_meter
{
    decaying_sum arrived_;
    decaying_sum started_;

    bool operator==(workspace_meter const&) const = default;
};

/// The meters of the workspaces that have sent requests lately, by name.
struct workspace_shares
{
    std::map<std::string, workspace_meter> meters_;

    bool operator==(workspace_shares const&) const = default;
};

void record_arrived_tokens(workspace_shares& shares,
                           std::string const& workspace, double tokens,
                           time_point now);

void record_started_tokens(workspace_shares& shares,
                           std::string const& workspace, double tokens,
                           time_point now);

/// Returns the max-min fair level: how many tokens each workspace may start if
/// those that need less get all that they need, and the others get equal parts
/// of the rest. Infinite if as much was started as has arrived.
double fair_level(workspace_shares const& shares, time_point now);

/// Returns how many tokens of the workspace were started.
double started_tokens(workspace_shares const& shares,
                      std::string const& workspace, time_point now);

/// Up to how many started tokens workspaces are within their share.
struct share_limits
{
    double fair_level_ = 0;
    /// Tokens that arrived for a workspace, on average.
    double mean_arrived_ = 0;

    bool operator==(share_limits const&) const = default;
};

share_limits limits_at(workspace_shares const& shares, time_point now);

/// Returns up to how many started tokens the workspace is within its share. It
/// is the fair level, or twice as much for a workspace that sends no more than
/// others do: its single requests are large compared to its share, and an
/// urgent one would wait for the less urgent one that was started before it.
double limit_of(share_limits const& limits, workspace_shares const& shares,
                std::string const& workspace, time_point now);

/// Returns whether the workspace sends so little that its share holds it twice.
/// Its requests need not wait for those of workspaces that use up their shares.
bool needs_little(share_limits const& limits, workspace_shares const& shares,
                  std::string const& workspace, time_point now);

bool is_within_share(workspace_shares const& shares,
                     std::string const& workspace, time_point now);

} // namespace auburnlb

#endif
