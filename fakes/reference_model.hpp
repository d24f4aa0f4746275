// The arithmetic that fake engines run and that tests recompute. A skipped,
// repeated or crossed layer, or a lost position, changes every later token.
#ifndef AUBURNLB_FAKES_REFERENCE_MODEL_HPP
#define AUBURNLB_FAKES_REFERENCE_MODEL_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "auburnlb/state/ids.hpp"

namespace auburnlb::fakes
{

/// KV cache of one stream at one engine: a rolling hash for each layer held.
struct layer_cache
{
    std::vector<std::uint64_t> rolling_;

    bool operator==(layer_cache const&) const = default;
};

/// Embeds a text (the prompt, or one answer token) for the first layer.
std::string embed(std::string const& text);

/// Runs one position through the layers and updates the cache, which is empty
/// before the first position. The activation is 16 hexadecimal digits.
std::string run_layers(layer_range layers, layer_cache& cache,
                       std::string const& activation);

/// The token that an activation after the last layer stands for, such as
/// "t3fa9 " (with the trailing blank).
std::string sample(std::string const& activation);

/// The whole answer of a model with the given depth.
std::string expected_answer(std::string const& prompt, std::uint32_t layers,
                            std::uint32_t tokens);

/// The prompt text that the system hands to the first stage for one user
/// message: "user: <content>\n".
std::string render_user_prompt(std::string const& content);

} // namespace auburnlb::fakes

#endif
