// Shortest paths through the layers.
#include "auburnlb/coordination/path_choice.hpp"

#include <algorithm>
#include <limits>

namespace auburnlb
{

namespace
{

constexpr double no_way = std::numeric_limits<double>::infinity();
constexpr double ms_per_s = 1'000;
constexpr double bits_per_byte = 8;
constexpr double bits_per_megabit = 1e6;

/// Time of a frame between two engines of a data centre, in ms.
constexpr double local_hop_ms = 0.3;
/// One way between data centres, in ms.
constexpr double remote_hop_ms = 1.0;
/// The link between data centres is shared, so a transfer is taken to get this
/// part of it.
constexpr double shared_link_share = 0.25;

/// Part of an engine's pass over all its layers for which what arrives at a
/// busy engine waits.
constexpr double waited_share = 0.8;

// What else counts against a way, as ms of a stream's time.
/// The activations of a prompt that are moved between engines.
constexpr double hop_penalty_ms = 60;
/// A link that other streams need as well, and that may be slow or cut.
constexpr double remote_hop_penalty_ms = 1'500;
/// An answer whose bytes cross between data centres.
constexpr double remote_first_penalty_ms = 1'000;
/// A first engine that may refuse for want of a slot.
constexpr double full_first_penalty_ms = 1'500;
/// The longest path that engines accept.
constexpr std::size_t max_parts = 32;

/// Least part of an engine's time that counts as free when it is nearly full.
constexpr double least_free_share = 0.08;

/// Costs of one engine for the demand.
struct engine_cost
{
    double prefill_ms_per_layer_ = 0;
    double token_ms_per_layer_ = 0;
    /// Time for which an event waits until the engine's pass before is over.
    double wait_ms_ = 0;
    /// Weighed sum over the whole answer.
    double cost_per_layer_ = 0;
    /// Layers that the free KV cache allows.
    std::uint32_t max_layers_ = 0;
};

/// The cheapest way to one layer boundary whose last engine is in one data
/// centre. Ways of different data centres are kept apart: the cheapest may end
/// where no engine goes on.
struct way
{
    double cost_ = no_way;
    std::size_t engine_ = 0;
    /// Index of the way that the last engine goes on from.
    std::size_t before_ = 0;
    /// Index of the boundary that it ends at.
    std::size_t boundary_ = 0;
    std::size_t parts_ = 0;
};

/// Index of the way that has no engine yet.
constexpr std::size_t start = 0;

double tokens_of(path_demand const& demand)
{
    return demand.prompt_tokens_ + demand.answer_tokens_;
}

engine_cost cost_of(path_engine const& engine, model_profile const& model,
                    path_demand const& demand)
{
    engine_cost cost;
    double const layers = std::max(1.0, static_cast<double>(model.layers_));
    double const held = std::max(
        1.0, static_cast<double>(engine.layers_.end_ - engine.layers_.first_));
    double const prefill_ms_per_token = ms_per_s / model.prefill_tokens_per_s_ *
                                        engine.accelerator_.prefill_factor_ /
                                        layers;
    double const waiting_tokens = engine.prefill_backlog_ / held;
    cost.prefill_ms_per_layer_ =
        prefill_ms_per_token * (demand.prompt_tokens_ + waiting_tokens);
    double const streams = static_cast<double>(engine.streams_) + 1;
    double const context_k =
        streams * (model.mean_prompt_tokens_ + model.mean_output_tokens_) /
        ms_per_s;
    double const step_ms = model.step_ms_ +
                           model.step_ms_per_request_ * streams +
                           model.step_ms_per_1k_context_ * context_k;
    cost.token_ms_per_layer_ =
        step_ms * engine.accelerator_.step_factor_ / layers;
    cost.wait_ms_ = cost.token_ms_per_layer_ * held *
                    static_cast<double>(model.steps_per_event_) * waited_share *
                    engine.cost_factor_;
    double const free_kv =
        engine.kv_capacity_ * demand.max_kv_share_ - engine.kv_reserved_;
    double const free_share =
        std::clamp(engine.kv_capacity_ <= 0 ? 1 : free_kv / engine.kv_capacity_,
                   least_free_share, 1.0);
    cost.cost_per_layer_ = (cost.prefill_ms_per_layer_ +
                            cost.token_ms_per_layer_ * demand.answer_tokens_) *
                           engine.cost_factor_ / free_share;
    double const per_layer = std::max(1.0, tokens_of(demand));
    cost.max_layers_ = static_cast<std::uint32_t>(
        std::clamp(free_kv / per_layer, 0.0, layers));
    return cost;
}

double hop_ms(path_engine const& from, path_engine const& to,
              model_profile const& model, path_demand const& demand)
{
    if (from.data_centre_ == to.data_centre_)
    {
        return local_hop_ms;
    }
    if (model.data_centre_link_mbps_ <= 0)
    {
        return remote_hop_ms;
    }
    double const bits = demand.prompt_tokens_ *
                        model.activation_bytes_per_token_ * bits_per_byte;
    double const bits_per_ms = model.data_centre_link_mbps_ * bits_per_megabit /
                               ms_per_s * shared_link_share;
    return remote_hop_ms + bits / bits_per_ms;
}

std::vector<std::uint32_t>
boundaries_of(std::vector<path_engine> const& engines, std::uint32_t layers)
{
    std::vector<std::uint32_t> boundaries{0, layers};
    for (path_engine const& engine : engines)
    {
        if (engine.is_usable_)
        {
            boundaries.push_back(std::min(engine.layers_.first_, layers));
            boundaries.push_back(std::min(engine.layers_.end_, layers));
        }
    }
    std::sort(boundaries.begin(), boundaries.end());
    boundaries.erase(std::unique(boundaries.begin(), boundaries.end()),
                     boundaries.end());
    return boundaries;
}

/// Whether the engine is on this way already.
bool is_on_way(std::vector<way> const& ways, std::size_t at, std::size_t engine)
{
    while (at != start)
    {
        if (ways[at].engine_ == engine)
        {
            return true;
        }
        at = ways[at].before_;
    }
    return false;
}

std::vector<std::string>
data_centres_of(std::vector<path_engine> const& engines)
{
    std::vector<std::string> names;
    names.reserve(engines.size());
    for (path_engine const& engine : engines)
    {
        names.push_back(engine.data_centre_);
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

bool may_be_first(path_demand const& demand, path_engine const& engine)
{
    auto const& allowed = demand.allowed_first_ids_;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                        engine.id_) != allowed.end();
}

struct search
{
    std::vector<path_engine> const& engines_;
    model_profile const& model_;
    path_demand const& demand_;
    std::vector<engine_cost> costs_;
    std::vector<std::string> data_centres_;
    std::vector<std::uint32_t> boundaries_;
    /// The start, then for each boundary but the first one way for each data
    /// centre.
    std::vector<way> ways_;
};

/// Index of the way that ends at a boundary with this engine.
std::size_t way_index(search const& state, std::size_t boundary,
                      std::size_t engine)
{
    auto const place =
        std::lower_bound(state.data_centres_.begin(), state.data_centres_.end(),
                         state.engines_[engine].data_centre_);
    return 1 + (boundary - 1) * state.data_centres_.size() +
           static_cast<std::size_t>(place - state.data_centres_.begin());
}

/// Whether the step from a way to the engine crosses between data centres.
bool is_crossing(search const& state, std::size_t at, std::size_t engine)
{
    return at != start &&
           state.engines_[state.ways_[at].engine_].data_centre_ !=
               state.engines_[engine].data_centre_;
}

/// Time that the step from a way to the engine adds to the first event.
double entry_ms(search const& state, std::size_t at, std::size_t engine)
{
    if (at == start)
    {
        return 0;
    }
    return hop_ms(state.engines_[state.ways_[at].engine_],
                  state.engines_[engine], state.model_, state.demand_);
}

double events_of(search const& state)
{
    return state.demand_.answer_tokens_ /
           std::max(1U, state.model_.steps_per_event_);
}

/// What the step from a way to the engine costs over the whole stream.
double entry_cost(search const& state, std::size_t at, std::size_t engine)
{
    std::string const& to = state.engines_[engine].data_centre_;
    if (at == start)
    {
        // Streams that only pass through count as well, so that an engine that
        // seems full may still have a slot.
        path_engine const& first = state.engines_[engine];
        double const waiting_ms =
            first.streams_ < first.slots_ ? 0 : full_first_penalty_ms;
        return waiting_ms +
               (to == state.demand_.data_centre_ ? 0 : remote_first_penalty_ms);
    }
    bool const is_local = !is_crossing(state, at, engine);
    double const frames_ms =
        events_of(state) * (is_local ? local_hop_ms : remote_hop_ms);
    return entry_ms(state, at, engine) + frames_ms +
           (is_local ? hop_penalty_ms : remote_hop_penalty_ms);
}

bool may_extend(search const& state, std::size_t at, std::size_t engine)
{
    path_engine const& next = state.engines_[engine];
    std::uint32_t const first = state.boundaries_[state.ways_[at].boundary_];
    if (!next.is_usable_ || next.layers_.first_ > first ||
        next.layers_.end_ <= first || is_on_way(state.ways_, at, engine))
    {
        return false;
    }
    if (at == start)
    {
        return may_be_first(state.demand_, next);
    }
    return state.demand_.may_cross_ || !is_crossing(state, at, engine);
}

/// Extends a way by one engine, up to each later boundary that the engine
/// reaches.
void extend(search& state, std::size_t at, std::size_t engine)
{
    if (!may_extend(state, at, engine))
    {
        return;
    }
    path_engine const& next = state.engines_[engine];
    std::size_t const begin = state.ways_[at].boundary_;
    std::uint32_t const first = state.boundaries_[begin];
    engine_cost const& cost = state.costs_[engine];
    double const base = state.ways_[at].cost_ + entry_cost(state, at, engine) +
                        events_of(state) * cost.wait_ms_;
    for (std::size_t end = begin + 1;
         end < state.boundaries_.size() &&
         state.boundaries_[end] <= next.layers_.end_;
         ++end)
    {
        std::uint32_t const layers = state.boundaries_[end] - first;
        if (layers > cost.max_layers_)
        {
            return;
        }
        double const total =
            base + cost.cost_per_layer_ * static_cast<double>(layers);
        way& known = state.ways_[way_index(state, end, engine)];
        if (total < known.cost_)
        {
            known = {total, engine, at, end, state.ways_[at].parts_ + 1};
        }
    }
}

path_choice collect(search const& state, std::size_t at)
{
    path_choice choice;
    while (at != start)
    {
        way const& last = state.ways_[at];
        path_engine const& engine = state.engines_[last.engine_];
        engine_cost const& cost = state.costs_[last.engine_];
        layer_range const layers{
            state.boundaries_[state.ways_[last.before_].boundary_],
            state.boundaries_[last.boundary_]};
        choice.path_.parts_.push_back({engine.id_, engine.address_, layers});
        auto const count = static_cast<double>(layers.end_ - layers.first_);
        double const hop = entry_ms(state, last.before_, last.engine_);
        double const pass_ms =
            cost.wait_ms_ + count * cost.token_ms_per_layer_ *
                                engine.cost_factor_ *
                                state.model_.steps_per_event_;
        choice.first_event_ms_ +=
            count * cost.prefill_ms_per_layer_ * engine.cost_factor_ + hop +
            pass_ms;
        bool const is_remote = is_crossing(state, last.before_, last.engine_);
        choice.event_gap_ms_ +=
            pass_ms + (is_remote ? remote_hop_ms : local_hop_ms);
        choice.crossings_ += is_remote ? 1 : 0;
        at = last.before_;
    }
    std::reverse(choice.path_.parts_.begin(), choice.path_.parts_.end());
    return choice;
}

} // namespace

double kv_demand(path_demand const& demand, layer_range const& layers)
{
    return tokens_of(demand) * static_cast<double>(layers.end_ - layers.first_);
}

std::optional<path_choice> choose_path(std::vector<path_engine> const& engines,
                                       model_profile const& model,
                                       path_demand const& demand)
{
    search state{engines, model, demand, {}, data_centres_of(engines), {}, {}};
    state.costs_.reserve(engines.size());
    for (path_engine const& engine : engines)
    {
        state.costs_.push_back(cost_of(engine, model, demand));
    }
    state.boundaries_ = boundaries_of(engines, model.layers_);
    std::size_t const centres = state.data_centres_.size();
    state.ways_.resize(1 + (state.boundaries_.size() - 1) * centres);
    state.ways_.front().cost_ = 0;
    std::size_t const first_last = state.ways_.size() - centres;
    for (std::size_t at = start; at < first_last; ++at)
    {
        if (state.ways_[at].cost_ == no_way ||
            state.ways_[at].parts_ >= max_parts)
        {
            continue;
        }
        for (std::size_t engine = 0; engine < engines.size(); ++engine)
        {
            extend(state, at, engine);
        }
    }
    auto const best = std::min_element(
        state.ways_.begin() + static_cast<std::ptrdiff_t>(first_last),
        state.ways_.end(),
        [](way const& left, way const& right)
        { return left.cost_ < right.cost_; });
    if (best == state.ways_.end() || best->cost_ == no_way)
    {
        return std::nullopt;
    }
    return collect(state, static_cast<std::size_t>(best - state.ways_.begin()));
}

} // namespace auburnlb
