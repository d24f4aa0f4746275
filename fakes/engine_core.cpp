// State and arithmetic of the fake engine.
#include "engine_core.hpp"

#include <algorithm>
#include <cstdlib>

namespace auburnlb::fakes
{

namespace
{

constexpr char const* crash_mark = "CRASH-ENGINE";
constexpr char const* stop_mark = "STOP-AFTER-";
/// Follows the activation of position 0, so that later stages, which do not
/// see the prompt, learn the answer's length.
constexpr char const* stop_suffix = ";stop-after=";

/// The number after a mark in the text; zero when the mark is absent.
std::uint32_t number_after(std::string const& text, std::string const& mark)
{
    auto const found = text.find(mark);
    if (found == std::string::npos)
    {
        return 0;
    }
    char const* const digits = text.c_str() + found + mark.size();
    return static_cast<std::uint32_t>(std::strtoul(digits, nullptr, 10));
}

std::uint64_t full_batch_positions(fake_engine_options const& options)
{
    return std::max<std::uint64_t>(1, options.max_batch_);
}

double full_batch_rate(fake_engine_options const& options)
{
    auto const positions = full_batch_positions(options);
    double const time_us = static_cast<double>(options.step_time_.count()) +
                           static_cast<double>(options.token_time_.count()) *
                               static_cast<double>(positions);
    return time_us > 0 ? static_cast<double>(positions) * 1e6 / time_us : 1e9;
}

double held_share(fake_engine_options const& options)
{
    if (options.model_layers_ == 0)
    {
        return 1;
    }
    return static_cast<double>(options.layers_.end_ - options.layers_.first_) /
           options.model_layers_;
}

} // namespace

bool is_crashing(engine_step const& step)
{
    return std::any_of(step.inputs_.begin(), step.inputs_.end(),
                       [](std::string const& input)
                       { return input.find(crash_mark) != std::string::npos; });
}

engine_core::engine_core(fake_engine_options const& options)
    : options_(options)
    , prefixes_(options.prefix_tokens_)
{
}

std::uint64_t engine_core::needed_tokens(engine_step const& step) const
{
    std::uint64_t const positions = step.inputs_.size();
    return step.position_ == 0 ? step.prompt_tokens_ + positions - 1
                               : positions;
}

std::string engine_core::check(engine_step const& step) const
{
    if (step.inputs_.empty())
    {
        return "inputs";
    }
    auto const found = streams_.find(step.stream_);
    std::uint32_t const next =
        found == streams_.end() ? 0 : found->second.next_position_;
    if (step.position_ != next)
    {
        return "position";
    }
    if (counts_.kv_used_tokens_ + needed_tokens(step) > options_.kv_tokens_)
    {
        return "full";
    }
    return {};
}

std::uint32_t engine_core::prefill(engine_step const& step)
{
    if (step.position_ != 0)
    {
        return 0;
    }
    std::uint32_t const cached =
        prefixes_.match_and_insert(step.inputs_.front(), step.prompt_tokens_);
    std::uint32_t const computed = step.prompt_tokens_ - cached;
    batch_prefilled_tokens_ += computed;
    counts_.prefilled_tokens_ += computed;
    counts_.cached_tokens_ += cached;
    return cached;
}

std::string engine_core::run_position(stream_state& state,
                                      std::string const& input)
{
    bool const is_first_stage = options_.layers_.first_ == 0;
    bool const is_prompt = state.next_position_ == 0;
    if (is_prompt)
    {
        state.stop_after_ =
            number_after(input, is_first_stage ? stop_mark : stop_suffix);
    }
    std::string output = run_layers(options_.layers_, state.cache_,
                                    is_first_stage ? embed(input) : input);
    if (is_prompt && state.stop_after_ != 0)
    {
        output += stop_suffix + std::to_string(state.stop_after_);
    }
    ++state.next_position_;
    return output;
}

engine_step_result engine_core::run(engine_step const& step)
{
    engine_step_result result;
    result.position_ = step.position_;
    result.stream_ = step.stream_;
    result.failure_ = check(step);
    if (!result.failure_.empty())
    {
        return result;
    }
    result.cached_tokens_ = prefill(step);
    stream_state& state = streams_[step.stream_];
    state.kv_tokens_ += needed_tokens(step);
    counts_.kv_used_tokens_ += needed_tokens(step);
    counts_.streams_ = streams_.size();
    for (std::string const& input : step.inputs_)
    {
        result.outputs_.push_back(run_position(state, input));
    }
    batch_positions_ += step.inputs_.size();
    counts_.positions_ += step.inputs_.size();
    ++counts_.steps_;
    if (step.is_last_stage_)
    {
        std::string const last =
            result.outputs_.back().substr(0, result.outputs_.back().find(';'));
        result.outputs_ = {sample(last)};
        result.is_end_ = state.next_position_ == state.stop_after_;
    }
    return result;
}

void engine_core::release(std::string const& stream)
{
    auto const found = streams_.find(stream);
    if (found == streams_.end())
    {
        return;
    }
    counts_.kv_used_tokens_ -= found->second.kv_tokens_;
    streams_.erase(found);
    counts_.streams_ = streams_.size();
}

bool engine_core::order(layer_range layers, std::uint64_t fencing_number)
{
    if (options_.checks_fencing_ && fencing_number < fencing_number_)
    {
        return false;
    }
    fencing_number_ = std::max(fencing_number_, fencing_number);
    if (layers == options_.layers_)
    {
        return true;
    }
    options_.layers_ = layers;
    streams_.clear();
    prefixes_.clear();
    counts_.kv_used_tokens_ = 0;
    counts_.streams_ = 0;
    return true;
}

microseconds engine_core::take_batch_time()
{
    double const prefill_us =
        static_cast<double>(options_.prefill_time_.count()) *
        static_cast<double>(batch_prefilled_tokens_) * held_share(options_);
    auto const tokens = static_cast<std::int64_t>(batch_positions_);
    auto const time = options_.step_time_ + options_.token_time_ * tokens +
                      microseconds(static_cast<std::int64_t>(prefill_us));
    batch_positions_ = 0;
    batch_prefilled_tokens_ = 0;
    ++counts_.batches_;
    return time;
}

engine_status engine_core::status(std::uint32_t queued) const
{
    engine_status status;
    status.layers_ = options_.layers_;
    status.accelerator_ = options_.accelerator_;
    status.tokens_per_second_ = full_batch_rate(options_);
    status.kv_tokens_ = options_.kv_tokens_;
    status.kv_used_tokens_ = counts_.kv_used_tokens_;
    status.streams_ = static_cast<std::uint32_t>(streams_.size());
    status.queued_ = queued;
    return status;
}

} // namespace auburnlb::fakes
