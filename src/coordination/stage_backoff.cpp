// Paces the attempts at stages that failed or refused an attempt.
#include "auburnlb/coordination/stage_backoff.hpp"

#include <algorithm>

namespace auburnlb
{

void on_stage_failure(stage_backoff& backoff, std::string const& address,
                      stage_failure failure, time_point begun_at,
                      time_point now)
{
    auto const [entry, is_new] = backoff.stages_.try_emplace(address);
    resting_stage& stage = entry->second;
    if (!is_new && begun_at < stage.failed_at_)
    {
        return;
    }
    stage.failure_ = failure;
    stage.failed_at_ = now;
    stage.progressed_at_ = now;
    stage.wait_ = is_new ? backoff.limits_.min_wait_
                         : std::min(stage.wait_ * 2, backoff.limits_.max_wait_);
    stage.next_attempt_at_ = now + stage.wait_;
}

void on_stage_attempt(stage_backoff& backoff, std::string const& address,
                      time_point now)
{
    auto const found = backoff.stages_.find(address);
    if (found != backoff.stages_.end())
    {
        found->second.next_attempt_at_ = now + found->second.wait_;
    }
}

void on_stage_progress(stage_backoff& backoff, std::string const& address,
                       time_point begun_at)
{
    auto const found = backoff.stages_.find(address);
    if (found == backoff.stages_.end())
    {
        return;
    }
    resting_stage& stage = found->second;
    if (stage.failure_ == stage_failure::engine_failed)
    {
        backoff.stages_.erase(found);
    }
    else if (begun_at > stage.progressed_at_)
    {
        // One more request had room, which does not show room for all.
        stage.progressed_at_ = begun_at;
        stage.wait_ = std::max(stage.wait_ / 2, backoff.limits_.full_wait_);
    }
}

void forget_recovered_stages(stage_backoff& backoff, time_point now)
{
    std::erase_if(
        backoff.stages_, [&](auto const& entry)
        { return now - entry.second.failed_at_ > backoff.limits_.memory_; });
}

void forget_stage(stage_backoff& backoff, std::string const& address)
{
    backoff.stages_.erase(address);
}

std::set<std::string> resting_stages(stage_backoff const& backoff,
                                     time_point now)
{
    std::set<std::string> resting;
    for (auto const& [address, stage] : backoff.stages_)
    {
        if (now < stage.next_attempt_at_)
        {
            resting.insert(address);
        }
    }
    return resting;
}

} // namespace auburnlb
