// Counts crashes by the parts of prompts and refuses the fewest parts that
// explain them.
#include "auburnlb/coordination/crash_causes.hpp"

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

/// How long a crash or a success is kept.
constexpr seconds retention{600};
/// How long after or before the cut of a run its endpoint may be found lost.
constexpr milliseconds confirmation_time{1'000};
/// Crashes that are this close together may have another cause in common, such
/// as a lost link, so they count as one.
constexpr milliseconds common_cause_time{50};
/// An endpoint that crashes on a prompt does so before this many events, or
/// before this time.
constexpr std::uint32_t max_events_before_crash = 2;
constexpr milliseconds max_time_before_crash{300};
/// A response that has continued for this long is a success.
constexpr milliseconds min_success_time{1'000};
constexpr std::size_t max_crashes_kept = 128;
constexpr std::size_t max_successes_kept = 4'096;
constexpr std::size_t max_part_id_length = 64;

using crash_list = std::vector<endpoint_crash const*>;

time_point last_success(crash_causes const& state, std::string const& part)
{
    auto const found = state.successes_.find(part);
    return found == state.successes_.end() ? time_point::min() : found->second;
}

bool contains_all(request_traits const& prompt, request_traits const& parts)
{
    return std::includes(prompt.begin(), prompt.end(), parts.begin(),
                         parts.end());
}

bool has_part(endpoint_crash const& crash, std::string const& part)
{
    return std::any_of(crash.requests_.begin(), crash.requests_.end(),
                       [&part](request_traits const& prompt)
                       { return prompt.contains(part); });
}

/// Returns the crashes of each part since its last success.
std::map<std::string, crash_list> index_by_part(crash_causes const& state,
                                                crash_list const& crashes)
{
    std::map<std::string, crash_list> index;
    for (endpoint_crash const* const crash : crashes)
    {
        for (request_traits const& prompt : crash->requests_)
        {
            for (std::string const& part : prompt)
            {
                crash_list& of_part = index[part];
                bool const is_listed =
                    !of_part.empty() && of_part.back() == crash;
                if (!is_listed && crash->at_ > last_success(state, part))
                {
                    of_part.push_back(crash);
                }
            }
        }
    }
    return index;
}

/// Counts crashes with a common cause once.
std::size_t count_moments(crash_list const& crashes)
{
    std::vector<time_point> times;
    for (endpoint_crash const* const each : crashes)
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
request_traits common_parts(crash_list const& crashes, std::string const& part)
{
    std::optional<request_traits> common;
    for (endpoint_crash const* const crash : crashes)
    {
        for (request_traits const& prompt : crash->requests_)
        {
            if (!prompt.contains(part))
            {
                continue;
            }
            request_traits both;
            request_traits const& known = common ? *common : prompt;
            std::set_intersection(prompt.begin(), prompt.end(), known.begin(),
                                  known.end(), std::inserter(both, both.end()));
            common = std::move(both);
        }
    }
    return common.value_or(request_traits{});
}

/// Returns the number of different prompts with the part.
std::size_t count_prompts(crash_list const& crashes, std::string const& part)
{
    std::set<request_traits> prompts;
    for (endpoint_crash const* const crash : crashes)
    {
        std::copy_if(crash->requests_.begin(), crash->requests_.end(),
                     std::inserter(prompts, prompts.end()),
                     [&part](request_traits const& prompt)
                     { return prompt.contains(part); });
    }
    return prompts.size();
}

/// A part and its crashes.
using part_crashes = std::pair<std::string, crash_list>;

/// Returns the part to refuse next: one that has never succeeded before one
/// that has, then the one with the most crashes, then the one in the fewest
/// prompts. Returns std::nullopt if none has enough crashes.
std::optional<part_crashes>
most_suspect(crash_causes const& state,
             std::map<std::string, crash_list> const& index)
{
    std::optional<part_crashes> worst;
    std::tuple<bool, std::size_t, std::size_t> worst_rank;
    for (auto const& [part, crashes] : index)
    {
        std::size_t const count = count_moments(crashes);
        if (count < refused_after_crashes)
        {
            continue;
        }
        constexpr std::size_t most_prompts =
            std::numeric_limits<std::size_t>::max();
        std::tuple const rank(!state.successes_.contains(part), count,
                              most_prompts - count_prompts(crashes, part));
        if (rank > worst_rank)
        {
            worst = part_crashes(part, crashes);
            worst_rank = rank;
        }
    }
    return worst;
}

bool is_explained(endpoint_crash const& crash, request_traits const& parts)
{
    return std::any_of(crash.requests_.begin(), crash.requests_.end(),
                       [&parts](request_traits const& prompt)
                       { return contains_all(prompt, parts); });
}

/// Refuses parts until no part has enough unexplained crashes. A crash that one
/// part explains does not count against the sound parts beside it.
void evaluate(crash_causes& state)
{
    state.refused_.clear();
    state.suspects_.clear();
    crash_list crashes;
    for (auto const& [run, crash] : state.crashes_)
    {
        crashes.push_back(&crash);
    }
    auto index = index_by_part(state, crashes);
    for (auto worst = most_suspect(state, index); worst;
         worst = most_suspect(state, index))
    {
        request_traits const common = common_parts(worst->second, worst->first);
        std::erase_if(crashes, [&common](endpoint_crash const* each)
                      { return is_explained(*each, common); });
        state.refused_.push_back(common);
        index = index_by_part(state, crashes);
    }
    for (auto const& [part, of_part] : index)
    {
        if (!state.successes_.contains(part) &&
            count_moments(of_part) >= suspected_after_crashes)
        {
            state.suspects_.insert(part);
        }
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
time_of_crash(std::pair<std::string const, endpoint_crash> const& entry)
{
    return entry.second.at_;
}

time_point
time_of_success(std::pair<std::string const, time_point> const& entry)
{
    return entry.second;
}

/// Returns whether anything was new. A crash keeps its earliest time.
bool add_crash(crash_causes& state, std::string const& endpoint_run,
               endpoint_crash const& crash)
{
    auto const [entry, is_new] =
        state.crashes_.try_emplace(endpoint_run, endpoint_crash{crash.at_, {}});
    std::size_t const known = entry->second.requests_.size();
    entry->second.requests_.insert(crash.requests_.begin(),
                                   crash.requests_.end());
    entry->second.at_ = std::min(entry->second.at_, crash.at_);
    bool const is_changed = is_new || entry->second.requests_.size() > known;
    drop_oldest(state.crashes_, max_crashes_kept, time_of_crash);
    return is_changed;
}

/// Returns whether the success clears the part of a crash.
bool add_success(crash_causes& state, std::string const& part, time_point at)
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
                        endpoint_crash const& crash = entry.second;
                        return crash.at_ > previous && crash.at_ < at &&
                               has_part(crash, part);
                    });
    state.successes_[part] = at;
    return is_clearing;
}

void on_changed(crash_causes& state)
{
    ++state.revision_;
    evaluate(state);
}

} // namespace

request_traits make_traits(std::string const& service,
                           std::vector<std::string> const& ids)
{
    request_traits parts;
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

std::string to_string(request_traits const& parts)
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

bool record_interrupted_run(crash_causes& state, interrupted_runs& interrupted,
                            std::string const& endpoint_run,
                            request_traits const& parts, time_point now)
{
    if (parts.empty())
    {
        return false;
    }
    interrupted.runs_.push_back({endpoint_run, parts, now});
    auto const lost = interrupted.lost_at_.find(endpoint_run);
    return lost != interrupted.lost_at_.end() &&
           now - lost->second <= confirmation_time &&
           confirm_crash(state, interrupted, endpoint_run, now);
}

bool confirm_crash(crash_causes& state, interrupted_runs& interrupted,
                   std::string const& endpoint_run, time_point now)
{
    interrupted.lost_at_.try_emplace(endpoint_run, now);
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
                          crash.requests_.insert(run.parts_);
                      }
                      return true;
                  });
    if (crash.requests_.empty() || !add_crash(state, endpoint_run, crash))
    {
        return false;
    }
    on_changed(state);
    return true;
}

void record_success(crash_causes& state, request_traits const& parts,
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

bool is_refused(crash_causes const& state, request_traits const& parts)
{
    return std::any_of(state.refused_.begin(), state.refused_.end(),
                       [&parts](request_traits const& refused)
                       { return contains_all(parts, refused); });
}

bool is_suspected(crash_causes const& state, request_traits const& parts)
{
    return is_refused(state, parts) ||
           std::any_of(parts.begin(), parts.end(),
                       [&state](std::string const& part)
                       { return state.suspects_.contains(part); });
}

bool may_have_crashed(response_progress const& progress, time_point now)
{
    return progress.events_ <= max_events_before_crash ||
           now - progress.began_at_ <= max_time_before_crash;
}

bool is_success(response_progress const& progress, time_point now)
{
    return !may_have_crashed(progress, now) &&
           now - progress.began_at_ >= min_success_time;
}

crash_causes_update current_update(crash_causes const& state)
{
    crash_causes_update update{state.crashes_, {}};
    for (auto const& success : state.successes_)
    {
        if (std::any_of(state.crashes_.begin(), state.crashes_.end(),
                        [&success](auto const& entry)
                        { return has_part(entry.second, success.first); }))
        {
            update.successes_.insert(success);
        }
    }
    return update;
}

void merge_update(crash_causes& state, crash_causes_update const& update,
                  time_point now)
{
    bool is_changed = false;
    for (auto const& [run, crash] : update.crashes_)
    {
        if (now - crash.at_ <= retention)
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

void expire_crash_causes(crash_causes& state, interrupted_runs& interrupted,
                         time_point now)
{
    std::erase_if(interrupted.runs_, [now](interrupted_runs::run const& run)
                  { return now - run.at_ > confirmation_time; });
    std::erase_if(interrupted.lost_at_, [now](auto const& entry)
                  { return now - entry.second > confirmation_time; });
    std::erase_if(state.successes_, [now](auto const& entry)
                  { return now - entry.second > retention; });
    drop_oldest(state.successes_, max_successes_kept, time_of_success);
    if (std::erase_if(state.crashes_, [now](auto const& entry)
                      { return now - entry.second.at_ > retention; }) > 0)
    {
        on_changed(state);
    }
}

} // namespace auburnlb
