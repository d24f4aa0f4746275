// Matches cut runs with the ends of endpoints.
#include "auburnlb/coordination/interrupted_runs.hpp"

#include <algorithm>
#include <set>

namespace auburnlb
{

namespace
{

/// How long after or before the cut of a run its endpoint may be found to have
/// ended. Where connections are not refused, the platform's list tells so, once
/// another endpoint has started in its place.
constexpr milliseconds confirmation_time{10'000};

} // namespace

std::optional<endpoint_crash>
record_interrupted_run(interrupted_runs& interrupted,
                       interrupted_runs::run const& run)
{
    if (run.traits_.empty())
    {
        return std::nullopt;
    }
    interrupted.runs_.push_back(run);
    auto const ended = interrupted.ended_at_.find(run.endpoint_run_);
    bool const is_crash = ended != interrupted.ended_at_.end() &&
                          run.at_ - ended->second <= confirmation_time;
    return is_crash ? confirm_crash(interrupted, run.endpoint_run_, run.at_)
                    : std::nullopt;
}

bool has_ended(interrupted_runs const& interrupted,
               std::string const& endpoint_run)
{
    return interrupted.ended_at_.contains(endpoint_run);
}

std::vector<std::string> runs_replaced_by(interrupted_runs const& interrupted,
                                          endpoint_record const& record)
{
    std::set<std::string> runs;
    for (interrupted_runs::run const& each : interrupted.runs_)
    {
        if (each.address_ == record.address_ &&
            each.endpoint_run_ != run_id_of(record))
        {
            runs.insert(each.endpoint_run_);
        }
    }
    return {runs.begin(), runs.end()};
}

std::optional<endpoint_crash> confirm_crash(interrupted_runs& interrupted,
                                            std::string const& endpoint_run,
                                            time_point now)
{
    interrupted.ended_at_.try_emplace(endpoint_run, now);
    endpoint_crash crash{now, {}};
    std::erase_if(interrupted.runs_,
                  [&](interrupted_runs::run const& run)
                  {
                      if (run.endpoint_run_ != endpoint_run)
                      {
                          return false;
                      }
                      if (now - run.at_ <= confirmation_time)
                      {
                          crash.at_ = std::min(crash.at_, run.at_);
                          crash.requests_.insert(run.traits_);
                      }
                      return true;
                  });
    return crash.requests_.empty() ? std::nullopt : std::optional(crash);
}

std::size_t dismiss_runs(interrupted_runs& interrupted,
                         std::string const& endpoint_run, time_point asked_at)
{
    return std::erase_if(
        interrupted.runs_, [&](interrupted_runs::run const& run)
        { return run.endpoint_run_ == endpoint_run && run.at_ <= asked_at; });
}

void record_answer(interrupted_runs& interrupted,
                   std::string const& endpoint_run, time_point asked_at)
{
    for (interrupted_runs::run& run : interrupted.runs_)
    {
        if (run.endpoint_run_ == endpoint_run && run.at_ <= asked_at)
        {
            run.was_answered_ = true;
        }
    }
}

bool is_unresolved(interrupted_runs const& interrupted,
                   request_fingerprint fingerprint)
{
    std::string const trait = request_trait(fingerprint);
    return std::any_of(interrupted.runs_.begin(), interrupted.runs_.end(),
                       [&trait](interrupted_runs::run const& run) {
                           return !run.was_answered_ &&
                                  run.traits_.contains(trait);
                       });
}

bool awaits_confirmation(interrupted_runs const& interrupted,
                         std::string const& endpoint_run, time_point since)
{
    return std::any_of(interrupted.runs_.begin(), interrupted.runs_.end(),
                       [&](interrupted_runs::run const& run) {
                           return run.endpoint_run_ == endpoint_run &&
                                  run.at_ > since;
                       });
}

std::size_t expire_interrupted_runs(interrupted_runs& interrupted,
                                    time_point now)
{
    std::erase_if(interrupted.ended_at_, [now](auto const& entry)
                  { return now - entry.second > confirmation_time; });
    return std::erase_if(interrupted.runs_,
                         [now](interrupted_runs::run const& run)
                         { return now - run.at_ > confirmation_time; });
}

} // namespace auburnlb
