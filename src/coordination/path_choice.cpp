// Search for the path with the least cost through the layers.
#include "auburnlb/coordination/path_choice.hpp"

#include <algorithm>
#include <limits>

namespace auburnlb
{

namespace
{

constexpr double unreachable = std::numeric_limits<double>::infinity();
constexpr double ms_per_s = 1'000;
constexpr double bits_per_byte = 8;
constexpr double bits_per_megabit = 1e6;

/// Time of a frame between two engines in the same data centre, in ms.
constexpr double local_hop_ms = 0.3;
/// One-way time of a frame between data centres, in ms.
constexpr double remote_hop_ms = 1.0;
/// Fraction of the link's rate that a transfer is assumed to get, because the
/// link between data centres is shared.
constexpr double shared_link_share = 0.25;

/// Expected wait of a frame that arrives at a busy engine, as a fraction of the
/// engine's pass over all its layers.
constexpr double busy_wait_share = 0.8;

// Penalties that are added to the cost of a path, in ms of a stream's time.
/// For moving the activations of a prompt between engines.
constexpr double hop_penalty_ms = 60;
/// For using a link that other streams need as well and that may be slow or
/// fail.
constexpr double remote_hop_penalty_ms = 1'500;
/// For a response whose bytes cross between data centres.
constexpr double remote_first_penalty_ms = 1'000;
/// For a first engine that may refuse the request because it has no free slot.
constexpr double full_first_penalty_ms = 1'500;
/// Number of engines in the longest path that engines accept.
constexpr std::size_t max_path_engines = 32;

/// Lower bound of an engine's free fraction of KV cache, which divides its
/// cost.
constexpr double min_free_share = 0.08;

/// Costs of one engine for a stream.
struct engine_cost
{
    double prefill_ms_per_layer_ = 0;
    double token_ms_per_layer_ = 0;
    /// The same if the engine's batch is full and each step prefills prompts.
    double busy_token_ms_per_layer_ = 0;
    /// Time that an event waits until the engine's previous pass is over.
    double wait_ms_ = 0;
    /// Weighted cost of one layer over the whole stream, in ms.
    double cost_per_layer_ = 0;
    /// Number of layers that fit into the free KV cache.
    std::uint32_t max_layers_ = 0;
};

/// The cheapest partial path that ends at a layer boundary with its last engine
/// in a data centre. One is kept for each data centre, because the cheapest of
/// all may end in a data centre where no engine has the next layers.
struct partial_path
{
    double cost_ = unreachable;
    std::size_t engine_ = 0;
    /// Index of the partial path that the last engine extends.
    std::size_t previous_ = 0;
    /// Index of the boundary at which the partial path ends.
    std::size_t boundary_ = 0;
    std::size_t engine_count_ = 0;
};

/// Index of the partial path without engines.
constexpr std::size_t empty_path = 0;

double tokens_of(path_demand const& demand)
{
    return demand.prompt_tokens_ + demand.answer_tokens_;
}

double held_layers(path_engine const& engine)
{
    return std::max(
        1.0, static_cast<double>(engine.layers_.end_ - engine.layers_.first_));
}

/// Returns the time of a decoding step over all layers with this many streams
/// of mean length, in ms, on an accelerator with factor 1.
double decoding_step_ms(model_profile const& model, double streams)
{
    double const context_k =
        streams * (model.mean_prompt_tokens_ + model.mean_output_tokens_) /
        ms_per_s;
    return model.step_ms_ + model.step_ms_per_request_ * streams +
           model.step_ms_per_1k_context_ * context_k;
}

/// Returns how much longer a decoding step over all layers takes at most if it
/// prefills prompts as well, in ms, on an accelerator with factor 1.
double prefill_step_ms(model_profile const& model)
{
    return ms_per_s / model.prefill_tokens_per_s_ *
           model.prefill_tokens_per_step_;
}

/// Returns the time that an engine adds to each event, in ms.
/// @param layers the layers that it runs for the stream
double event_ms(path_engine const& engine, model_profile const& model,
                double token_ms_per_layer, double layers)
{
    return token_ms_per_layer *
           (layers + held_layers(engine) * busy_wait_share) *
           static_cast<double>(model.steps_per_event_) * engine.cost_factor_;
}

engine_cost cost_of(path_engine const& engine, model_profile const& model,
                    path_demand const& demand)
{
    engine_cost cost;
    double const layers = std::max(1.0, static_cast<double>(model.layers_));
    double const held = held_layers(engine);
    double const prefill_ms_per_token = ms_per_s / model.prefill_tokens_per_s_ *
                                        engine.accelerator_.prefill_factor_ /
                                        layers;
    double const waiting_tokens = engine.prefill_backlog_ / held;
    cost.prefill_ms_per_layer_ =
        prefill_ms_per_token * (demand.prompt_tokens_ + waiting_tokens);
    double const streams = static_cast<double>(engine.streams_) + 1;
    double const full_batch =
        std::max(streams, static_cast<double>(model.batch_slots_));
    accelerator_profile const& accelerator = engine.accelerator_;
    cost.token_ms_per_layer_ =
        decoding_step_ms(model, streams) * accelerator.step_factor_ / layers;
    cost.busy_token_ms_per_layer_ =
        (decoding_step_ms(model, full_batch) * accelerator.step_factor_ +
         prefill_step_ms(model) * accelerator.prefill_factor_) /
        layers;
    cost.wait_ms_ = event_ms(engine, model, cost.token_ms_per_layer_, 0);
    double const usable_kv = engine.kv_capacity_ * demand.max_kv_share_;
    double const free_kv = usable_kv - engine.kv_reserved_;
    double const compared_kv =
        usable_kv - engine.compared_kv_reserved_.value_or(engine.kv_reserved_);
    double const free_share = std::clamp(
        usable_kv <= 0 ? 1 : compared_kv / usable_kv, min_free_share, 1.0);
    double const weighted_prefill_ms =
        prefill_ms_per_token *
        (demand.prompt_tokens_ + waiting_tokens * demand.backlog_weight_);
    cost.cost_per_layer_ = (weighted_prefill_ms +
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

/// Returns whether the partial path contains the engine.
bool contains_engine(std::vector<partial_path> const& partial_paths,
                     std::size_t at, std::size_t engine)
{
    while (at != empty_path)
    {
        if (partial_paths[at].engine_ == engine)
        {
            return true;
        }
        at = partial_paths[at].previous_;
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
    if (!engine.may_be_first_)
    {
        return false;
    }
    auto const& allowed = demand.allowed_first_ids_;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(),
                                        engine.id_) != allowed.end();
}

/// Inputs and partial results of the search.
struct path_search
{
    std::vector<path_engine> const& engines_;
    model_profile const& model_;
    path_demand const& demand_;
    /// By engine index.
    std::vector<engine_cost> costs_;
    std::vector<std::string> data_centres_;
    std::vector<std::uint32_t> boundaries_;
    /// The empty partial path, then for each boundary except the first one
    /// partial path for each data centre.
    std::vector<partial_path> partial_paths_;
};

/// Returns the index of the partial path that ends at a boundary in the
/// engine's data centre.
std::size_t partial_path_index(path_search const& state, std::size_t boundary,
                               std::size_t engine)
{
    auto const place =
        std::lower_bound(state.data_centres_.begin(), state.data_centres_.end(),
                         state.engines_[engine].data_centre_);
    return 1 + (boundary - 1) * state.data_centres_.size() +
           static_cast<std::size_t>(place - state.data_centres_.begin());
}

/// Returns whether extending a partial path by the engine crosses between data
/// centres.
bool is_crossing(path_search const& state, std::size_t at, std::size_t engine)
{
    return at != empty_path &&
           state.engines_[state.partial_paths_[at].engine_].data_centre_ !=
               state.engines_[engine].data_centre_;
}

/// Returns the transfer time, in ms, that extending a partial path by the
/// engine adds to the first event.
double first_event_hop_ms(path_search const& state, std::size_t at,
                          std::size_t engine)
{
    if (at == empty_path)
    {
        return 0;
    }
    return hop_ms(state.engines_[state.partial_paths_[at].engine_],
                  state.engines_[engine], state.model_, state.demand_);
}

double events_of(path_search const& state)
{
    return state.demand_.answer_tokens_ /
           std::max(1U, state.model_.steps_per_event_);
}

/// Returns the cost over the whole stream of extending a partial path by the
/// engine, in ms, without the cost of the engine itself.
double hop_cost(path_search const& state, std::size_t at, std::size_t engine)
{
    std::string const& to = state.engines_[engine].data_centre_;
    if (at == empty_path)
    {
        // The count also includes streams for which the engine is not the
        // first one, so an engine that seems full may still have a free slot.
        path_engine const& first = state.engines_[engine];
        double const waiting_ms =
            first.streams_ < first.slots_ ? 0 : full_first_penalty_ms;
        return waiting_ms +
               (to == state.demand_.data_centre_ ? 0 : remote_first_penalty_ms);
    }
    bool const is_local = !is_crossing(state, at, engine);
    double const frames_ms =
        events_of(state) * (is_local ? local_hop_ms : remote_hop_ms);
    return first_event_hop_ms(state, at, engine) + frames_ms +
           (is_local ? hop_penalty_ms : remote_hop_penalty_ms);
}

bool may_extend(path_search const& state, std::size_t at, std::size_t engine)
{
    path_engine const& next = state.engines_[engine];
    std::uint32_t const first =
        state.boundaries_[state.partial_paths_[at].boundary_];
    if (!next.is_usable_ || next.layers_.first_ > first ||
        next.layers_.end_ <= first ||
        contains_engine(state.partial_paths_, at, engine))
    {
        return false;
    }
    if (at == empty_path)
    {
        return may_be_first(state.demand_, next);
    }
    return state.demand_.may_cross_ || !is_crossing(state, at, engine);
}

/// Extends a partial path by one engine, up to each later boundary that the
/// engine reaches.
void extend(path_search& state, std::size_t at, std::size_t engine)
{
    if (!may_extend(state, at, engine))
    {
        return;
    }
    path_engine const& next = state.engines_[engine];
    std::size_t const begin = state.partial_paths_[at].boundary_;
    std::uint32_t const first = state.boundaries_[begin];
    engine_cost const& cost = state.costs_[engine];
    double const base = state.partial_paths_[at].cost_ +
                        hop_cost(state, at, engine) +
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
        partial_path& current_best =
            state.partial_paths_[partial_path_index(state, end, engine)];
        if (total < current_best.cost_)
        {
            current_best = {total, engine, at, end,
                            state.partial_paths_[at].engine_count_ + 1};
        }
    }
}

/// Builds the complete path that ends with this partial path.
path_choice build_choice(path_search const& state, std::size_t at)
{
    path_choice choice;
    while (at != empty_path)
    {
        partial_path const& last = state.partial_paths_[at];
        path_engine const& engine = state.engines_[last.engine_];
        engine_cost const& cost = state.costs_[last.engine_];
        layer_range const layers{
            state.boundaries_[state.partial_paths_[last.previous_].boundary_],
            state.boundaries_[last.boundary_]};
        choice.path_.parts_.push_back({engine.id_, engine.address_, layers});
        auto const count = static_cast<double>(layers.end_ - layers.first_);
        double const hop =
            first_event_hop_ms(state, last.previous_, last.engine_);
        double const pass_ms =
            event_ms(engine, state.model_, cost.token_ms_per_layer_, count);
        double const busy_pass_ms = event_ms(
            engine, state.model_, cost.busy_token_ms_per_layer_, count);
        choice.first_event_ms_ +=
            count * cost.prefill_ms_per_layer_ * engine.cost_factor_ + hop +
            pass_ms;
        bool const is_remote = is_crossing(state, last.previous_, last.engine_);
        double const frame_ms = is_remote ? remote_hop_ms : local_hop_ms;
        choice.event_gap_ms_ += pass_ms + frame_ms;
        choice.busy_event_gap_ms_ += busy_pass_ms + frame_ms;
        choice.crossings_ += is_remote ? 1 : 0;
        at = last.previous_;
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
    path_search state{engines, model, demand, {}, data_centres_of(engines),
                      {},      {}};
    state.costs_.reserve(engines.size());
    for (path_engine const& engine : engines)
    {
        state.costs_.push_back(cost_of(engine, model, demand));
    }
    state.boundaries_ = boundaries_of(engines, model.layers_);
    std::size_t const data_centre_count = state.data_centres_.size();
    state.partial_paths_.resize(1 + (state.boundaries_.size() - 1) *
                                        data_centre_count);
    state.partial_paths_.front().cost_ = 0;
    std::size_t const first_complete =
        state.partial_paths_.size() - data_centre_count;
    for (std::size_t at = empty_path; at < first_complete; ++at)
    {
        if (state.partial_paths_[at].cost_ == unreachable ||
            state.partial_paths_[at].engine_count_ >= max_path_engines)
        {
            continue;
        }
        for (std::size_t engine = 0; engine < engines.size(); ++engine)
        {
            extend(state, at, engine);
        }
    }
    auto const best =
        std::min_element(state.partial_paths_.begin() +
                             static_cast<std::ptrdiff_t>(first_complete),
                         state.partial_paths_.end(),
                         [](partial_path const& left, partial_path const& right)
                         { return left.cost_ < right.cost_; });
    if (best == state.partial_paths_.end() || best->cost_ == unreachable)
    {
        return std::nullopt;
    }
    return build_choice(
        state, static_cast<std::size_t>(best - state.partial_paths_.begin()));
}

} // namespace auburnlb
