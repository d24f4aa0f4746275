// Rendezvous hashing with xxHash.
#include "auburnlb/coordination/rendezvous.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace auburnlb
{

std::uint64_t rendezvous_score(std::string const& key,
                               std::string const& member)
{
    std::uint64_t const seed = XXH64(key.data(), key.size(), 0);
    return XXH64(member.data(), member.size(), seed);
}

std::vector<std::string> rank_members(std::string const& key,
                                      std::vector<std::string> members)
{
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    scored.reserve(members.size());
    for (std::string& member : members)
    {
        std::uint64_t const score = rendezvous_score(key, member);
        scored.emplace_back(~score, std::move(member));
    }
    std::sort(scored.begin(), scored.end());
    for (std::size_t index = 0; index < scored.size(); ++index)
    {
        members[index] = std::move(scored[index].second);
    }
    return members;
}

std::vector<std::string> pick_members(std::string const& key,
                                      std::vector<std::string> members,
                                      std::size_t count)
{
    std::vector<std::string> ranked = rank_members(key, std::move(members));
    ranked.resize(std::min(count, ranked.size()));
    return ranked;
}

} // namespace auburnlb
