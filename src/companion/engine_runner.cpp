// Implementation of engine_runner: batches of steps, timeouts and releases.
#include "auburnlb/companion/engine_runner.hpp"

#include <algorithm>
#include <utility>

#include "auburnlb/protocol/stage.hpp"

namespace auburnlb
{

namespace
{

/// Timeout of a call to the engine: a base, a multiple of the mean step time,
/// and an addition for each position of the batch.
constexpr milliseconds timeout_base{250};
constexpr std::int64_t timeout_step_time_factor = 8;
constexpr milliseconds timeout_per_position{1};

/// A call without an answer may still be run after the release of its streams,
/// which is repeated after this time.
constexpr milliseconds late_release_delay{1'000};

/// Limit of releases that are repeated while the engine is out of reach.
constexpr std::size_t max_pending_releases = 4'096;

engine_step to_engine_step(pending_step const& step)
{
    engine_step result;
    result.stream_ =
        engine_stream_name(step.frame_.request_, step.frame_.attempt_);
    result.position_ = step.frame_.position_;
    result.inputs_ = step.frame_.inputs_;
    result.prompt_tokens_ = step.prompt_tokens_;
    result.priority_ = step.priority_;
    result.is_last_stage_ = step.is_last_stage_;
    return result;
}

} // namespace

engine_runner::engine_runner(engine_client& engine, clock_source const& clock,
                             engine_runner_options options,
                             engine_runner_callbacks callbacks)
    : engine_(engine)
    , clock_(clock)
    , options_(options)
    , callbacks_(std::move(callbacks))
{
}

void engine_runner::submit(pending_step step)
{
    waiting_steps_.push_back(std::move(step));
    send_waiting();
}

void engine_runner::release(request_id const& request, std::uint32_t attempt)
{
    std::erase_if(waiting_steps_,
                  [&](pending_step const& step) {
                      return step.frame_.request_ == request &&
                             step.frame_.attempt_ <= attempt;
                  });
    pending_releases_.insert(engine_stream_name(request, attempt));
}

void engine_runner::drop_waiting()
{
    waiting_steps_.clear();
}

void engine_runner::send_waiting()
{
    send_releases();
    while (!waiting_steps_.empty() && calls_in_progress_ < options_.max_calls_)
    {
        send_batch();
    }
}

/// Sends the releases of streams without a step at the engine. A release that
/// overtakes a step would let the engine create the stream again.
void engine_runner::send_releases()
{
    while (!late_releases_.empty() &&
           late_releases_.front().first <= clock_.now())
    {
        pending_releases_.insert(std::move(late_releases_.front().second));
        late_releases_.pop_front();
    }
    std::vector<std::string> ready;
    for (auto name = pending_releases_.begin();
         name != pending_releases_.end();)
    {
        if (steps_at_engine_.contains(*name))
        {
            ++name;
            continue;
        }
        ready.push_back(*name);
        name = pending_releases_.erase(name);
    }
    if (ready.empty())
    {
        return;
    }
    engine_.release(ready,
                    [this, ready](result<bool> const& response)
                    {
                        bool const is_released = response.has_value();
                        callbacks_.post_([this, ready, is_released]
                                         { on_released(ready, is_released); });
                    });
}

void engine_runner::release_unanswered(std::vector<pending_step> const& batch)
{
    for (pending_step const& step : batch)
    {
        std::string const name =
            engine_stream_name(step.frame_.request_, step.frame_.attempt_);
        pending_releases_.insert(name);
        unanswered_streams_.insert(name);
    }
}

void engine_runner::on_released(std::vector<std::string> const& streams,
                                bool is_released)
{
    if (is_released)
    {
        repeat_unanswered_releases(streams);
        return;
    }
    // An engine that was out of reach still holds the KV cache.
    for (std::string const& name : streams)
    {
        if (pending_releases_.size() < max_pending_releases)
        {
            pending_releases_.insert(name);
        }
        else
        {
            unanswered_streams_.erase(name);
        }
    }
}

void engine_runner::repeat_unanswered_releases(
    std::vector<std::string> const& streams)
{
    time_point const due = clock_.now() + late_release_delay;
    for (std::string const& name : streams)
    {
        if (unanswered_streams_.erase(name) > 0)
        {
            late_releases_.emplace_back(due, name);
        }
    }
}

void engine_runner::send_batch()
{
    std::vector<pending_step> batch;
    std::vector<engine_step> steps;
    std::size_t const count =
        std::min(waiting_steps_.size(), options_.max_batch_size_);
    for (std::size_t index = 0; index < count; ++index)
    {
        steps.push_back(to_engine_step(waiting_steps_.front()));
        steps_at_engine_.insert(steps.back().stream_);
        batch.push_back(std::move(waiting_steps_.front()));
        waiting_steps_.pop_front();
    }
    ++calls_in_progress_;
    milliseconds const timeout = call_timeout(batch);
    engine_.run(steps, timeout,
                [this, batch = std::move(batch)](
                    result<std::vector<engine_step_result>> response) mutable
                {
                    callbacks_.post_(
                        [this, batch = std::move(batch),
                         response = std::move(response)]() mutable
                        { on_response(batch, std::move(response)); });
                });
}

/// Returns the timeout of a call. A call that takes much longer than usual is
/// treated as lost, because a device on the path may have dropped its
/// connection. Only this process sends to the engine, so the engine's queue is
/// bounded by the calls in progress.
milliseconds
engine_runner::call_timeout(std::vector<pending_step> const& batch) const
{
    std::int64_t positions = 0;
    for (pending_step const& step : batch)
    {
        positions += static_cast<std::int64_t>(step.frame_.inputs_.size());
        positions += step.frame_.position_ == 0 ? step.prompt_tokens_ : 0;
    }
    auto const expected =
        std::chrono::ceil<milliseconds>(step_time_ * timeout_step_time_factor);
    return std::min(timeout_base + expected + positions * timeout_per_position,
                    options_.max_timeout_);
}

void engine_runner::on_response(
    std::vector<pending_step> const& batch,
    result<std::vector<engine_step_result>> response)
{
    --calls_in_progress_;
    for (pending_step const& step : batch)
    {
        steps_at_engine_.erase(steps_at_engine_.find(
            engine_stream_name(step.frame_.request_, step.frame_.attempt_)));
    }
    if (!response)
    {
        release_unanswered(batch);
        callbacks_.on_call_failed_(batch, response.error());
    }
    else
    {
        for (std::size_t index = 0; index < batch.size(); ++index)
        {
            update_step_time(batch[index]);
            callbacks_.on_step_done_(batch[index],
                                     std::move(response.value()[index]));
        }
    }
    send_waiting();
    callbacks_.on_call_ended_();
}

void engine_runner::update_step_time(pending_step const& step)
{
    auto const elapsed = std::chrono::duration_cast<microseconds>(
        clock_.now() - step.accepted_at_);
    step_time_ = (step_time_ * 7 + elapsed) / 8;
}

} // namespace auburnlb
