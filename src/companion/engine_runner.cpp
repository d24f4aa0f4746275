// Batching of steps and the order of releases.
#include "auburnlb/companion/engine_runner.hpp"

#include <algorithm>
#include <utility>

#include "auburnlb/protocol/stage.hpp"

namespace auburnlb
{

namespace
{

/// A call to the engine is given this time, a multiple of what steps take, and
/// more for each position of its batch.
constexpr milliseconds call_time_base{250};
constexpr std::int64_t call_time_factor = 8;
constexpr milliseconds call_time_position{1};

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
    waiting_.push_back(std::move(step));
    pump();
}

void engine_runner::release(request_id const& request, std::uint32_t attempt)
{
    std::erase_if(waiting_,
                  [&](pending_step const& step) {
                      return step.frame_.request_ == request &&
                             step.frame_.attempt_ <= attempt;
                  });
    releases_.insert(engine_stream_name(request, attempt));
}

void engine_runner::clear()
{
    waiting_.clear();
}

void engine_runner::pump()
{
    flush_releases();
    while (!waiting_.empty() && calls_ < options_.calls_)
    {
        run_batch();
    }
}

/// The engine would create a released stream anew for a step that is still on
/// its way to it, so a release waits for the stream's steps.
void engine_runner::flush_releases()
{
    std::vector<std::string> ready;
    for (auto name = releases_.begin(); name != releases_.end();)
    {
        if (running_.contains(*name))
        {
            ++name;
            continue;
        }
        ready.push_back(*name);
        name = releases_.erase(name);
    }
    if (!ready.empty())
    {
        engine_.release(ready, [](result<bool> const&) {});
    }
}

void engine_runner::run_batch()
{
    std::vector<pending_step> batch;
    std::vector<engine_step> steps;
    std::size_t const count = std::min(waiting_.size(), options_.max_batch_);
    for (std::size_t index = 0; index < count; ++index)
    {
        steps.push_back(to_engine_step(waiting_.front()));
        running_.insert(steps.back().stream_);
        batch.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    ++calls_;
    milliseconds const timeout = call_timeout(batch);
    engine_.run(steps, timeout,
                [this, batch = std::move(batch)](
                    result<std::vector<engine_step_result>> outcome) mutable
                {
                    callbacks_.post_([this, batch = std::move(batch),
                                      outcome = std::move(outcome)]() mutable
                                     { on_answer(batch, std::move(outcome)); });
                });
}

/// A call that takes much longer than calls do is taken for lost on its
/// connection: something between may have forgotten it. Only this process sends
/// to the engine, so that its queue is bounded by the calls in progress.
milliseconds
engine_runner::call_timeout(std::vector<pending_step> const& batch) const
{
    std::int64_t positions = 0;
    for (pending_step const& step : batch)
    {
        positions += static_cast<std::int64_t>(step.frame_.inputs_.size());
        positions += step.frame_.position_ == 0 ? step.prompt_tokens_ : 0;
    }
    auto const usual =
        std::chrono::ceil<milliseconds>(step_time_ * call_time_factor);
    return std::min(call_time_base + usual + positions * call_time_position,
                    options_.max_timeout_);
}

void engine_runner::on_answer(std::vector<pending_step> const& batch,
                              result<std::vector<engine_step_result>> outcome)
{
    --calls_;
    for (pending_step const& step : batch)
    {
        running_.erase(running_.find(
            engine_stream_name(step.frame_.request_, step.frame_.attempt_)));
    }
    if (!outcome)
    {
        callbacks_.on_failed_(batch, outcome.error());
    }
    else
    {
        for (std::size_t index = 0; index < batch.size(); ++index)
        {
            note_time(batch[index]);
            callbacks_.on_done_(batch[index],
                                std::move(outcome.value()[index]));
        }
    }
    pump();
    callbacks_.on_answered_();
}

void engine_runner::note_time(pending_step const& step)
{
    auto const taken = std::chrono::duration_cast<microseconds>(
        clock_.now() - step.accepted_at_);
    step_time_ = (step_time_ * 7 + taken) / 8;
}

} // namespace auburnlb
