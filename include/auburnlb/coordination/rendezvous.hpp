// Rendezvous hashing: every process selects the same members for a key without
// coordination, and the removal of a member moves only the keys for which it
// was selected.
#ifndef AUBURNLB_COORDINATION_RENDEZVOUS_HPP
#define AUBURNLB_COORDINATION_RENDEZVOUS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnlb
{

/// Returns the score of a member for a key. The same in every process and
/// build.
std::uint64_t rendezvous_score(std::string const& key,
                               std::string const& member);

/// Sorts members by descending score; equal scores by name.
std::vector<std::string> rank_members(std::string const& key,
                                      std::vector<std::string> members);

/// Returns the members with the highest scores, at most count.
std::vector<std::string> pick_members(std::string const& key,
                                      std::vector<std::string> members,
                                      std::size_t count);

} // namespace auburnlb

#endif
