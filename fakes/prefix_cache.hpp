// Prefix cache of the fake engine, in blocks, with the oldest evicted first.
#ifndef AUBURNLB_FAKES_PREFIX_CACHE_HPP
#define AUBURNLB_FAKES_PREFIX_CACHE_HPP

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace auburnlb::fakes
{

/// Not thread-safe.
class prefix_cache
{
public:
    /// Zero tokens of capacity switch the cache off.
    explicit prefix_cache(std::uint64_t capacity_tokens);

    /// Counts the tokens of the prompt's longest cached prefix, then keeps the
    /// whole prompt. The tokens are taken as spread evenly over the text.
    std::uint32_t match_and_insert(std::string const& prompt,
                                   std::uint32_t tokens);
    void clear();

private:
    struct block
    {
        std::uint64_t hash_ = 0;
        std::uint32_t tokens_ = 0;
    };

    void touch(std::uint64_t hash, std::uint32_t tokens);
    void evict();

    std::uint64_t capacity_tokens_;
    /// Invariant: the sum of tokens_ over blocks_.
    std::uint64_t used_tokens_ = 0;
    /// Most recently used first.
    std::list<block> blocks_;
    std::unordered_map<std::uint64_t, std::list<block>::iterator> by_hash_;
};

} // namespace auburnlb::fakes

#endif
