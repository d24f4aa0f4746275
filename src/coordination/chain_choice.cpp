// Smooth weighted round robin along the planned flow, adjusted for load and
// prefix affinity.
#include "auburnlb/coordination/chain_choice.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace auburnlb
{

namespace
{

/// A selector's own change of load is multiplied by the number of selectors,
/// but at most by this. With a greater factor, a few own requests would
/// outweigh the report when each selector has only a few in progress.
constexpr std::uint32_t max_change_factor = 8;
/// An alternative must be less loaded by one request for each selector, but at
/// most by this many. With more, many selectors would never take an
/// alternative.
constexpr std::uint32_t max_load_margin = 16;
/// Affinity is followed only if the preferred endpoint's load is at most this
/// factor times the load of the round robin's endpoint.
constexpr double affinity_load_factor = 1.25;
/// Below this hit rate, only one request in affinity_probe_interval follows
/// affinity.
constexpr double affinity_min_hit_rate = 0.2;
constexpr std::uint32_t affinity_probe_interval = 16;
/// Weight of the newest result in the moving average of the hit rate.
constexpr double affinity_gain = 0.05;

constexpr std::uint32_t no_candidate =
    std::numeric_limits<std::uint32_t>::max();

/// Requirements on a candidate. If no candidate meets a level, the next, less
/// strict one applies.
enum class strictness
{
    with_free_memory,
    with_good_link,
    reachable,
};

/// Selection of the endpoints for one request, hop by hop.
struct selection_context
{
    service_plan const& plan_;
    service_selection& selection_;
    selector_state& state_;
    std::uint64_t prefix_hash_ = 0;
    std::uint64_t kv_tokens_ = 0;
    /// By endpoint index; empty if nothing is excluded.
    std::vector<char> is_excluded_;
    /// Layer boundaries from which the model's depth can be reached without
    /// excluded endpoints; unused if nothing is excluded.
    std::set<std::uint32_t> viable_boundaries_;
};

std::uint32_t view_index_for(selector_state& state, std::string const& address)
{
    auto const [index, is_new] = state.view_index_of_.try_emplace(
        address, static_cast<std::uint32_t>(state.load_views_.size()));
    if (is_new)
    {
        state.load_views_.emplace_back();
    }
    return index->second;
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

/// Returns random credits, so that the selectors do not choose the same
/// endpoints in the same order.
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

service_selection& selection_for(selector_state& state,
                                 std::string const& service,
                                 service_plan const& plan,
                                 std::uint64_t generation)
{
    service_selection& selection = state.services_[service];
    if (selection.generation_ == generation &&
        selection.view_indexes_.size() == plan.endpoints_.size())
    {
        return selection;
    }
    selection.generation_ = generation;
    selection.view_indexes_.clear();
    for (planned_endpoint const& endpoint : plan.endpoints_)
    {
        selection.view_indexes_.push_back(
            view_index_for(state, endpoint.description_.address_));
    }
    selection.credits_.clear();
    for (planned_hop const& hop : plan.hops_)
    {
        selection.credits_.push_back(initial_credits(state, hop));
    }
    return selection;
}

void exclude(selection_context& context, std::set<std::string> const& addresses)
{
    std::vector<planned_endpoint> const& endpoints = context.plan_.endpoints_;
    context.is_excluded_.assign(endpoints.size(), 0);
    for (std::string const& address : addresses)
    {
        auto const found = std::lower_bound(
            endpoints.begin(), endpoints.end(), address,
            [](planned_endpoint const& endpoint, std::string const& wanted)
            { return endpoint.description_.address_ < wanted; });
        if (found != endpoints.end() && found->description_.address_ == address)
        {
            context.is_excluded_[static_cast<std::size_t>(
                found - endpoints.begin())] = 1;
        }
    }
}

void update_viable_boundaries(selection_context& context)
{
    // A service has few distinct ranges, so a linear search is fastest.
    std::vector<layer_range> ranges;
    for (std::size_t index = 0; index < context.is_excluded_.size(); ++index)
    {
        layer_range const& range =
            context.plan_.endpoints_[index].description_.layers_;
        if (context.is_excluded_[index] == 0 &&
            std::find(ranges.begin(), ranges.end(), range) == ranges.end())
        {
            ranges.push_back(range);
        }
    }
    context.viable_boundaries_ =
        find_viable_boundaries(std::move(ranges), context.plan_.layers_);
}

endpoint_load_view const& load_view_of(selection_context const& context,
                                       std::uint32_t endpoint)
{
    return context.state_
        .load_views_[context.selection_.view_indexes_[endpoint]];
}

double change_factor(selector_state const& state)
{
    return std::min(state.selectors_, max_change_factor);
}

/// Returns the estimated number of requests in progress at an endpoint, over
/// all selectors. Assumes that since the last report the other selectors have
/// sent as many requests as this one. Otherwise all selectors with the same
/// report would send their requests to the same endpoint.
double estimate_in_progress(endpoint_load_view const& view, double factor)
{
    double const own = view.own_requests_;
    if (!view.has_report_)
    {
        return own * factor;
    }
    double const change = own - view.own_requests_at_report_;
    return std::max(own, view.reported_requests_ + change * factor);
}

/// Returns the requests in progress plus the given further ones, in relation to
/// the flow that is planned through the endpoint.
double relative_load(selection_context const& context, std::uint32_t endpoint,
                     double further)
{
    planned_endpoint const& planned = context.plan_.endpoints_[endpoint];
    double const capacity =
        planned.flow_ > 0 ? planned.flow_ : rate_of(planned.description_);
    double const in_progress = estimate_in_progress(
        load_view_of(context, endpoint), change_factor(context.state_));
    return (in_progress + further) / capacity;
}

bool is_eligible(selection_context const& context, std::uint32_t endpoint,
                 planned_endpoint const* previous, strictness level)
{
    if (!context.is_excluded_.empty())
    {
        std::uint32_t const end =
            context.plan_.endpoints_[endpoint].description_.layers_.end_;
        if (context.is_excluded_[endpoint] != 0 ||
            !context.viable_boundaries_.contains(end))
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
    if (level != strictness::with_free_memory || context.kv_tokens_ == 0)
    {
        return true;
    }
    endpoint_load_view const& view = load_view_of(context, endpoint);
    return !view.has_report_ || view.kv_free_tokens_ >= context.kv_tokens_;
}

/// Indexes of the candidates of a hop that may be chosen, and their total
/// weight.
struct eligible_candidates
{
    std::vector<std::uint32_t> indexes_;
    double total_ = 0;
};

eligible_candidates find_eligible(selection_context const& context,
                                  planned_hop const& hop,
                                  planned_endpoint const* previous,
                                  strictness level)
{
    eligible_candidates eligible;
    eligible.indexes_.reserve(hop.candidates_.size());
    for (std::uint32_t index = 0; index < hop.candidates_.size(); ++index)
    {
        planned_candidate const& candidate = hop.candidates_[index];
        if (is_eligible(context, candidate.endpoint_, previous, level))
        {
            eligible.indexes_.push_back(index);
            eligible.total_ += candidate.weight_;
        }
    }
    return eligible;
}

/// Returns the least loaded candidate. Used when no flow is planned through the
/// candidates, as can happen with a plan made before a fault.
std::uint32_t pick_least_loaded(selection_context const& context,
                                planned_hop const& hop,
                                eligible_candidates const& eligible)
{
    std::uint32_t best = no_candidate;
    double best_load = std::numeric_limits<double>::infinity();
    for (std::uint32_t const index : eligible.indexes_)
    {
        double const load =
            relative_load(context, hop.candidates_[index].endpoint_, 1);
        if (load < best_load)
        {
            best = index;
            best_load = load;
        }
    }
    return best;
}

/// Adds the weights to the credits and returns the candidate with the greatest
/// credit.
std::uint32_t pick_round_robin(planned_hop const& hop,
                               eligible_candidates const& eligible,
                               std::vector<double>& credits)
{
    std::uint32_t best = no_candidate;
    for (std::uint32_t const index : eligible.indexes_)
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

std::uint32_t pick_at_random(selection_context& context, planned_hop const& hop,
                             eligible_candidates const& eligible)
{
    double rest = next_uniform(context.state_) * eligible.total_;
    std::uint32_t last = eligible.indexes_.front();
    for (std::uint32_t const index : eligible.indexes_)
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

/// Weighted rendezvous hashing: all selectors prefer the same endpoint for a
/// prefix without a shared table, and prefixes are spread in proportion to the
/// flow.
std::uint32_t pick_by_prefix(selection_context const& context,
                             planned_hop const& hop,
                             eligible_candidates const& eligible)
{
    constexpr double scale = 1.0 / 18446744073709551616.0;
    std::uint32_t best = eligible.indexes_.front();
    double best_score = std::numeric_limits<double>::infinity();
    for (std::uint32_t const index : eligible.indexes_)
    {
        planned_candidate const& candidate = hop.candidates_[index];
        if (candidate.weight_ <= 0)
        {
            continue;
        }
        std::uint64_t const hash =
            mix(context.prefix_hash_ ^
                context.plan_.endpoints_[candidate.endpoint_].address_hash_);
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

bool follows_prefix(selection_context& context)
{
    if (context.prefix_hash_ == 0)
    {
        return false;
    }
    if (context.selection_.prefix_hit_rate_ >= affinity_min_hit_rate)
    {
        return true;
    }
    context.selection_.low_hit_rate_requests_ += 1;
    return context.selection_.low_hit_rate_requests_ %
               affinity_probe_interval ==
           0;
}

std::uint32_t pick_weighted(selection_context& context, planned_hop const& hop,
                            eligible_candidates const& eligible,
                            std::vector<double>& credits, bool with_prefix)
{
    std::uint32_t const round_robin = pick_round_robin(hop, eligible, credits);
    std::uint32_t const round_robin_endpoint =
        hop.candidates_[round_robin].endpoint_;
    if (with_prefix)
    {
        std::uint32_t const preferred = pick_by_prefix(context, hop, eligible);
        double const load =
            relative_load(context, hop.candidates_[preferred].endpoint_, 1);
        if (load <= relative_load(context, round_robin_endpoint, 1) *
                        affinity_load_factor)
        {
            credits[preferred] -= eligible.total_;
            return preferred;
        }
    }
    // The credit is spent even if another candidate is chosen instead.
    // Otherwise the round robin would return an endpoint that has slowed down
    // again and again.
    credits[round_robin] -= eligible.total_;
    std::uint32_t const other = pick_at_random(context, hop, eligible);
    // The random candidate is chosen only if it is less loaded even with this
    // request and with some of those that other selectors would send to it for
    // the same reason.
    double const other_load =
        relative_load(context, hop.candidates_[other].endpoint_,
                      std::min(context.state_.selectors_, max_load_margin));
    return other_load < relative_load(context, round_robin_endpoint, 0)
               ? other
               : round_robin;
}

/// Returns the index of the endpoint chosen at a hop, or no_candidate.
std::uint32_t choose_at_hop(selection_context& context, std::uint32_t hop_index,
                            planned_endpoint const* previous, bool with_prefix)
{
    planned_hop const& hop = context.plan_.hops_[hop_index];
    for (strictness const level :
         {strictness::with_free_memory, strictness::with_good_link,
          strictness::reachable})
    {
        eligible_candidates const eligible =
            find_eligible(context, hop, previous, level);
        if (eligible.indexes_.empty())
        {
            continue;
        }
        std::uint32_t const index =
            eligible.total_ > 0
                ? pick_weighted(context, hop, eligible,
                                context.selection_.credits_[hop_index],
                                with_prefix)
                : pick_least_loaded(context, hop, eligible);
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

selector_state make_selector_state(std::uint64_t seed, std::uint32_t selectors)
{
    selector_state state;
    state.random_.seed(seed);
    state.selectors_ = std::max(1U, selectors);
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
    selection_context context{
        *found,    selection_for(state, service, *found, plan.generation_),
        state,     prefix_hash,
        kv_tokens, {},
        {}};
    if (!excluded.empty())
    {
        exclude(context, excluded);
        update_viable_boundaries(context);
    }
    bool const with_prefix = follows_prefix(context);
    std::vector<chain_stage> chain;
    planned_endpoint const* previous = nullptr;
    std::uint32_t hop = 0;
    while (hop != no_hop)
    {
        std::uint32_t const chosen =
            choose_at_hop(context, hop, previous, with_prefix);
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
    selection_context context{
        *found,
        selection_for(state, service, *found, plan.generation_),
        state,
        0,
        0,
        {},
        {found->layers_}};
    if (!excluded.empty())
    {
        exclude(context, excluded);
    }
    std::uint32_t const chosen = choose_at_hop(context, 0, nullptr, false);
    if (chosen == no_candidate)
    {
        return std::nullopt;
    }
    return found->endpoints_[chosen].description_;
}

void record_request_start(selector_state& state, std::string const& address)
{
    state.load_views_[view_index_for(state, address)].own_requests_ += 1;
}

void record_request_end(selector_state& state, std::string const& address)
{
    endpoint_load_view& view =
        state.load_views_[view_index_for(state, address)];
    if (view.own_requests_ > 0)
    {
        view.own_requests_ -= 1;
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
    endpoint_load_view& view =
        state.load_views_[view_index_for(state, address)];
    view.reported_requests_ = load.active_ + load.queued_;
    view.own_requests_at_report_ = view.own_requests_;
    view.kv_free_tokens_ = load.kv_free_tokens_;
    view.has_report_ = true;
}

void on_prefix_cache_result(selector_state& state, std::string const& service,
                            bool is_hit)
{
    service_selection& selection = state.services_[service];
    selection.prefix_hit_rate_ +=
        ((is_hit ? 1.0 : 0.0) - selection.prefix_hit_rate_) * affinity_gain;
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
    std::vector<endpoint_load_view> load_views;
    for (auto const& [address, index] : state.view_index_of_)
    {
        if (planned.contains(address) ||
            state.load_views_[index].own_requests_ > 0)
        {
            kept.emplace(address,
                         static_cast<std::uint32_t>(load_views.size()));
            load_views.push_back(state.load_views_[index]);
        }
    }
    state.view_index_of_ = std::move(kept);
    state.load_views_ = std::move(load_views);
    for (auto& [name, selection] : state.services_)
    {
        // With no indexes and generation 0, the next selection looks them up
        // again.
        selection.view_indexes_.clear();
        selection.generation_ = 0;
    }
}

} // namespace auburnlb
