// Counts crashes by the parts of prompts and blames the fewest parts that
// explain them.
#include "auburnlb/coordination/prompt_suspicion.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace auburnlb
{

namespace
{

/// How long a crash or a success is remembered.
constexpr seconds memory{600};
/// How long after or before the cut of a run its endpoint may be found lost.
constexpr milliseconds confirmation_time{1'000};
/// Crashes that are this close together may have another cause in common, such
/// as a lost link, so they count as one.
constexpr milliseconds common_cause_time{50};
constexpr std::size_t max_crashes_kept = 128;
constexpr std::size_t max_successes_kept = 4'096;
constexpr std::size_t max_part_id_length = 64;

using crash_list = std::vector<prompt_crash const*>;

time_point last_success(prompt_suspicion const& state, std::string const& part)
{
    auto const found = state.successes_.find(part);
    return found == state.successes_.end() ? time_point::min() : found->second;
}

bool contains_all(prompt_parts const& prompt, prompt_parts const& parts)
{
    return std::includes(prompt.begin(), prompt.end(), parts.begin(),
                         parts.end());
}

prompt_parts all_parts(prompt_crash const& crash)
{
    prompt_parts parts;
    for (prompt_parts const& prompt : crash.prompts_)
    {
        parts.insert(prompt.begin(), prompt.end());
    }
    return parts;
}

/// Returns the crashes since the part's last success.
crash_list crashes_with(prompt_suspicion const& state,
                        crash_list const& crashes, std::string const& part)
{
    crash_list found;
    time_point const success = last_success(state, part);
    for (prompt_crash const* const each : crashes)
    {
        if (each->at_ > success && all_parts(*each).contains(part))
        {
            found.push_back(each);
        }
    }
    return found;
}

/// Counts crashes with a common cause once.
std::size_t count_moments(crash_list const& crashes)
{
    std::vector<time_point> times;
    for (prompt_crash const* const each : crashes)
    {
        times.push_back(each->at_);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    time_point counted{};
    for (time_point const at : times)
    {
        if (count == 0 || at - counted > common_cause_time)
        {
            ++count;
            counted = at;
        }
    }
    return count;
}

/// Returns the parts that all prompts with this part have in common. Only
/// together are they known to crash endpoints.
prompt_parts common_parts(crash_list const& crashes, std::string const& part)
{
    std::optional<prompt_parts> common;
    for (prompt_crash const* const crash : crashes)
    {
        for (prompt_parts const& prompt : crash->prompts_)
        {
            if (!prompt.contains(part))
            {
                continue;
            }
            prompt_parts both;
            prompt_parts const& known = common ? *common : prompt;
            std::set_intersection(prompt.begin(), prompt.end(), known.begin(),
                                  known.end(), std::inserter(both, both.end()));
            common = std::move(both);
        }
    }
    return common.value_or(prompt_parts{});
}

prompt_parts parts_of(crash_list const& crashes)
{
    prompt_parts parts;
    for (prompt_crash const* const each : crashes)
    {
        parts.merge(all_parts(*each));
    }
    return parts;
}

/// Returns the number of different prompts with the part.
std::size_t count_prompts(crash_list const& crashes, std::string const& part)
{
    std::set<prompt_parts> prompts;
    for (prompt_crash const* const crash : crashes)
    {
        std::copy_if(crash->prompts_.begin(), crash->prompts_.end(),
                     std::inserter(prompts, prompts.end()),
                     [&part](prompt_parts const& prompt)
                     { return prompt.contains(part); });
    }
    return prompts.size();
}

/// Returns the part to blame next: one that has never gone well before one that
/// has, then the one with the most crashes, then the one in the fewest prompts.
/// Empty if none has enough.
std::string most_suspect(prompt_suspicion const& state,
                         crash_list const& crashes)
{
    std::string worst;
    std::tuple<bool, std::size_t, std::size_t> worst_rank;
    for (std::string const& part : parts_of(crashes))
    {
        crash_list const own = crashes_with(state, crashes, part);
        std::size_t const count = count_moments(own);
        constexpr std::size_t most_prompts =
            std::numeric_limits<std::size_t>::max();
        std::tuple const rank(!state.successes_.contains(part), count,
                              most_prompts - count_prompts(own, part));
        if (count >= refused_part_crashes && rank > worst_rank)
        {
            worst = part;
            worst_rank = rank;
        }
    }
    return worst;
}

bool is_explained(prompt_crash const& crash, prompt_parts const& parts)
{
    return std::any_of(crash.prompts_.begin(), crash.prompts_.end(),
                       [&parts](prompt_parts const& prompt)
                       { return contains_all(prompt, parts); });
}

/// Blames parts until no crash is left unexplained, so that a sound part is not
/// blamed for standing beside a crashing one.
void evaluate(prompt_suspicion& state)
{
    state.refused_.clear();
    crash_list crashes;
    for (auto const& [run, crash] : state.crashes_)
    {
        crashes.push_back(&crash);
    }
    for (std::string part = most_suspect(state, crashes); !part.empty();
         part = most_suspect(state, crashes))
    {
        prompt_parts const blamed =
            common_parts(crashes_with(state, crashes, part), part);
        state.refused_.push_back(blamed);
        std::erase_if(crashes, [&blamed](prompt_crash const* each)
                      { return is_explained(*each, blamed); });
    }
}

template <class Map, class TimeOf>
void drop_oldest(Map& map, std::size_t limit, TimeOf time_of)
{
    while (map.size() > limit)
    {
        map.erase(std::min_element(map.begin(), map.end(),
                                   [&](auto const& left, auto const& right)
                                   { return time_of(left) < time_of(right); }));
    }
}

time_point
time_of_crash(std::pair<std::string const, prompt_crash> const& entry)
{
    return entry.second.at_;
}

time_point
time_of_success(std::pair<std::string const, time_point> const& entry)
{
    return entry.second;
}

/// Returns whether anything was new. A crash keeps its earliest time.
bool add_crash(prompt_suspicion& state, std::string const& endpoint_run,
               prompt_crash const& crash)
{
    auto const [entry, is_new] =
        state.crashes_.try_emplace(endpoint_run, prompt_crash{crash.at_, {}});
    std::size_t const known = entry->second.prompts_.size();
    entry->second.prompts_.insert(crash.prompts_.begin(), crash.prompts_.end());
    entry->second.at_ = std::min(entry->second.at_, crash.at_);
    bool const is_changed = is_new || entry->second.prompts_.size() > known;
    drop_oldest(state.crashes_, max_crashes_kept, time_of_crash);
    return is_changed;
}

/// Returns whether the success clears the part of a crash.
bool add_success(prompt_suspicion& state, std::string const& part,
                 time_point at)
{
    time_point const previous = last_success(state, part);
    if (at <= previous)
    {
        return false;
    }
    bool const is_clearing =
        std::any_of(state.crashes_.begin(), state.crashes_.end(),
                    [&](auto const& entry)
                    {
                        return entry.second.at_ > previous &&
                               entry.second.at_ < at &&
                               all_parts(entry.second).contains(part);
                    });
    state.successes_[part] = at;
    return is_clearing;
}

void on_changed(prompt_suspicion& state)
{
    ++state.revision_;
    evaluate(state);
}

} // namespace

prompt_parts make_prompt_parts(std::string const& service,
                               std::vector<std::string> const& ids)
{
    prompt_parts parts;
    for (std::string const& id : ids)
    {
        if (!id.empty() && id.size() <= max_part_id_length)
        {
            std::string part = service;
            part += '/';
            part += id;
            parts.insert(std::move(part));
        }
    }
    return parts;
}

std::string to_string(prompt_parts const& parts)
{
    std::string text;
    for (std::string const& part : parts)
    {
        text += text.empty() ? part : "," + part;
    }
    return text;
}

std::string endpoint_run_id(std::string const& endpoint_id,
                            std::uint64_t started_ms)
{
    return endpoint_id + "@" + std::to_string(started_ms);
}

bool record_interrupted_prompt(prompt_suspicion& state,
                               interrupted_prompts& interrupted,
                               std::string const& endpoint_run,
                               prompt_parts const& parts, time_point now)
{
    if (parts.empty())
    {
        return false;
    }
    interrupted.runs_.push_back({endpoint_run, parts, now});
    auto const lost = interrupted.lost_.find(endpoint_run);
    return lost != interrupted.lost_.end() &&
           now - lost->second <= confirmation_time &&
           confirm_prompt_crash(state, interrupted, endpoint_run, now);
}

bool confirm_prompt_crash(prompt_suspicion& state,
                          interrupted_prompts& interrupted,
                          std::string const& endpoint_run, time_point now)
{
    interrupted.lost_.try_emplace(endpoint_run, now);
    prompt_crash crash{now, {}};
    std::erase_if(interrupted.runs_,
                  [&](interrupted_prompts::run const& run)
                  {
                      if (run.endpoint_run_ != endpoint_run)
                      {
                          return false;
                      }
                      if (now - run.at_ <= confirmation_time)
                      {
                          crash.at_ = std::min(crash.at_, run.at_);
                          crash.prompts_.insert(run.parts_);
                      }
                      return true;
                  });
    if (crash.prompts_.empty() || !add_crash(state, endpoint_run, crash))
    {
        return false;
    }
    on_changed(state);
    return true;
}

void record_prompt_success(prompt_suspicion& state, prompt_parts const& parts,
                           time_point now)
{
    bool is_clearing = false;
    for (std::string const& part : parts)
    {
        is_clearing = add_success(state, part, now) || is_clearing;
    }
    if (is_clearing)
    {
        on_changed(state);
    }
}

bool is_refused_prompt(prompt_suspicion const& state, prompt_parts const& parts)
{
    return std::any_of(state.refused_.begin(), state.refused_.end(),
                       [&parts](prompt_parts const& refused)
                       { return contains_all(parts, refused); });
}

bool is_suspect_prompt(prompt_suspicion const& state, prompt_parts const& parts)
{
    crash_list crashes;
    for (auto const& [run, crash] : state.crashes_)
    {
        crashes.push_back(&crash);
    }
    return std::any_of(parts.begin(), parts.end(),
                       [&](std::string const& part)
                       {
                           return !state.successes_.contains(part) &&
                                  crashes_with(state, crashes, part).size() >=
                                      suspect_part_crashes;
                       });
}

prompt_suspicion_update current_update(prompt_suspicion const& state)
{
    prompt_suspicion_update update{state.crashes_, {}};
    for (auto const& [run, crash] : state.crashes_)
    {
        for (std::string const& part : all_parts(crash))
        {
            if (auto const success = state.successes_.find(part);
                success != state.successes_.end())
            {
                update.successes_.insert(*success);
            }
        }
    }
    return update;
}

void merge_update(prompt_suspicion& state,
                  prompt_suspicion_update const& update, time_point now)
{
    bool is_changed = false;
    for (auto const& [run, crash] : update.crashes_)
    {
        if (now - crash.at_ <= memory)
        {
            is_changed = add_crash(state, run, crash) || is_changed;
        }
    }
    for (auto const& [part, at] : update.successes_)
    {
        is_changed = add_success(state, part, at) || is_changed;
    }
    if (is_changed)
    {
        on_changed(state);
    }
}

void expire_prompt_suspicion(prompt_suspicion& state,
                             interrupted_prompts& interrupted, time_point now)
{
    std::erase_if(interrupted.runs_, [now](interrupted_prompts::run const& run)
                  { return now - run.at_ > confirmation_time; });
    std::erase_if(interrupted.lost_, [now](auto const& entry)
                  { return now - entry.second > confirmation_time; });
    std::erase_if(state.successes_, [now](auto const& entry)
                  { return now - entry.second > memory; });
    drop_oldest(state.successes_, max_successes_kept, time_of_success);
    if (std::erase_if(state.crashes_, [now](auto const& entry)
                      { return now - entry.second.at_ > memory; }) > 0)
    {
        on_changed(state);
    }
}

} // namespace auburnlb
