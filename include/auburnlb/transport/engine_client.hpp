// Client of a companion's model engine. No other file depends on the engine's
// API.
#ifndef AUBURNLB_TRANSPORT_ENGINE_CLIENT_HPP
#define AUBURNLB_TRANSPORT_ENGINE_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/state/error.hpp"
#include "auburnlb/state/fleet.hpp"
#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

/// One step of a stream through the engine's layers.
struct engine_step
{
    /// Identifies the stream's KV cache in the engine; unique for each attempt.
    std::string stream_;
    /// First position. Position 0 is the prompt, position n output token n-1.
    std::uint32_t position_ = 0;
    /// One activation for each position, starting at position_. At the model's
    /// first layer: the prompt text and the texts of the output tokens.
    std::vector<std::string> inputs_;
    /// Number of prompt tokens; used if position 0 is among the inputs.
    std::uint32_t prompt_tokens_ = 0;
    /// Larger values are more urgent.
    std::int32_t priority_ = 0;
    /// Whether the layer range ends with the model's last layer, so that the
    /// step returns a token.
    bool is_last_stage_ = false;
};

struct engine_step_result
{
    std::string stream_;
    /// Empty if the step ran; otherwise the engine's reason, such as "full".
    std::string failure_;
    /// One activation for each input; on the last stage, one token text for the
    /// last position.
    std::vector<std::string> outputs_;
    /// Whether the token ends the answer.
    bool is_end_ = false;
    /// Prompt tokens found in the prefix cache.
    std::uint32_t cached_tokens_ = 0;
    /// First position of the step; unset if the engine does not name it.
    std::optional<std::uint32_t> position_ = std::nullopt;
};

struct engine_status
{
    layer_range layers_;
    std::string accelerator_;
    double tokens_per_second_ = 0;
    std::uint64_t kv_tokens_ = 0;
    std::uint64_t kv_used_tokens_ = 0;
    std::uint32_t streams_ = 0;
    std::uint32_t queued_ = 0;
};

class engine_client
{
public:
    template <class Value>
    using handler = std::function<void(result<Value>)>;

    engine_client(http_client& http, std::string base_url);

    /// Runs a batch of steps. The results are in the order of the steps.
    void run(std::vector<engine_step> const& steps, milliseconds timeout,
             handler<std::vector<engine_step_result>> handler);
    /// Frees the KV caches of streams.
    void release(std::vector<std::string> const& streams,
                 handler<bool> handler);
    void status(handler<engine_status> handler);
    /// Assigns a layer range to the engine. An engine that checks fencing
    /// numbers returns error_code::conflict if the number is lower than a
    /// previous one.
    void assign_layers(layer_range layers, std::uint64_t fencing_number,
                       handler<bool> handler);

private:
    http_client& http_;
    std::string base_url_;
};

} // namespace auburnlb

#endif
