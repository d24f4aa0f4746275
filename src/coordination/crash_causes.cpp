// Keeps the crashes and successes of requests and exchanges them with other
// routers.
#include "auburnlb/coordination/crash_causes.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "auburnlb/coordination/crash_evaluation.hpp"

namespace auburnlb
{

namespace
{

/// How long a crash or a success is kept.
constexpr seconds retention{600};
/// A response with more events than this, and that has gone on for this long,
/// has continued.
constexpr std::uint32_t max_first_events = 2;
constexpr milliseconds min_continued_time{1'000};
constexpr char continued_suffix[] = "/continued";
constexpr std::size_t max_crashes_kept = 128;
constexpr std::size_t max_successes_kept = 4'096;
constexpr std::size_t max_part_id_length = 64;

void index_crash(crash_causes& state, endpoint_crash const& crash)
{
    for (std::string_view const trait : traits_of(crash))
    {
        time_point& last = state.last_crash_[std::string(trait)];
        last = std::max(last, crash.at_);
    }
}

void rebuild_index(crash_causes& state)
{
    state.last_crash_.clear();
    for (auto const& [run, known] : state.crashes_)
    {
        index_crash(state, known.crash_);
    }
}

/// Drops the oldest crash; one that shows why a request is refused is kept
/// longer than others.
void drop_surplus_crash(crash_causes& state)
{
    if (state.crashes_.size() <= max_crashes_kept)
    {
        return;
    }
    auto const rank = [&state](auto const& entry)
    {
        endpoint_crash const& crash = entry.second.crash_;
        return std::pair(is_explained(state, crash), crash.at_);
    };
    state.crashes_.erase(
        std::min_element(state.crashes_.begin(), state.crashes_.end(),
                         [&rank](auto const& left, auto const& right)
                         { return rank(left) < rank(right); }));
    rebuild_index(state);
}

/// Returns whether anything was new. A crash keeps its earliest time.
bool insert_crash(crash_causes& state, std::string const& endpoint_run,
                  endpoint_crash const& crash, std::uint64_t revision)
{
    auto const [entry, is_new] = state.crashes_.try_emplace(
        endpoint_run, crash_causes::known_crash{{crash.at_, {}}, revision});
    crash_causes::known_crash& known = entry->second;
    std::size_t const request_count = known.crash_.requests_.size();
    known.crash_.requests_.insert(crash.requests_.begin(),
                                  crash.requests_.end());
    known.crash_.at_ = std::min(known.crash_.at_, crash.at_);
    if (!is_new && known.crash_.requests_.size() == request_count)
    {
        return false;
    }
    known.revision_ = revision;
    index_crash(state, known.crash_);
    drop_surplus_crash(state);
    return true;
}

/// Returns whether the success may clear the trait of a crash.
bool insert_success(crash_causes& state, std::string const& trait,
                    time_point at, std::uint64_t revision)
{
    crash_causes::success& success =
        state.successes_
            .try_emplace(trait, crash_causes::success{time_point::min(), 0})
            .first->second;
    time_point const previous = success.at_;
    if (at <= previous)
    {
        return false;
    }
    success.at_ = at;
    auto const crash = state.last_crash_.find(trait);
    if (crash == state.last_crash_.end() || crash->second <= previous)
    {
        return false;
    }
    success.revision_ = revision;
    return true;
}

void on_changed(crash_causes& state)
{
    ++state.revision_;
    evaluate_crashes(state);
}

/// Drops the oldest successes beyond the limit.
void drop_surplus_successes(crash_causes& state)
{
    if (state.successes_.size() <= max_successes_kept)
    {
        return;
    }
    std::vector<time_point> times;
    for (auto const& [trait, success] : state.successes_)
    {
        times.push_back(success.at_);
    }
    auto const surplus =
        static_cast<std::ptrdiff_t>(times.size() - max_successes_kept);
    std::nth_element(times.begin(), times.begin() + surplus, times.end());
    time_point const oldest_kept = times[static_cast<std::size_t>(surplus)];
    std::erase_if(state.successes_, [oldest_kept](auto const& entry)
                  { return entry.second.at_ < oldest_kept; });
}

/// Adds the successes of the traits in the update, and those that have cleared
/// a trait since a revision.
void add_successes(crash_causes const& state, std::uint64_t known_revision,
                   crash_causes_update& update)
{
    std::unordered_set<std::string_view> named;
    for (auto const& [run, crash] : update.crashes_)
    {
        named.merge(traits_of(crash));
    }
    for (auto const& [trait, success] : state.successes_)
    {
        bool const is_relevant =
            state.last_crash_.contains(trait) &&
            (success.revision_ > known_revision || named.contains(trait));
        if (is_relevant)
        {
            update.successes_[trait] = success.at_;
        }
    }
}

} // namespace

std::string request_trait(request_fingerprint fingerprint)
{
    return "request:" + to_hex(fingerprint);
}

bool is_request_trait(std::string const& trait)
{
    return trait.find('/') == std::string::npos;
}

request_traits prompt_traits(std::string const& service,
                             std::vector<std::string> const& part_ids)
{
    request_traits traits;
    for (std::string const& id : part_ids)
    {
        if (!id.empty() && id.size() <= max_part_id_length)
        {
            std::string trait = service;
            trait += '/';
            trait += id;
            traits.insert(std::move(trait));
        }
    }
    return traits;
}

request_traits continued_traits(request_traits const& prompt)
{
    request_traits traits;
    for (std::string const& part : prompt)
    {
        traits.insert(part + continued_suffix);
    }
    return traits;
}

std::string to_string(request_traits const& traits)
{
    std::string text;
    for (std::string const& trait : traits)
    {
        text += text.empty() ? trait : "," + trait;
    }
    return text;
}

bool add_crash(crash_causes& state, std::string const& endpoint_run,
               endpoint_crash const& crash)
{
    if (!insert_crash(state, endpoint_run, crash, state.revision_ + 1))
    {
        return false;
    }
    on_changed(state);
    return true;
}

request_traits record_success(crash_causes& state, request_traits const& traits,
                              time_point now)
{
    std::uint64_t const revision = state.revision_ + 1;
    request_traits cleared;
    for (std::string const& trait : traits)
    {
        if (insert_success(state, trait, now, revision))
        {
            cleared.insert(trait);
        }
    }
    if (!cleared.empty())
    {
        on_changed(state);
    }
    return cleared;
}

bool is_refused(crash_causes const& state, request_traits const& traits)
{
    return std::any_of(state.refused_.begin(), state.refused_.end(),
                       [&traits](request_traits const& refused)
                       { return has_all(traits, refused); });
}

bool is_suspected(crash_causes const& state, request_traits const& traits)
{
    return is_refused(state, traits) ||
           std::any_of(traits.begin(), traits.end(),
                       [&state](std::string const& trait)
                       { return state.suspects_.contains(trait); });
}

request_record record_of(crash_causes const& state,
                         request_fingerprint fingerprint)
{
    std::string const trait = request_trait(fingerprint);
    if (state.successes_.contains(trait))
    {
        return request_record::sound;
    }
    return state.last_crash_.contains(trait) ? request_record::unproven
                                             : request_record::clean;
}

bool has_continued(response_progress const& progress, time_point now)
{
    return progress.events_ > max_first_events &&
           now - progress.began_at_ >= min_continued_time;
}

request_traits possible_causes(request_fingerprint fingerprint,
                               request_traits const& prompt,
                               std::optional<response_progress> const& progress,
                               time_point now)
{
    // An endpoint that crashes while it reads the prompt sends no response, or
    // its reset discards what it has sent.
    request_traits causes = progress && has_continued(*progress, now)
                                ? continued_traits(prompt)
                                : prompt;
    causes.insert(request_trait(fingerprint));
    return causes;
}

request_traits all_traits(request_fingerprint fingerprint,
                          request_traits const& prompt)
{
    request_traits traits = continued_traits(prompt);
    traits.insert(prompt.begin(), prompt.end());
    traits.insert(request_trait(fingerprint));
    return traits;
}

crash_causes_update lasting_update(crash_causes const& state)
{
    crash_causes_update update;
    for (auto const& [run, known] : state.crashes_)
    {
        endpoint_crash lasting{known.crash_.at_, {}};
        std::copy_if(known.crash_.requests_.begin(),
                     known.crash_.requests_.end(),
                     std::inserter(lasting.requests_, lasting.requests_.end()),
                     [&state](request_traits const& request)
                     { return is_suspected(state, request); });
        if (!lasting.requests_.empty())
        {
            update.crashes_.emplace(run, std::move(lasting));
        }
    }
    add_successes(state, state.revision_, update);
    return update;
}

bool is_same_evidence(crash_causes_update const& left,
                      crash_causes_update const& right)
{
    return left.crashes_ == right.crashes_ &&
           std::equal(left.successes_.begin(), left.successes_.end(),
                      right.successes_.begin(), right.successes_.end(),
                      [](auto const& first, auto const& second)
                      { return first.first == second.first; });
}

crash_causes_update current_update(crash_causes const& state,
                                   std::uint64_t known_revision)
{
    std::uint64_t const known =
        known_revision > state.revision_ ? 0 : known_revision;
    crash_causes_update update;
    for (auto const& [run, each] : state.crashes_)
    {
        if (each.revision_ > known)
        {
            update.crashes_[run] = each.crash_;
        }
    }
    add_successes(state, known, update);
    return update;
}

std::size_t merge_update(crash_causes& state, crash_causes_update const& update,
                         time_point now)
{
    std::uint64_t const revision = state.revision_ + 1;
    std::size_t new_crashes = 0;
    bool is_changed = false;
    for (auto const& [run, crash] : update.crashes_)
    {
        if (now - crash.at_ <= retention)
        {
            new_crashes += state.crashes_.contains(run) ? 0 : 1;
            is_changed =
                insert_crash(state, run, crash, revision) || is_changed;
        }
    }
    for (auto const& [trait, at] : update.successes_)
    {
        is_changed = insert_success(state, trait, at, revision) || is_changed;
    }
    if (is_changed)
    {
        on_changed(state);
    }
    return new_crashes;
}

void expire_crash_causes(crash_causes& state, time_point now)
{
    std::erase_if(state.successes_, [now](auto const& entry)
                  { return now - entry.second.at_ > retention; });
    drop_surplus_successes(state);
    if (std::erase_if(state.crashes_, [now](auto const& entry)
                      { return now - entry.second.crash_.at_ > retention; }) >
        0)
    {
        rebuild_index(state);
        on_changed(state);
    }
}

} // namespace auburnlb
