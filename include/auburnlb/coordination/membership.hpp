// Which endpoints an entry keeps in touch with, and which incarnations it no
// longer believes.
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

/// An endpoint and the group within which endpoints stand in for each other:
/// those of one service with the same layers.
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

/// Addresses of the endpoints that one entry uses, sorted. Each endpoint is
/// used by as many entries as its group needs to reach the mean, picked by
/// rendezvous hash of the entries, so none is left out; and the size of the set
/// does not grow with the number of endpoints or entries.
std::vector<std::string>
select_endpoints(std::string const& entry,
                 std::vector<std::string> const& entries,
                 std::vector<grouped_endpoint> const& endpoints,
                 subset_limits const& limits);

/// Incarnations that were replaced at each address. A process whose connection
/// slept must not be taken for the one that came after it.
struct incarnation_history
{
    std::map<std::string, incarnation_id> current_;
    /// Oldest first, at most max_retired for each address.
    std::map<std::string, std::deque<incarnation_id>> retired_;

    static constexpr std::size_t max_retired = 16;

    bool operator==(incarnation_history const&) const = default;
};

/// Notes that an incarnation answered at an address. Gives false for one that
/// was replaced before.
bool admit_incarnation(incarnation_history& history, std::string const& address,
                       incarnation_id incarnation);

} // namespace auburnlb

#endif
