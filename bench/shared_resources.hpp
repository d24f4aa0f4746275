// Streams that share endpoints and links in virtual time.
#ifndef AUBURNLB_BENCH_SHARED_RESOURCES_HPP
#define AUBURNLB_BENCH_SHARED_RESOURCES_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace auburnlb::bench
{

/// One stream: a token passes each of its resources once.
struct stream
{
    std::uint64_t ticket_ = 0;
    std::vector<std::size_t> resources_;
    /// Its part of a resource is in proportion to this.
    double weight_ = 1;
    /// Tokens a second of one stream that has all resources for itself.
    double own_rate_ = 0;
    /// Tokens a second at present.
    double rate_ = 0;
};

/// Gives each stream its weighted max-min fair rate, to within a few rounds of
/// filling.
inline void share_resources(std::vector<stream>& streams,
                            std::vector<double> const& capacities)
{
    constexpr int rounds = 6;
    std::vector<double> left = capacities;
    std::vector<char> is_open(streams.size(), 1);
    for (stream& each : streams)
    {
        each.rate_ = 0;
    }
    for (int round = 0; round < rounds; ++round)
    {
        std::vector<double> weights(capacities.size(), 0);
        for (std::size_t index = 0; index < streams.size(); ++index)
        {
            for (std::size_t const resource : streams[index].resources_)
            {
                weights[resource] += is_open[index] * streams[index].weight_;
            }
        }
        std::vector<double> const available = left;
        for (std::size_t index = 0; index < streams.size(); ++index)
        {
            stream& each = streams[index];
            if (is_open[index] == 0)
            {
                continue;
            }
            double more = each.own_rate_ - each.rate_;
            for (std::size_t const resource : each.resources_)
            {
                more = std::min(more, available[resource] * each.weight_ /
                                          weights[resource]);
            }
            each.rate_ += more;
            for (std::size_t const resource : each.resources_)
            {
                left[resource] -= more;
            }
        }
        for (std::size_t index = 0; index < streams.size(); ++index)
        {
            stream const& each = streams[index];
            bool is_limited = each.rate_ >= each.own_rate_ * 0.999;
            for (std::size_t const resource : each.resources_)
            {
                is_limited |= left[resource] <= capacities[resource] * 0.001;
            }
            is_open[index] = is_limited ? 0 : 1;
        }
    }
}

} // namespace auburnlb::bench

#endif
