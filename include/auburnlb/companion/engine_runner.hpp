// Sends steps to the engine in batches and releases the KV caches of streams.
#ifndef AUBURNLB_COMPANION_ENGINE_RUNNER_HPP
#define AUBURNLB_COMPANION_ENGINE_RUNNER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/transport/engine_client.hpp"

namespace auburnlb
{

/// A step that was accepted and whose result is pending.
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
    /// Maximum number of steps in one call.
    std::size_t max_batch_size_ = 64;
    /// Maximum number of concurrent calls.
    std::size_t max_calls_ = 16;
    milliseconds max_timeout_{30'000};
};

struct engine_runner_callbacks
{
    std::function<void(pending_step const&, engine_step_result)> on_step_done_;
    /// Called when a whole call failed.
    std::function<void(std::vector<pending_step> const&, error const&)>
        on_call_failed_;
    /// Called after each call, successful or not.
    std::function<void()> on_call_ended_;
    /// Runs a function on the owner's thread.
    std::function<void(std::function<void()>)> post_;
};

/// Sends steps to the engine in batches. All functions and callbacks run on the
/// owner's thread.
class engine_runner
{
public:
    engine_runner(engine_client& engine, clock_source const& clock,
                  engine_runner_options options,
                  engine_runner_callbacks callbacks);

    void submit(pending_step step);
    /// Drops the waiting steps of a stream and releases its KV cache once no
    /// step of it is at the engine.
    void release(request_id const& request, std::uint32_t attempt);
    /// Drops all waiting steps. Called when the engine is lost.
    void drop_waiting();
    /// Sends pending releases and as many waiting steps as the limits allow.
    void send_waiting();

    std::size_t waiting_steps() const { return waiting_steps_.size(); }
    bool is_idle() const
    {
        return calls_in_progress_ == 0 && pending_releases_.empty();
    }
    /// Moving average of the time from acceptance of a step to its result.
    microseconds step_time() const { return step_time_; }

private:
    void send_batch();
    void on_response(std::vector<pending_step> const& batch,
                     result<std::vector<engine_step_result>> response);
    void send_releases();
    /// Releases the streams of a call whose outcome is unknown.
    void release_unanswered(std::vector<pending_step> const& batch);
    void repeat_unanswered_releases(std::vector<std::string> const& streams);
    /// Keeps releases that did not reach the engine for the next attempt.
    void on_released(std::vector<std::string> const& streams, bool is_released);
    milliseconds call_timeout(std::vector<pending_step> const& batch) const;
    void update_step_time(pending_step const& step);

    engine_client& engine_;
    clock_source const& clock_;
    engine_runner_options const options_;
    engine_runner_callbacks const callbacks_;
    std::deque<pending_step> waiting_steps_;
    /// Names of the engine streams of steps at the engine, one for each step.
    std::multiset<std::string> steps_at_engine_;
    std::set<std::string> pending_releases_;
    /// Streams of calls without an answer whose release is to be repeated.
    std::set<std::string> unanswered_streams_;
    /// Releases to repeat, by the time at which they are due.
    std::deque<std::pair<time_point, std::string>> late_releases_;
    std::size_t calls_in_progress_ = 0;
    microseconds step_time_{0};
};

} // namespace auburnlb

#endif
