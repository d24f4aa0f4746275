// Hash-based stand-in for a model's arithmetic.
#include "reference_model.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>

#include <xxhash.h>

namespace auburnlb::fakes
{

namespace
{

std::string to_hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(value));
    return {text.data(), 16};
}

std::uint64_t hash_text(std::string const& text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t mix(std::uint64_t first, std::uint64_t second, std::uint64_t seed)
{
    std::array<std::uint64_t, 2> const words{first, second};
    return XXH64(words.data(), sizeof words, seed);
}

} // namespace

std::string embed(std::string const& text)
{
    return to_hex(hash_text(text, 7));
}

std::string run_layers(layer_range layers, layer_cache& cache,
                       std::string const& activation)
{
    cache.rolling_.resize(layers.end_ - layers.first_);
    std::uint64_t hidden = std::strtoull(activation.c_str(), nullptr, 16);
    for (std::uint32_t layer = layers.first_; layer < layers.end_; ++layer)
    {
        std::uint64_t& rolling = cache.rolling_[layer - layers.first_];
        rolling = mix(rolling, hidden, layer);
        hidden = mix(hidden, rolling, layer + 1'000'000);
    }
    return to_hex(hidden);
}

std::string sample(std::string const& activation)
{
    return "t" + to_hex(hash_text(activation, 3)).substr(0, 4) + " ";
}

std::string expected_answer(std::string const& prompt, std::uint32_t layers,
                            std::uint32_t tokens)
{
    std::string answer;
    layer_cache cache;
    std::string input = prompt;
    for (std::uint32_t index = 0; index < tokens; ++index)
    {
        input = sample(run_layers({0, layers}, cache, embed(input)));
        answer += input;
    }
    return answer;
}

std::string render_user_prompt(std::string const& content)
{
    return "user: " + content + "\n";
}

} // namespace auburnlb::fakes
