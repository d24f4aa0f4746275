// Counts the endpoints that were lost while they ran a request.
#include "auburnlb/coordination/crash_suspicion.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

bool is_current(crash_suspect const& suspect, time_point now)
{
    return suspect.crashes_ > 0 && now < suspect.expires_;
}

time_point expiry_of(crash_suspicion const& state, std::uint32_t crashes,
                     time_point now)
{
    return now + (crashes >= max_crashes ? state.refused_lifetime_
                                         : state.suspect_lifetime_);
}

/// Clears a suspect unless it is refused already. Returns the update to send to
/// the other entries.
suspicion_update clear(crash_suspicion& state, request_fingerprint fingerprint)
{
    auto const suspect = state.suspects_.find(fingerprint);
    if (suspect == state.suspects_.end() ||
        suspect->second.crashes_ >= max_crashes)
    {
        return {};
    }
    state.suspects_.erase(suspect);
    return {{{fingerprint, 0}}};
}

void add_crash(crash_suspicion& state, tracked_run const& run, time_point now)
{
    crash_suspect& suspect = state.suspects_[run.fingerprint_];
    suspect.crashes_ = is_current(suspect, now) ? suspect.crashes_ + 1 : 1;
    suspect.had_no_output_ = run.index_ == run.first_index_;
    suspect.crash_index_ = std::max(suspect.crash_index_, run.index_);
    suspect.expires_ = expiry_of(state, suspect.crashes_, now);
}

} // namespace

run_permission may_run(crash_suspicion const& state,
                       request_fingerprint fingerprint, time_point now)
{
    auto const suspect = state.suspects_.find(fingerprint);
    if (suspect == state.suspects_.end() || !is_current(suspect->second, now))
    {
        return run_permission::allow;
    }
    if (suspect->second.crashes_ >= max_crashes)
    {
        return run_permission::refuse;
    }
    return suspect->second.had_no_output_ ? run_permission::allow_isolated
                                          : run_permission::allow;
}

bool is_suspect(crash_suspicion const& state, request_fingerprint fingerprint,
                time_point now)
{
    auto const suspect = state.suspects_.find(fingerprint);
    return suspect != state.suspects_.end() && is_current(suspect->second, now);
}

std::set<std::string> isolated_endpoints(crash_suspicion const& state,
                                         time_point now)
{
    std::set<std::string> endpoints;
    if (state.suspects_.empty())
    {
        return endpoints;
    }
    for (auto const& [request, run] : state.runs_)
    {
        auto const suspect = state.suspects_.find(run.fingerprint_);
        if (suspect != state.suspects_.end() &&
            suspect->second.had_no_output_ && is_current(suspect->second, now))
        {
            endpoints.insert(run.endpoints_.begin(), run.endpoints_.end());
        }
    }
    return endpoints;
}

std::set<std::string> endpoints_running_suspects(crash_suspicion const& state,
                                                 time_point now)
{
    std::set<std::string> endpoints;
    for (auto const& [request, run] : state.runs_)
    {
        auto const suspect = state.suspects_.find(run.fingerprint_);
        if (suspect != state.suspects_.end() &&
            is_current(suspect->second, now))
        {
            endpoints.insert(run.endpoints_.begin(), run.endpoints_.end());
        }
    }
    return endpoints;
}

void record_run(crash_suspicion& state, request_id const& request,
                request_fingerprint fingerprint,
                std::vector<std::string> const& endpoints,
                std::uint32_t first_index)
{
    tracked_run& run = state.runs_[request];
    run.fingerprint_ = fingerprint;
    run.endpoints_ = {endpoints.begin(), endpoints.end()};
    run.index_ = first_index;
    run.first_index_ = first_index;
    run.is_crash_counted_ = false;
}

suspicion_update on_progress(crash_suspicion& state, request_id const& request,
                             std::uint32_t index)
{
    auto const run = state.runs_.find(request);
    if (run == state.runs_.end())
    {
        return {};
    }
    run->second.index_ = std::max(run->second.index_, index + 1);
    auto const suspect = state.suspects_.find(run->second.fingerprint_);
    if (suspect == state.suspects_.end() ||
        index <= suspect->second.crash_index_)
    {
        return {};
    }
    return clear(state, run->second.fingerprint_);
}

suspicion_update on_run_end(crash_suspicion& state, request_id const& request,
                            bool is_complete)
{
    auto const run = state.runs_.find(request);
    if (run == state.runs_.end())
    {
        return {};
    }
    request_fingerprint const fingerprint = run->second.fingerprint_;
    state.runs_.erase(run);
    return is_complete ? clear(state, fingerprint) : suspicion_update{};
}

suspicion_update on_endpoint_lost(crash_suspicion& state,
                                  std::string const& address, time_point now)
{
    suspicion_update update;
    for (auto& [request, run] : state.runs_)
    {
        if (run.endpoints_.erase(address) == 0 || run.is_crash_counted_)
        {
            continue;
        }
        // A frame reaches a stage only after the previous stage has run it, so
        // one attempt crashes at most one endpoint. If an attempt loses two
        // endpoints, both were lost for another, common reason.
        run.is_crash_counted_ = true;
        // Two runs of one request at one lost endpoint also count as one
        // crash.
        if (!update.crashes_.contains(run.fingerprint_))
        {
            add_crash(state, run, now);
        }
        update.crashes_[run.fingerprint_] =
            state.suspects_[run.fingerprint_].crashes_;
    }
    return update;
}

void merge_suspicion(crash_suspicion& state, suspicion_update const& update,
                     time_point now)
{
    for (auto const& [fingerprint, crashes] : update.crashes_)
    {
        if (crashes == 0)
        {
            clear(state, fingerprint);
            continue;
        }
        crash_suspect& suspect = state.suspects_[fingerprint];
        std::uint32_t const known =
            is_current(suspect, now) ? suspect.crashes_ : 0;
        if (crashes <= known)
        {
            continue;
        }
        suspect.crashes_ = crashes;
        suspect.had_no_output_ = true;
        suspect.expires_ = expiry_of(state, crashes, now);
    }
}

suspicion_update current_suspicions(crash_suspicion const& state,
                                    time_point now)
{
    suspicion_update update;
    for (auto const& [fingerprint, suspect] : state.suspects_)
    {
        if (is_current(suspect, now))
        {
            update.crashes_[fingerprint] = suspect.crashes_;
        }
    }
    return update;
}

void expire_suspicions(crash_suspicion& state, time_point now)
{
    std::erase_if(state.suspects_, [&](auto const& entry)
                  { return !is_current(entry.second, now); });
    while (state.suspects_.size() > state.max_suspects_)
    {
        auto const oldest = std::min_element(
            state.suspects_.begin(), state.suspects_.end(),
            [](auto const& left, auto const& right)
            { return left.second.expires_ < right.second.expires_; });
        state.suspects_.erase(oldest);
    }
}

} // namespace auburnlb
