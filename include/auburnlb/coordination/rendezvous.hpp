// Rendezvous hashing: every process picks the same members for a key without
// talking to the others, and a member's going moves only what it was picked
// for.
#ifndef AUBURNLB_COORDINATION_RENDEZVOUS_HPP
#define AUBURNLB_COORDINATION_RENDEZVOUS_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnlb
{

/// Weight of a member for a key. The same in every process and build.
std::uint64_t rendezvous_score(std::string const& key,
                               std::string const& member);

/// Members by falling score, equal scores by name.
std::vector<std::string> rank_members(std::string const& key,
                                      std::vector<std::string> members);

/// The count members of highest score, fewer if there are fewer.
std::vector<std::string> pick_members(std::string const& key,
                                      std::vector<std::string> members,
                                      std::size_t count);

} // namespace auburnlb

#endif
