// Selection of the endpoints that an entry connects to, and detection of
// incarnations that have been replaced.
#ifndef AUBURNLB_COORDINATION_MEMBERSHIP_HPP
#define AUBURNLB_COORDINATION_MEMBERSHIP_HPP

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "auburnlb/state/ids.hpp"

namespace auburnlb
{

/// An endpoint and its group. The endpoints of a group are interchangeable:
/// they belong to one service and hold the same layers.
struct grouped_endpoint
{
    std::string address_;
    std::string group_;

    bool operator==(grouped_endpoint const&) const = default;
};

struct subset_limits
{
    /// Endpoints of one group that an entry uses on average.
    std::size_t mean_per_group_ = 8;
    /// An entry uses at least this many, if the group has them.
    std::size_t min_per_group_ = 3;

    bool operator==(subset_limits const&) const = default;
};

/// Returns the addresses of the endpoints that one entry uses, sorted. Each
/// endpoint is used by as many entries as its group needs to reach the mean,
/// selected by rendezvous hashing of the entries, so that every endpoint is
/// used. The size of the set does not grow with the number of endpoints or
/// entries.
std::vector<std::string>
select_endpoints(std::string const& entry,
                 std::vector<std::string> const& entries,
                 std::vector<grouped_endpoint> const& endpoints,
                 subset_limits const& limits);

/// Current and replaced incarnations at each address. Late messages on a
/// stalled connection of a replaced process must not be attributed to its
/// successor.
struct incarnation_history
{
    std::map<std::string, incarnation_id> current_;
    /// Replaced incarnations, oldest first, at most max_retired per address.
    std::map<std::string, std::deque<incarnation_id>> retired_;

    static constexpr std::size_t max_retired = 16;

    bool operator==(incarnation_history const&) const = default;
};

/// Records that an incarnation answered at an address. Returns false if the
/// incarnation has been replaced.
bool admit_incarnation(incarnation_history& history, std::string const& address,
                       incarnation_id incarnation);

} // namespace auburnlb

#endif
