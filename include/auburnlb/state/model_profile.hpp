// The figures of a model and of the engines that run it.
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
    /// Factor of the time of a decoding step.
    double step_factor_ = 1;
    /// Factor of the time of everything else, prefill above all.
    double prefill_factor_ = 1;

    bool operator==(accelerator_profile const&) const = default;
};

/// A model that is split by layers, and what its engines need for the whole of
/// it. An engine that holds a part of the layers needs that part of the times.
struct model_profile
{
    std::string name_;
    std::uint32_t layers_ = 1;
    /// Weights of one layer, in MB.
    double layer_mb_ = 0;
    /// KV cache of one token over all layers, in bytes.
    double kv_bytes_per_token_ = 0;
    /// Activations of one token between two engines, in bytes.
    double activation_bytes_per_token_ = 0;
    /// Bandwidth between two data centres, shared by all, in Mbit/s.
    double data_centre_link_mbps_ = 0;
    /// Time of a decoding step, in ms, and what each request in it adds.
    double step_ms_ = 0;
    double step_ms_per_request_ = 0;
    /// What 1,000 tokens of context add to a step, in ms.
    double step_ms_per_1k_context_ = 0;
    double prefill_tokens_per_s_ = 1;
    /// Steps between two events of a stream.
    std::uint32_t steps_per_event_ = 1;
    /// Time to load all layers, in seconds.
    double load_s_ = 0;
    /// Loads that run at full speed at the same time.
    std::uint32_t parallel_loads_ = 1;
    /// Requests that an engine takes in one batch.
    std::uint32_t batch_slots_ = 1;
    /// Mean tokens of a prompt and of an answer.
    double mean_prompt_tokens_ = 0;
    double mean_output_tokens_ = 0;
    std::map<std::string, accelerator_profile> accelerators_;

    bool operator==(model_profile const&) const = default;
};

/// The most layers that the accelerator's memory can hold.
std::uint32_t max_layers(model_profile const& model,
                         accelerator_profile const& accelerator);

/// Tokens of KV cache that fit beside this many layers, at these layers.
double kv_capacity_tokens(model_profile const& model,
                          accelerator_profile const& accelerator,
                          std::uint32_t layers);

} // namespace auburnlb

#endif
