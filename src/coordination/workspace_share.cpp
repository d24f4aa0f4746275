// Meters of the workspaces, and the level up to which each may start requests.
#include "auburnlb/coordination/workspace_share.hpp"

#include <algorithm>
#include <limits>
#include <vector>

namespace auburnlb
{

namespace
{

/// Time constant of the meters: long enough to average over the bursts of a
/// small workspace, short enough that a surge is forgotten when it has ended.
constexpr milliseconds meter_time{2'000};

/// A workspace of which less than this is left is dropped. No request has fewer
/// than one token, so that it has sent nothing for several time constants.
constexpr double min_tokens = 0.01;

/// How far the load of a workspace may be above the average, and its starts
/// above the fair level, before it is beyond its share.
constexpr double burst_factor = 2;

void drop_idle_workspaces(workspace_shares& shares, time_point now)
{
    std::erase_if(
        shares.meters_,
        [now](auto const& entry)
        {
            workspace_meter const& meter = entry.second;
            return value_at(meter.arrived_, now, meter_time) < min_tokens &&
                   value_at(meter.started_, now, meter_time) < min_tokens;
        });
}

} // namespace

void record_arrived_tokens(workspace_shares& shares,
                           std::string const& workspace, double tokens,
                           time_point now)
{
    auto const found = shares.meters_.find(workspace);
    if (found == shares.meters_.end())
    {
        drop_idle_workspaces(shares, now);
    }
    add(shares.meters_[workspace].arrived_, tokens, now, meter_time);
}

void record_started_tokens(workspace_shares& shares,
                           std::string const& workspace, double tokens,
                           time_point now)
{
    add(shares.meters_[workspace].started_, tokens, now, meter_time);
}

double fair_level(workspace_shares const& shares, time_point now)
{
    std::vector<double> arrived;
    arrived.reserve(shares.meters_.size());
    double left = 0;
    for (auto const& [name, meter] : shares.meters_)
    {
        arrived.push_back(value_at(meter.arrived_, now, meter_time));
        left += value_at(meter.started_, now, meter_time);
    }
    std::sort(arrived.begin(), arrived.end());
    for (std::size_t at = 0; at < arrived.size(); ++at)
    {
        double const equal_part =
            left / static_cast<double>(arrived.size() - at);
        if (arrived[at] > equal_part)
        {
            return equal_part;
        }
        left -= arrived[at];
    }
    return std::numeric_limits<double>::infinity();
}

double started_tokens(workspace_shares const& shares,
                      std::string const& workspace, time_point now)
{
    auto const found = shares.meters_.find(workspace);
    return found == shares.meters_.end()
               ? 0
               : value_at(found->second.started_, now, meter_time);
}

share_limits limits_at(workspace_shares const& shares, time_point now)
{
    share_limits limits;
    limits.fair_level_ = fair_level(shares, now);
    for (auto const& [name, meter] : shares.meters_)
    {
        limits.mean_arrived_ += value_at(meter.arrived_, now, meter_time) /
                                static_cast<double>(shares.meters_.size());
    }
    return limits;
}

double limit_of(share_limits const& limits, workspace_shares const& shares,
                std::string const& workspace, time_point now)
{
    auto const found = shares.meters_.find(workspace);
    bool const is_usual = found == shares.meters_.end() ||
                          value_at(found->second.arrived_, now, meter_time) <=
                              limits.mean_arrived_ * burst_factor;
    return is_usual ? limits.fair_level_ * burst_factor : limits.fair_level_;
}

bool needs_little(share_limits const& limits, workspace_shares const& shares,
                  std::string const& workspace, time_point now)
{
    auto const found = shares.meters_.find(workspace);
    return found == shares.meters_.end() ||
           value_at(found->second.arrived_, now, meter_time) * burst_factor <=
               limits.fair_level_;
}

bool is_within_share(workspace_shares const& shares,
                     std::string const& workspace, time_point now)
{
    return started_tokens(shares, workspace, now) <
           limit_of(limits_at(shares, now), shares, workspace, now);
}

} // namespace auburnlb
