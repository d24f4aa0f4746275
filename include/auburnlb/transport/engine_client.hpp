// The model engine beside a companion. The only file that knows its interface.
#ifndef AUBURNLB_TRANSPORT_ENGINE_CLIENT_HPP
#define AUBURNLB_TRANSPORT_ENGINE_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "auburnlb/state/error.hpp"
#include "auburnlb/state/fleet.hpp"
#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

/// One step of one stream through the engine's layers.
struct engine_step
{
    /// Names the stream's KV cache in the engine, unique for each attempt.
    std::string stream_;
    /// First position; position 0 is the prompt, position n answer token n-1.
    std::uint32_t position_ = 0;
    /// One activation for each position from the first on. At the model's
    /// first layer: the prompt text and the answer tokens' texts.
    std::vector<std::string> inputs_;
    /// Tokens of the prompt, counted when position 0 is among the inputs.
    std::uint32_t prompt_tokens_ = 0;
    /// Larger is more urgent.
    std::int32_t priority_ = 0;
    /// Whether the layer range ends the model and a token is wanted.
    bool is_last_stage_ = false;
};

struct engine_step_result
{
    std::string stream_;
    /// Empty when the step ran; otherwise the engine's reason, such as "full".
    std::string failure_;
    /// One activation for each input; on the last stage one token text, for
    /// the last position only.
    std::vector<std::string> outputs_;
    /// Whether the token ends the answer.
    bool is_end_ = false;
    /// Prompt tokens found in the prefix cache.
    std::uint32_t cached_tokens_ = 0;
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

    /// Runs a batch; results come in the order of the steps.
    void run(std::vector<engine_step> const& steps, milliseconds timeout,
             handler<std::vector<engine_step_result>> handler);
    /// Frees the KV cache of streams.
    void release(std::vector<std::string> const& streams,
                 handler<bool> handler);
    void status(handler<engine_status> handler);
    /// Orders the engine to hold a layer range, with a fencing number.
    void order_layers(layer_range layers, std::uint64_t fencing_number,
                      handler<bool> handler);

private:
    http_client& http_;
    std::string base_url_;
};

} // namespace auburnlb

#endif
