// Stand-in for a model engine: continuous batching, KV memory, prefix cache.
#ifndef AUBURNLB_FAKES_FAKE_ENGINE_HPP
#define AUBURNLB_FAKES_FAKE_ENGINE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/ids.hpp"

namespace auburnlb::fakes
{

struct fake_engine_options
{
    /// Zero takes a free port.
    std::uint16_t port_ = 0;
    layer_range layers_{0, 4};
    /// Depth of the whole model, of which the held share scales the prefill
    /// time; zero counts the held layers as the whole.
    std::uint32_t model_layers_ = 0;
    std::string accelerator_ = "fake";
    /// Base time of one batch.
    microseconds step_time_{1'000};
    /// Further time of a batch for each position in it.
    microseconds token_time_{50};
    /// Further time for each prompt token that the prefix cache lacks.
    microseconds prefill_time_{20};
    std::uint64_t kv_tokens_ = 1'000'000;
    std::uint64_t prefix_tokens_ = 0;
    /// Whether an order with an old fencing number is refused.
    bool checks_fencing_ = true;
    std::size_t max_batch_ = 32;
    /// Called in place of the crash on a prompt containing "CRASH-ENGINE";
    /// the whole batch is then dropped unanswered. Empty aborts the process.
    std::function<void()> on_crash_;
};

/// Counts since the start.
struct fake_engine_counts
{
    std::uint64_t batches_ = 0;
    /// Steps that ran, without the failed ones.
    std::uint64_t steps_ = 0;
    std::uint64_t positions_ = 0;
    std::uint64_t prefilled_tokens_ = 0;
    std::uint64_t cached_tokens_ = 0;
    std::uint64_t kv_used_tokens_ = 0;
    std::uint64_t streams_ = 0;
};

/// Serves the interface that engine_client speaks, and for tests
/// GET /fake/counts and POST /fake/faults {"slow": factor}.
class fake_engine
{
public:
    /// Throws std::exception when the port is taken.
    explicit fake_engine(fake_engine_options const& options);
    ~fake_engine();

    std::uint16_t port() const;
    std::string base_url() const;
    fake_engine_counts counts() const;
    /// Multiplies the time of every later batch.
    void set_slowness(double factor);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace auburnlb::fakes

#endif
