// Smooth weighted round robin along the flow, corrected by load and affinity.
#include "auburnlb/coordination/chain_choice.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace auburnlb
{

namespace
{

/// One decider's change of load counts as at most this many. With more, single
/// requests of a decider hide the report when each decider has only a few.
constexpr std::uint32_t max_change_factor = 8;
/// Requests by which an alternative must be less loaded, for each decider, at
/// most. With more, many deciders would never correct the turn.
constexpr std::uint32_t max_displacement_margin = 16;
/// A prefix is followed to an endpoint that is loaded by at most this factor
/// more than the endpoint whose turn it is.
constexpr double affinity_load_factor = 1.25;
/// Below this share of hits, affinity is followed by one request in
/// affinity_probe_interval only.
constexpr double affinity_min_hits = 0.2;
constexpr std::uint32_t affinity_probe_interval = 16;
/// Weight of the newest result in the mean of hits.
constexpr double affinity_gain = 0.05;

constexpr std::uint32_t no_candidate =
    std::numeric_limits<std::uint32_t>::max();

/// Which rules a candidate must meet. Dropped one by one if none is left.
enum class strictness
{
    with_free_memory,
    with_good_link,
    reachable,
};

/// One request's walk along the hops of a plan.
struct chain_walk
{
    service_plan const& plan_;
    service_choice& choice_;
    selector_state& state_;
    std::uint64_t prefix_hash_ = 0;
    std::uint64_t kv_tokens_ = 0;
    /// By endpoint index; empty if nothing is excluded.
    std::vector<char> is_excluded_;
    /// Boundaries from which the depth can be reached without excluded
    /// endpoints; unused if nothing is excluded.
    std::set<std::uint32_t> viable_;
};

std::uint32_t slot_for(selector_state& state, std::string const& address)
{
    auto const [slot, is_new] = state.slot_of_.try_emplace(
        address, static_cast<std::uint32_t>(state.views_.size()));
    if (is_new)
    {
        state.views_.emplace_back();
    }
    return slot->second;
}

double next_uniform(selector_state& state)
{
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(state.random_() >> 11U) * scale;
}

double total_weight(planned_hop const& hop)
{
    double total = 0;
    for (planned_candidate const& candidate : hop.candidates_)
    {
        total += candidate.weight_;
    }
    return total;
}

/// Deciders begin at unlike positions, so that they do not move in step.
std::vector<double> initial_credits(selector_state& state,
                                    planned_hop const& hop)
{
    double const total = total_weight(hop);
    std::vector<double> credits;
    credits.reserve(hop.candidates_.size());
    for (std::size_t index = 0; index < hop.candidates_.size(); ++index)
    {
        credits.push_back((next_uniform(state) - 0.5) * total);
    }
    return credits;
}

service_choice& positions_in(selector_state& state, std::string const& service,
                             service_plan const& plan, std::uint64_t generation)
{
    service_choice& choice = state.services_[service];
    if (choice.generation_ == generation &&
        choice.slots_.size() == plan.endpoints_.size())
    {
        return choice;
    }
    choice.generation_ = generation;
    choice.slots_.clear();
    for (planned_endpoint const& endpoint : plan.endpoints_)
    {
        choice.slots_.push_back(
            slot_for(state, endpoint.description_.address_));
    }
    choice.credits_.clear();
    for (planned_hop const& hop : plan.hops_)
    {
        choice.credits_.push_back(initial_credits(state, hop));
    }
    return choice;
}

void exclude(chain_walk& walk, std::set<std::string> const& addresses)
{
    std::vector<planned_endpoint> const& endpoints = walk.plan_.endpoints_;
    walk.is_excluded_.assign(endpoints.size(), 0);
    for (std::string const& address : addresses)
    {
        auto const found = std::lower_bound(
            endpoints.begin(), endpoints.end(), address,
            [](planned_endpoint const& endpoint, std::string const& wanted)
            { return endpoint.description_.address_ < wanted; });
        if (found != endpoints.end() && found->description_.address_ == address)
        {
            walk.is_excluded_[static_cast<std::size_t>(found -
                                                       endpoints.begin())] = 1;
        }
    }
}

void find_viable(chain_walk& walk)
{
    // A service has few distinct ranges, so a linear search is quickest.
    std::vector<layer_range> ranges;
    for (std::size_t index = 0; index < walk.is_excluded_.size(); ++index)
    {
        layer_range const& range =
            walk.plan_.endpoints_[index].description_.layers_;
        if (walk.is_excluded_[index] == 0 &&
            std::find(ranges.begin(), ranges.end(), range) == ranges.end())
        {
            ranges.push_back(range);
        }
    }
    walk.viable_ =
        find_viable_boundaries(std::move(ranges), walk.plan_.layers_);
}

endpoint_view const& view_of(chain_walk const& walk, std::uint32_t endpoint)
{
    return walk.state_.views_[walk.choice_.slots_[endpoint]];
}

double change_factor(selector_state const& state)
{
    return std::min(state.selectors_, max_change_factor);
}

/// Requests in progress at an endpoint, over all deciders. Since the last
/// report the other deciders are taken to have done what this one did: each
/// that acts on the same report alone would send its work to the same place.
double estimate_in_progress(endpoint_view const& view, double factor)
{
    double const own = view.own_;
    if (!view.has_report_)
    {
        return own * factor;
    }
    double const change = own - view.own_at_report_;
    return std::max(own, view.reported_ + change * factor);
}

/// Load in proportion to the flow that is planned through the endpoint, with
/// further requests added to those in progress.
double relative_load(chain_walk const& walk, std::uint32_t endpoint,
                     double further)
{
    planned_endpoint const& planned = walk.plan_.endpoints_[endpoint];
    double const capacity =
        planned.flow_ > 0 ? planned.flow_ : rate_of(planned.description_);
    double const in_progress = estimate_in_progress(view_of(walk, endpoint),
                                                    change_factor(walk.state_));
    return (in_progress + further) / capacity;
}

bool is_open(chain_walk const& walk, std::uint32_t endpoint,
             planned_endpoint const* previous, strictness level)
{
    if (!walk.is_excluded_.empty())
    {
        std::uint32_t const end =
            walk.plan_.endpoints_[endpoint].description_.layers_.end_;
        if (walk.is_excluded_[endpoint] != 0 || !walk.viable_.contains(end))
        {
            return false;
        }
    }
    if (level != strictness::reachable && previous != nullptr &&
        std::find(previous->degraded_.begin(), previous->degraded_.end(),
                  endpoint) != previous->degraded_.end())
    {
        return false;
    }
    if (level != strictness::with_free_memory || walk.kv_tokens_ == 0)
    {
        return true;
    }
    endpoint_view const& view = view_of(walk, endpoint);
    return !view.has_report_ || view.kv_free_tokens_ >= walk.kv_tokens_;
}

/// Candidate indexes of a hop that a pick considers, with their total weight.
struct open_candidates
{
    std::vector<std::uint32_t> indexes_;
    double total_ = 0;
};

open_candidates find_open(chain_walk const& walk, planned_hop const& hop,
                          planned_endpoint const* previous, strictness level)
{
    open_candidates open;
    open.indexes_.reserve(hop.candidates_.size());
    for (std::uint32_t index = 0; index < hop.candidates_.size(); ++index)
    {
        planned_candidate const& candidate = hop.candidates_[index];
        if (is_open(walk, candidate.endpoint_, previous, level))
        {
            open.indexes_.push_back(index);
            open.total_ += candidate.weight_;
        }
    }
    return open;
}

/// Without planned flow, which a plan made before a fault may lack, the least
/// loaded candidate is taken.
std::uint32_t pick_least_loaded(chain_walk const& walk, planned_hop const& hop,
                                open_candidates const& open)
{
    std::uint32_t best = no_candidate;
    double best_load = std::numeric_limits<double>::infinity();
    for (std::uint32_t const index : open.indexes_)
    {
        double const load =
            relative_load(walk, hop.candidates_[index].endpoint_, 1);
        if (load < best_load)
        {
            best = index;
            best_load = load;
        }
    }
    return best;
}

/// The candidate whose turn it is.
std::uint32_t pick_by_turn(planned_hop const& hop, open_candidates const& open,
                           std::vector<double>& credits)
{
    std::uint32_t best = no_candidate;
    for (std::uint32_t const index : open.indexes_)
    {
        double const weight = hop.candidates_[index].weight_;
        credits[index] += weight;
        if (weight > 0 &&
            (best == no_candidate || credits[index] > credits[best]))
        {
            best = index;
        }
    }
    return best;
}

std::uint32_t pick_at_random(chain_walk& walk, planned_hop const& hop,
                             open_candidates const& open)
{
    double rest = next_uniform(walk.state_) * open.total_;
    std::uint32_t last = open.indexes_.front();
    for (std::uint32_t const index : open.indexes_)
    {
        double const weight = hop.candidates_[index].weight_;
        if (weight <= 0)
        {
            continue;
        }
        last = index;
        rest -= weight;
        if (rest < 0)
        {
            break;
        }
    }
    return last;
}

std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

/// Weighted rendezvous hashing: every decider prefers the same endpoint for a
/// prefix without a table, and in proportion to the flow.
std::uint32_t pick_by_prefix(chain_walk const& walk, planned_hop const& hop,
                             open_candidates const& open)
{
    constexpr double scale = 1.0 / 18446744073709551616.0;
    std::uint32_t best = open.indexes_.front();
    double best_score = std::numeric_limits<double>::infinity();
    for (std::uint32_t const index : open.indexes_)
    {
        planned_candidate const& candidate = hop.candidates_[index];
        if (candidate.weight_ <= 0)
        {
            continue;
        }
        std::uint64_t const hash =
            mix(walk.prefix_hash_ ^
                walk.plan_.endpoints_[candidate.endpoint_].address_hash_);
        double const uniform = (static_cast<double>(hash) + 1) * scale;
        double const score = -std::log(uniform) / candidate.weight_;
        if (score < best_score)
        {
            best = index;
            best_score = score;
        }
    }
    return best;
}

bool follows_prefix(chain_walk& walk)
{
    if (walk.prefix_hash_ == 0)
    {
        return false;
    }
    if (walk.choice_.prefix_hits_ >= affinity_min_hits)
    {
        return true;
    }
    walk.choice_.prefix_skips_ += 1;
    return walk.choice_.prefix_skips_ % affinity_probe_interval == 0;
}

std::uint32_t pick_weighted(chain_walk& walk, planned_hop const& hop,
                            open_candidates const& open,
                            std::vector<double>& credits, bool with_prefix)
{
    std::uint32_t const turn = pick_by_turn(hop, open, credits);
    std::uint32_t const turn_endpoint = hop.candidates_[turn].endpoint_;
    if (with_prefix)
    {
        std::uint32_t const preferred = pick_by_prefix(walk, hop, open);
        double const load =
            relative_load(walk, hop.candidates_[preferred].endpoint_, 1);
        if (load <=
            relative_load(walk, turn_endpoint, 1) * affinity_load_factor)
        {
            credits[preferred] -= open.total_;
            return preferred;
        }
    }
    // The turn is spent even if another candidate displaces it. Otherwise the
    // round robin would insist on an endpoint that has slowed down.
    credits[turn] -= open.total_;
    std::uint32_t const other = pick_at_random(walk, hop, open);
    // To displace the turn, the other must be less loaded even with the
    // request that it would take, and with some of those that the other
    // deciders would send there for the same reason.
    double const other_load = relative_load(
        walk, hop.candidates_[other].endpoint_,
        std::min(walk.state_.selectors_, max_displacement_margin));
    return other_load < relative_load(walk, turn_endpoint, 0) ? other : turn;
}

/// The endpoint chosen at a hop, or no_candidate.
std::uint32_t choose_at(chain_walk& walk, std::uint32_t hop_index,
                        planned_endpoint const* previous, bool with_prefix)
{
    planned_hop const& hop = walk.plan_.hops_[hop_index];
    for (strictness const level :
         {strictness::with_free_memory, strictness::with_good_link,
          strictness::reachable})
    {
        open_candidates const open = find_open(walk, hop, previous, level);
        if (open.indexes_.empty())
        {
            continue;
        }
        std::uint32_t const index =
            open.total_ > 0
                ? pick_weighted(walk, hop, open,
                                walk.choice_.credits_[hop_index], with_prefix)
                : pick_least_loaded(walk, hop, open);
        return hop.candidates_[index].endpoint_;
    }
    return no_candidate;
}

service_plan const* find_plan(route_plan const& plan,
                              std::string const& service, service_kind kind)
{
    auto const found = plan.services_.find(service);
    if (found == plan.services_.end() || found->second.hops_.empty() ||
        found->second.kind_ != kind)
    {
        return nullptr;
    }
    return &found->second;
}

} // namespace

selector_state make_selector_state(std::uint64_t seed, std::uint32_t deciders)
{
    selector_state state;
    state.random_.seed(seed);
    state.selectors_ = std::max(1U, deciders);
    return state;
}

std::optional<std::vector<chain_stage>>
choose_chain(route_plan const& plan, std::string const& service,
             selector_state& state, std::set<std::string> const& excluded,
             std::uint64_t prefix_hash, std::uint64_t kv_tokens)
{
    service_plan const* const found =
        find_plan(plan, service, service_kind::model);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    chain_walk walk{
        *found,    positions_in(state, service, *found, plan.generation_),
        state,     prefix_hash,
        kv_tokens, {},
        {}};
    if (!excluded.empty())
    {
        exclude(walk, excluded);
        find_viable(walk);
    }
    bool const with_prefix = follows_prefix(walk);
    std::vector<chain_stage> chain;
    planned_endpoint const* previous = nullptr;
    std::uint32_t hop = 0;
    while (hop != no_hop)
    {
        std::uint32_t const chosen =
            choose_at(walk, hop, previous, with_prefix);
        if (chosen == no_candidate)
        {
            return std::nullopt;
        }
        previous = &found->endpoints_[chosen];
        chain.push_back({previous->description_.address_,
                         previous->description_.incarnation_,
                         previous->description_.layers_});
        hop = previous->next_hop_;
    }
    return chain;
}

std::optional<endpoint_description>
choose_endpoint(route_plan const& plan, std::string const& service,
                selector_state& state, std::set<std::string> const& excluded)
{
    service_plan const* const found =
        find_plan(plan, service, service_kind::plain);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    chain_walk walk{*found,
                    positions_in(state, service, *found, plan.generation_),
                    state,
                    0,
                    0,
                    {},
                    {found->layers_}};
    if (!excluded.empty())
    {
        exclude(walk, excluded);
    }
    std::uint32_t const chosen = choose_at(walk, 0, nullptr, false);
    if (chosen == no_candidate)
    {
        return std::nullopt;
    }
    return found->endpoints_[chosen].description_;
}

void record_request_start(selector_state& state, std::string const& address)
{
    state.views_[slot_for(state, address)].own_ += 1;
}

void record_request_end(selector_state& state, std::string const& address)
{
    endpoint_view& view = state.views_[slot_for(state, address)];
    if (view.own_ > 0)
    {
        view.own_ -= 1;
    }
}

void record_request_start(selector_state& state,
                          std::vector<chain_stage> const& chain)
{
    for (chain_stage const& stage : chain)
    {
        record_request_start(state, stage.address_);
    }
}

void record_request_end(selector_state& state,
                        std::vector<chain_stage> const& chain)
{
    for (chain_stage const& stage : chain)
    {
        record_request_end(state, stage.address_);
    }
}

void on_load_report(selector_state& state, std::string const& address,
                    load_report const& load)
{
    endpoint_view& view = state.views_[slot_for(state, address)];
    view.reported_ = load.active_ + load.queued_;
    view.own_at_report_ = view.own_;
    view.kv_free_tokens_ = load.kv_free_tokens_;
    view.has_report_ = true;
}

void on_prefix_cache_result(selector_state& state, std::string const& service,
                            bool is_hit)
{
    service_choice& choice = state.services_[service];
    choice.prefix_hits_ +=
        ((is_hit ? 1.0 : 0.0) - choice.prefix_hits_) * affinity_gain;
}

void remove_absent_endpoints(selector_state& state, route_plan const& plan)
{
    std::set<std::string> planned;
    for (auto const& [name, service] : plan.services_)
    {
        for (planned_endpoint const& endpoint : service.endpoints_)
        {
            planned.insert(endpoint.description_.address_);
        }
    }
    std::unordered_map<std::string, std::uint32_t> kept;
    std::vector<endpoint_view> views;
    for (auto const& [address, slot] : state.slot_of_)
    {
        if (planned.contains(address) || state.views_[slot].own_ > 0)
        {
            kept.emplace(address, static_cast<std::uint32_t>(views.size()));
            views.push_back(state.views_[slot]);
        }
    }
    state.slot_of_ = std::move(kept);
    state.views_ = std::move(views);
    for (auto& [name, choice] : state.services_)
    {
        // No slots make the next choice look them up again.
        choice.slots_.clear();
        choice.generation_ = 0;
    }
}

} // namespace auburnlb
