// Sends steps to the engine in batches, and frees its memory in the right
// order.
#ifndef AUBURNLB_COMPANION_ENGINE_RUNNER_HPP
#define AUBURNLB_COMPANION_ENGINE_RUNNER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/transport/engine_client.hpp"

namespace auburnlb
{

/// A step that was accepted and has not been answered by the engine.
struct pending_step
{
    step_frame frame_;
    std::int32_t priority_ = 0;
    std::uint32_t prompt_tokens_ = 0;
    bool is_last_stage_ = false;
    time_point accepted_at_{};
};

struct engine_runner_options
{
    /// Steps in one call at most.
    std::size_t max_batch_ = 64;
    /// Calls in progress at most.
    std::size_t calls_ = 16;
    milliseconds max_timeout_{30'000};
};

struct engine_runner_callbacks
{
    std::function<void(pending_step const&, engine_step_result)> on_done_;
    /// The whole call failed.
    std::function<void(std::vector<pending_step> const&, error const&)>
        on_failed_;
    /// After each answered call.
    std::function<void()> on_answered_;
    /// Runs a function on the owner's thread.
    std::function<void(std::function<void()>)> post_;
};

/// All functions and callbacks run on the owner's thread.
class engine_runner
{
public:
    engine_runner(engine_client& engine, clock_source const& clock,
                  engine_runner_options options,
                  engine_runner_callbacks callbacks);

    void submit(pending_step step);
    /// Frees a stream's KV cache as soon as no step of it is at the engine;
    /// steps that wait are dropped.
    void release(request_id const& request, std::uint32_t attempt);
    /// Drops all steps that wait, because the engine is gone.
    void clear();
    /// Sends what waits, releases included.
    void pump();

    std::size_t waiting() const { return waiting_.size(); }
    bool is_idle() const { return calls_ == 0 && releases_.empty(); }
    /// Mean time from acceptance to result.
    microseconds step_time() const { return step_time_; }

private:
    void run_batch();
    void on_answer(std::vector<pending_step> const& batch,
                   result<std::vector<engine_step_result>> outcome);
    void flush_releases();
    milliseconds call_timeout(std::vector<pending_step> const& batch) const;
    void note_time(pending_step const& step);

    engine_client& engine_;
    clock_source const& clock_;
    engine_runner_options const options_;
    engine_runner_callbacks const callbacks_;
    std::deque<pending_step> waiting_;
    /// Engine streams with a step at the engine, one entry for each step.
    std::multiset<std::string> running_;
    std::set<std::string> releases_;
    std::size_t calls_ = 0;
    microseconds step_time_{0};
};

} // namespace auburnlb

#endif
