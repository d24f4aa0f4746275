// Performance and memory figures of a model and of its accelerators.
#ifndef AUBURNLB_STATE_MODEL_PROFILE_HPP
#define AUBURNLB_STATE_MODEL_PROFILE_HPP

#include <cstdint>
#include <map>
#include <string>

namespace auburnlb
{

/// One kind of accelerator.
struct accelerator_profile
{
    /// Memory for weights and KV cache, in MB (1e6 bytes).
    double memory_mb_ = 0;
    /// Multiplier of the decoding step time.
    double step_factor_ = 1;
    /// Multiplier of all other times, mainly prefill.
    double prefill_factor_ = 1;

    bool operator==(accelerator_profile const&) const = default;
};

/// A model whose layers are distributed over engines. Times are for all layers;
/// an engine that holds some of the layers needs a proportional part of them.
struct model_profile
{
    std::string name_;
    std::uint32_t layers_ = 1;
    /// Weights of one layer, in MB.
    double layer_mb_ = 0;
    /// KV cache of one token over all layers, in bytes.
    double kv_bytes_per_token_ = 0;
    /// Activations sent between two engines for each token, in bytes.
    double activation_bytes_per_token_ = 0;
    /// Bandwidth between two data centres, shared by all traffic, in Mbit/s.
    double data_centre_link_mbps_ = 0;
    /// Base time of a decoding step, and the additional time for each request
    /// in its batch, in ms.
    double step_ms_ = 0;
    double step_ms_per_request_ = 0;
    /// Additional time of a step for each 1,000 tokens of context, in ms.
    double step_ms_per_1k_context_ = 0;
    double prefill_tokens_per_s_ = 1;
    /// Maximum number of prompt tokens that are prefilled in a decoding step;
    /// 0 if it is not known.
    double prefill_tokens_per_step_ = 0;
    /// Decoding steps for each event of a stream.
    std::uint32_t steps_per_event_ = 1;
    /// Time to load all layers, in seconds.
    double load_s_ = 0;
    /// Number of concurrent loads that run at full speed.
    std::uint32_t parallel_loads_ = 1;
    /// Maximum number of requests in one batch of an engine.
    std::uint32_t batch_slots_ = 1;
    /// Mean number of tokens in a prompt and in the generated output.
    double mean_prompt_tokens_ = 0;
    double mean_output_tokens_ = 0;
    std::map<std::string, accelerator_profile> accelerators_;

    bool operator==(model_profile const&) const = default;
};

/// Returns the maximum number of layers that fit into the accelerator's memory.
std::uint32_t max_layers(model_profile const& model,
                         accelerator_profile const& accelerator);

/// Returns how many tokens fit into the KV cache of an accelerator that holds
/// the given number of layers. Zero if layers is zero or no memory is left.
double kv_capacity_tokens(model_profile const& model,
                          accelerator_profile const& accelerator,
                          std::uint32_t layers);

} // namespace auburnlb

#endif
