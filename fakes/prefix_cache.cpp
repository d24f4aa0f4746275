// Prefix cache of the fake engine.
#include "prefix_cache.hpp"

#include <algorithm>

#include <xxhash.h>

namespace auburnlb::fakes
{

namespace
{

/// Text that one block covers.
constexpr std::size_t block_bytes = 64;

} // namespace

prefix_cache::prefix_cache(std::uint64_t capacity_tokens)
    : capacity_tokens_(capacity_tokens)
{
}

std::uint32_t prefix_cache::match_and_insert(std::string const& prompt,
                                             std::uint32_t tokens)
{
    if (capacity_tokens_ == 0 || prompt.empty() || tokens == 0)
    {
        return 0;
    }
    std::uint64_t hash = 0;
    std::uint32_t matched = 0;
    std::uint64_t covered = 0;
    bool is_prefix_cached = true;
    for (std::size_t first = 0; first < prompt.size(); first += block_bytes)
    {
        std::size_t const end = std::min(first + block_bytes, prompt.size());
        hash = XXH64(prompt.data() + first, end - first, hash);
        std::uint64_t const covered_after = tokens * end / prompt.size();
        auto const block_tokens =
            static_cast<std::uint32_t>(covered_after - covered);
        covered = covered_after;
        is_prefix_cached = is_prefix_cached && by_hash_.contains(hash);
        matched += is_prefix_cached ? block_tokens : 0;
        touch(hash, block_tokens);
    }
    evict();
    return matched;
}

void prefix_cache::clear()
{
    blocks_.clear();
    by_hash_.clear();
    used_tokens_ = 0;
}

void prefix_cache::touch(std::uint64_t hash, std::uint32_t tokens)
{
    auto const found = by_hash_.find(hash);
    if (found != by_hash_.end())
    {
        blocks_.splice(blocks_.begin(), blocks_, found->second);
        return;
    }
    blocks_.push_front({hash, tokens});
    by_hash_.emplace(hash, blocks_.begin());
    used_tokens_ += tokens;
}

void prefix_cache::evict()
{
    while (used_tokens_ > capacity_tokens_)
    {
        block const oldest = blocks_.back();
        blocks_.pop_back();
        by_hash_.erase(oldest.hash_);
        used_tokens_ -= oldest.tokens_;
    }
}

} // namespace auburnlb::fakes
