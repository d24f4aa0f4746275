// Refuses the fewest traits that explain the crashes.
#include "auburnlb/coordination/crash_evaluation.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace auburnlb
{

namespace
{

/// Crashes that are this close together may have another cause in common, such
/// as a lost link, so they count as one.
constexpr milliseconds common_cause_time{50};

/// The same for a trait that has succeeded before: usual requests are in
/// progress at each endpoint when several are lost.
constexpr milliseconds common_cause_time_after_success{1'000};

using crash_list = std::vector<endpoint_crash const*>;
using crash_index = std::map<std::string, crash_list>;

/// A trait and its crashes.
using trait_crashes = std::pair<std::string, crash_list>;

bool counts_against(crash_causes const& state, std::string const& trait,
                    endpoint_crash const& crash)
{
    auto const success = state.successes_.find(trait);
    return success == state.successes_.end() || crash.at_ > success->second.at_;
}

/// Returns the crashes of each trait since its last success, without traits
/// that have too few to be suspected.
crash_index index_by_trait(crash_causes const& state, crash_list const& crashes)
{
    std::unordered_map<std::string_view, std::size_t> counts;
    for (endpoint_crash const* const crash : crashes)
    {
        for (std::string_view const trait : traits_of(*crash))
        {
            ++counts[trait];
        }
    }
    crash_index index;
    for (endpoint_crash const* const crash : crashes)
    {
        for (std::string_view const each : traits_of(*crash))
        {
            std::string const trait(each);
            if (counts[each] >= suspected_after_crashes &&
                counts_against(state, trait, *crash))
            {
                index[trait].push_back(crash);
            }
        }
    }
    return index;
}

/// Returns which requests with the trait the crash interrupted.
std::set<std::string> requests_with(endpoint_crash const& crash,
                                    std::string const& trait)
{
    std::set<std::string> found;
    for (request_traits const& request : crash.requests_)
    {
        if (request.contains(trait))
        {
            std::copy_if(request.begin(), request.end(),
                         std::inserter(found, found.end()), is_request_trait);
        }
    }
    return found;
}

bool intersects(std::set<std::string> const& left,
                std::set<std::string> const& right)
{
    return std::any_of(left.begin(), left.end(),
                       [&right](std::string const& each)
                       { return right.contains(each); });
}

/// Counts crashes that may have a common cause once. One request is in progress
/// at one endpoint, so if it was interrupted by two crashes, it was sent again
/// after the first one.
std::size_t count_moments(crash_causes const& state,
                          trait_crashes const& of_trait)
{
    auto const& [trait, crashes] = of_trait;
    bool const has_succeeded = state.successes_.contains(trait);
    milliseconds const common_cause =
        has_succeeded ? common_cause_time_after_success : common_cause_time;
    crash_list ordered = crashes;
    std::sort(ordered.begin(), ordered.end(),
              [](endpoint_crash const* left, endpoint_crash const* right)
              { return left->at_ < right->at_; });
    std::size_t count = 0;
    time_point counted{};
    std::set<std::string> interrupted;
    for (endpoint_crash const* const each : ordered)
    {
        std::set<std::string> requests = requests_with(*each, trait);
        bool const is_separate =
            count == 0 || each->at_ - counted > common_cause ||
            (!has_succeeded && intersects(requests, interrupted));
        if (is_separate)
        {
            ++count;
            counted = each->at_;
            interrupted.clear();
        }
        interrupted.merge(requests);
    }
    return count;
}

/// Returns the traits that all requests with this trait have in common. Only
/// together are they known to crash endpoints.
request_traits common_traits(trait_crashes const& of_trait)
{
    std::optional<request_traits> common;
    for (endpoint_crash const* const crash : of_trait.second)
    {
        for (request_traits const& request : crash->requests_)
        {
            if (!request.contains(of_trait.first))
            {
                continue;
            }
            request_traits both;
            request_traits const& known = common ? *common : request;
            std::set_intersection(request.begin(), request.end(), known.begin(),
                                  known.end(), std::inserter(both, both.end()));
            common = std::move(both);
        }
    }
    return common.value_or(request_traits{});
}

/// Returns the number of different requests with the trait.
std::size_t count_requests(trait_crashes const& of_trait)
{
    std::set<request_traits> requests;
    for (endpoint_crash const* const crash : of_trait.second)
    {
        std::copy_if(crash->requests_.begin(), crash->requests_.end(),
                     std::inserter(requests, requests.end()),
                     [&of_trait](request_traits const& request)
                     { return request.contains(of_trait.first); });
    }
    return requests.size();
}

/// Returns the trait to refuse next: one that has never succeeded before one
/// that has, then the one with the most crashes, then the one in the fewest
/// requests. Returns std::nullopt if none has enough crashes.
std::optional<trait_crashes> most_suspect(crash_causes const& state,
                                          crash_index const& index)
{
    std::optional<trait_crashes> worst;
    std::tuple<bool, std::size_t, std::size_t> worst_rank;
    for (auto const& of_trait : index)
    {
        std::size_t const count = count_moments(state, of_trait);
        if (count < refused_after_crashes)
        {
            continue;
        }
        constexpr std::size_t most_requests =
            std::numeric_limits<std::size_t>::max();
        std::tuple const rank(!state.successes_.contains(of_trait.first), count,
                              most_requests - count_requests(of_trait));
        if (rank > worst_rank)
        {
            worst = of_trait;
            worst_rank = rank;
        }
    }
    return worst;
}

/// Returns whether the trait alone would be refused, and has never succeeded.
bool is_unproven_suspect(crash_causes const& state, crash_index const& index,
                         std::string const& trait)
{
    auto const found = index.find(trait);
    return found != index.end() && !state.successes_.contains(trait) &&
           found->second.size() >= refused_after_crashes &&
           count_moments(state, *found) >= refused_after_crashes;
}

/// Returns whether a request had both traits.
bool occur_together(trait_crashes const& of_trait, std::string const& other)
{
    return std::any_of(of_trait.second.begin(), of_trait.second.end(),
                       [&](endpoint_crash const* crash)
                       {
                           return std::any_of(
                               crash->requests_.begin(), crash->requests_.end(),
                               [&](request_traits const& request) {
                                   return request.contains(of_trait.first) &&
                                          request.contains(other);
                               });
                       });
}

/// Returns what the traits have in common with those of another suspect that no
/// request shares with them: one cause is likelier than two. Returns the traits
/// themselves if there is no such suspect.
request_traits widen(crash_causes const& state, crash_index const& index,
                     trait_crashes const& worst)
{
    request_traits common = common_traits(worst);
    for (auto const& each : index)
    {
        if (!is_unproven_suspect(state, index, each.first) ||
            occur_together(worst, each.first))
        {
            continue;
        }
        request_traits const others = common_traits(each);
        request_traits both;
        std::set_intersection(common.begin(), common.end(), others.begin(),
                              others.end(), std::inserter(both, both.end()));
        if (std::any_of(both.begin(), both.end(),
                        [&](std::string const& trait)
                        { return is_unproven_suspect(state, index, trait); }))
        {
            return both;
        }
    }
    return common;
}

bool is_explained_by(endpoint_crash const& crash, request_traits const& traits)
{
    return std::any_of(crash.requests_.begin(), crash.requests_.end(),
                       [&traits](request_traits const& request)
                       { return has_all(request, traits); });
}

} // namespace

std::unordered_set<std::string_view> traits_of(endpoint_crash const& crash)
{
    std::unordered_set<std::string_view> traits;
    for (request_traits const& request : crash.requests_)
    {
        traits.insert(request.begin(), request.end());
    }
    return traits;
}

bool has_all(request_traits const& request, request_traits const& traits)
{
    return std::includes(request.begin(), request.end(), traits.begin(),
                         traits.end());
}

bool is_explained(crash_causes const& state, endpoint_crash const& crash)
{
    return std::any_of(state.refused_.begin(), state.refused_.end(),
                       [&crash](request_traits const& traits)
                       { return is_explained_by(crash, traits); });
}

void evaluate_crashes(crash_causes& state)
{
    state.refused_.clear();
    state.suspects_.clear();
    crash_list crashes;
    for (auto const& [run, known] : state.crashes_)
    {
        crashes.push_back(&known.crash_);
    }
    auto index = index_by_trait(state, crashes);
    for (auto worst = most_suspect(state, index); worst;
         worst = most_suspect(state, index))
    {
        request_traits const common = widen(state, index, *worst);
        std::erase_if(crashes, [&common](endpoint_crash const* each)
                      { return is_explained_by(*each, common); });
        state.refused_.push_back(common);
        index = index_by_trait(state, crashes);
    }
    for (auto const& of_trait : index)
    {
        if (!state.successes_.contains(of_trait.first) &&
            count_moments(state, of_trait) >= suspected_after_crashes)
        {
            state.suspects_.insert(of_trait.first);
        }
    }
}

} // namespace auburnlb
