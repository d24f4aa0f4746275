// Long prompts, the engines that may take them, and the paths of short ones.
#include "auburnlb/coordination/prefill_share.hpp"

#include <algorithm>
#include <utility>

namespace auburnlb
{

namespace
{

constexpr double ms_per_s = 1'000;

/// A prompt whose prefill takes more of the shortest latency target is long.
constexpr double long_share = 0.25;

/// Part of the shortest latency target that the backlog of an engine may take
/// when a long prompt is added to it.
constexpr double backlog_share = 0.5;

/// Part of the rate of usual streams that long prompts leave to short ones.
constexpr double short_rate_share = 0.5;

/// Short prompts are expected until only long ones have arrived for this
/// multiple of the shortest latency target.
constexpr int mix_targets = 10;

/// Weight of the backlog in the search for a path with an earlier first event.
/// Above 1, so that backlog outweighs the cost of decoding at a slower engine.
constexpr double early_backlog_weight = 20;

double prefill_ms_per_layer(path_engine const& engine,
                            model_profile const& model)
{
    double const layers = std::max(1.0, static_cast<double>(model.layers_));
    return ms_per_s / model.prefill_tokens_per_s_ *
           engine.accelerator_.prefill_factor_ * engine.cost_factor_ / layers;
}

double held_layers(path_engine const& engine)
{
    return engine.layers_.end_ <= engine.layers_.first_
               ? 0
               : static_cast<double>(engine.layers_.end_ -
                                     engine.layers_.first_);
}

/// Returns how many usual streams the engine could run one after the other in a
/// ms. Decoding counts too, as it alternates with the chunks of a prefill.
double stream_rate(path_engine const& engine, model_profile const& model)
{
    double const step_ms_per_layer =
        model.step_ms_ * engine.accelerator_.step_factor_ *
        engine.cost_factor_ / std::max(1.0, static_cast<double>(model.layers_));
    double const ms_per_layer = std::max(1.0, model.mean_prompt_tokens_) *
                                    prefill_ms_per_layer(engine, model) +
                                model.mean_output_tokens_ * step_ms_per_layer;
    return 1 / (ms_per_layer * held_layers(engine));
}

double ms_of(nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns the layers that the engine runs on the path.
double layers_on_path(path_engine const& engine, stream_path const& path)
{
    auto const part = std::find_if(path.parts_.begin(), path.parts_.end(),
                                   [&engine](path_part const& each)
                                   { return each.endpoint_id_ == engine.id_; });
    return part == path.parts_.end()
               ? 0
               : static_cast<double>(part->layers_.end_ - part->layers_.first_);
}

} // namespace

milliseconds shortest_latency_target(route_table const& table,
                                     std::string const& service)
{
    milliseconds shortest{0};
    for (route const& each : table.routes_)
    {
        bool const leads_there = std::any_of(
            each.services_.begin(), each.services_.end(),
            [&service](weighted_service const& target)
            { return target.weight_ > 0 && target.service_ == service; });
        if (each.kind_ == route_kind::stream && leads_there &&
            each.latency_target_ > milliseconds(0) &&
            (shortest == milliseconds(0) || each.latency_target_ < shortest))
        {
            shortest = each.latency_target_;
        }
    }
    return shortest;
}

double backlog_ms(path_engine const& engine, model_profile const& model)
{
    return engine.prefill_backlog_ * prefill_ms_per_layer(engine, model);
}

bool is_long_prompt(double prompt_tokens, stream_path const& path,
                    std::vector<path_engine> const& engines,
                    model_profile const& model, milliseconds shortest_target)
{
    double prefill_ms = 0;
    for (path_engine const& each : engines)
    {
        prefill_ms += prompt_tokens * layers_on_path(each, path) *
                      prefill_ms_per_layer(each, model);
    }
    return prefill_ms > long_share * ms_of(shortest_target);
}

bool may_take_long(path_engine const& engine, model_profile const& model,
                   milliseconds shortest_target)
{
    return backlog_ms(engine, model) < backlog_share * ms_of(shortest_target);
}

bool leaves_room_for_short(double prompt_tokens, stream_path const& path,
                           std::vector<path_engine> const& engines,
                           model_profile const& model,
                           milliseconds shortest_target)
{
    std::vector<double> all(model.layers_, 0);
    std::vector<double> free(model.layers_, 0);
    bool is_any_busy = false;
    for (path_engine const& each : engines)
    {
        if (!each.is_usable_ || held_layers(each) <= 0)
        {
            continue;
        }
        double const rate = stream_rate(each, model);
        bool const is_free = may_take_long(each, model, shortest_target);
        is_any_busy = is_any_busy || !is_free;
        path_engine after = each;
        after.prefill_backlog_ += prompt_tokens * layers_on_path(each, path);
        bool const stays_free = may_take_long(after, model, shortest_target);
        std::uint32_t const end = std::min(each.layers_.end_, model.layers_);
        for (std::uint32_t at = each.layers_.first_; at < end; ++at)
        {
            all[at] += rate;
            free[at] += stays_free ? rate : 0;
        }
    }
    if (!is_any_busy)
    {
        return true;
    }
    for (std::size_t at = 0; at < all.size(); ++at)
    {
        if (free[at] < short_rate_share * all[at])
        {
            return false;
        }
    }
    return true;
}

void record_prompt(prompt_mix& mix, bool is_long, time_point now)
{
    if (!is_long)
    {
        mix.only_long_since_.reset();
    }
    else if (!mix.only_long_since_)
    {
        mix.only_long_since_ = now;
    }
}

bool expects_short(prompt_mix const& mix, milliseconds shortest_target,
                   time_point now)
{
    return !mix.only_long_since_ ||
           now - *mix.only_long_since_ < mix_targets * shortest_target;
}

time_point hold_end(time_point received, time_point latest_start)
{
    return received + (latest_start - received) / 2;
}

prefill_choice choose_bounded_path(std::vector<path_engine> const& engines,
                                   model_profile const& model,
                                   path_demand const& demand,
                                   prefill_targets const& targets)
{
    prefill_choice choice;
    choice.path_ = choose_path(engines, model, demand);
    if (!choice.path_ || targets.shortest_ <= milliseconds(0))
    {
        return choice;
    }
    choice.is_long_ = is_long_prompt(demand.prompt_tokens_, choice.path_->path_,
                                     engines, model, targets.shortest_);
    if (!choice.is_long_)
    {
        double const own_ms = ms_of(targets.own_);
        if (own_ms <= 0 || choice.path_->first_event_ms_ <= own_ms)
        {
            return choice;
        }
        path_demand early_demand = demand;
        early_demand.backlog_weight_ = early_backlog_weight;
        auto early = choose_path(engines, model, early_demand);
        if (early && early->first_event_ms_ <= own_ms)
        {
            choice.path_ = std::move(early);
        }
        return choice;
    }
    if (!targets.is_bounded_)
    {
        return choice;
    }
    std::vector<path_engine> open_engines = engines;
    for (path_engine& each : open_engines)
    {
        each.is_usable_ =
            each.is_usable_ && may_take_long(each, model, targets.shortest_);
    }
    choice.path_ = choose_path(open_engines, model, demand);
    if (!choice.path_ ||
        !leaves_room_for_short(demand.prompt_tokens_, choice.path_->path_,
                               engines, model, targets.shortest_))
    {
        choice.path_.reset();
        choice.is_held_ = true;
    }
    return choice;
}

} // namespace auburnlb
