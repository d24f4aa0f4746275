// State and arithmetic of the fake engine, apart from its threads and HTTP.
#ifndef AUBURNLB_FAKES_ENGINE_CORE_HPP
#define AUBURNLB_FAKES_ENGINE_CORE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "auburnlb/transport/engine_client.hpp"

#include "fake_engine.hpp"
#include "prefix_cache.hpp"
#include "reference_model.hpp"

namespace auburnlb::fakes
{

/// Not thread-safe.
class engine_core
{
public:
    explicit engine_core(fake_engine_options const& options);

    /// Runs one step, or refuses it with a failure and changes nothing.
    engine_step_result run(engine_step const& step);
    void release(std::string const& stream);
    /// False when the fencing number is older than one obeyed before.
    bool order(layer_range layers, std::uint64_t fencing_number);

    /// Time of a batch of the steps run since the last call.
    microseconds take_batch_time();
    engine_status status(std::uint32_t queued) const;
    fake_engine_counts const& counts() const { return counts_; }

private:
    struct stream_state
    {
        layer_cache cache_;
        std::uint32_t next_position_ = 0;
        std::uint64_t kv_tokens_ = 0;
        /// Answer length that the prompt asks for; zero for none.
        std::uint32_t stop_after_ = 0;
    };

    std::string check(engine_step const& step) const;
    std::uint64_t needed_tokens(engine_step const& step) const;
    std::uint32_t prefill(engine_step const& step);
    std::string run_position(stream_state& state, std::string const& input);

    fake_engine_options options_;
    std::map<std::string, stream_state> streams_;
    prefix_cache prefixes_;
    std::uint64_t fencing_number_ = 0;
    fake_engine_counts counts_;
    /// Work since the last batch time was taken.
    std::uint64_t batch_positions_ = 0;
    std::uint64_t batch_prefilled_tokens_ = 0;
};

/// Whether the step holds a prompt that crashes an engine.
bool is_crashing(engine_step const& step);

} // namespace auburnlb::fakes

#endif
