// Computes the flow bound after each distinct move.
#include "auburnlb/coordination/placement.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace auburnlb
{

namespace
{

/// Smaller differences in tokens per second are ignored, because flows are
/// exact only to a thousandth.
constexpr double flow_tolerance = 0.01;

std::uint32_t length_of(layer_range const& range)
{
    return range.end_ - range.first_;
}

std::uint32_t overlap_of(layer_range const& left, layer_range const& right)
{
    std::uint32_t const first = std::max(left.first_, right.first_);
    std::uint32_t const end = std::min(left.end_, right.end_);
    return first < end ? end - first : 0;
}

bool is_candidate(endpoint_description const& endpoint,
                  placement_settings const& settings,
                  placement_state const& state, time_point now)
{
    if (endpoint.kind_ != service_kind::model ||
        endpoint.state_ != host_state::live)
    {
        return false;
    }
    auto const moved = state.moved_at_.find(endpoint.address_);
    return moved == state.moved_at_.end() ||
           now - moved->second >= settings.move_cooldown_;
}

bool can_hold(endpoint_description const& endpoint, layer_range const& range,
              placement_settings const& settings)
{
    auto const limit = settings.max_layers_.find(endpoint.accelerator_);
    std::uint32_t const max_layers = limit == settings.max_layers_.end()
                                         ? length_of(endpoint.layers_)
                                         : limit->second;
    return length_of(range) <= max_layers;
}

/// Returns the endpoint's token rate with another range of layers. The time per
/// token is proportional to the number of layers.
double rate_with(endpoint_description const& endpoint, layer_range const& range)
{
    std::uint32_t const current_layers = length_of(endpoint.layers_);
    return current_layers == 0
               ? rate_of(endpoint)
               : rate_of(endpoint) * current_layers / length_of(range);
}

double flow_of(std::vector<endpoint_description> const& endpoints,
               std::uint32_t layers, link_rates const& links)
{
    return find_flow_bound(endpoints, layers, links).tokens_per_second_;
}

bool is_better(placement_move const& left, placement_move const& right)
{
    return left.gain_ * static_cast<double>(right.bytes_) >
           right.gain_ * static_cast<double>(left.bytes_);
}

bool is_loading(std::vector<endpoint_description> const& endpoints,
                placement_settings const& settings,
                placement_state const& state, time_point now)
{
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [&](endpoint_description const& endpoint)
                       {
                           auto const moved =
                               state.moved_at_.find(endpoint.address_);
                           return endpoint.state_ != host_state::live &&
                                  moved != state.moved_at_.end() &&
                                  now - moved->second < settings.move_cooldown_;
                       });
}

} // namespace

std::optional<placement_move>
propose_move(std::vector<endpoint_description> const& endpoints,
             std::uint32_t layers, link_rates const& links,
             placement_settings const& settings, placement_state const& state,
             time_point now)
{
    if (is_loading(endpoints, settings, state, now))
    {
        return std::nullopt;
    }
    std::set<std::pair<std::uint32_t, std::uint32_t>> ranges;
    for (endpoint_description const& endpoint : endpoints)
    {
        if (is_usable_stage(endpoint, layers))
        {
            ranges.emplace(endpoint.layers_.first_, endpoint.layers_.end_);
        }
    }
    double const flow = flow_of(endpoints, layers, links);
    std::vector<endpoint_description> trial = endpoints;
    // Endpoints with the same properties give the same flows, so only one of
    // them is tried.
    std::set<std::tuple<std::uint32_t, std::uint32_t, std::string, std::string,
                        double>>
        tried;
    std::optional<placement_move> best;
    for (std::size_t index = 0; index < endpoints.size(); ++index)
    {
        endpoint_description const& endpoint = endpoints[index];
        if (!is_candidate(endpoint, settings, state, now) ||
            !tried
                 .emplace(endpoint.layers_.first_, endpoint.layers_.end_,
                          endpoint.data_centre_, endpoint.accelerator_,
                          rate_of(endpoint))
                 .second)
        {
            continue;
        }
        trial[index].state_ = host_state::leaving;
        bool const lowers_flow =
            flow_of(trial, layers, links) < flow - flow_tolerance;
        trial[index] = endpoint;
        if (lowers_flow)
        {
            continue;
        }
        for (auto const& [first, end] : ranges)
        {
            layer_range const range{first, end};
            if (range == endpoint.layers_ ||
                !can_hold(endpoint, range, settings))
            {
                continue;
            }
            trial[index].layers_ = range;
            trial[index].tokens_per_second_ = rate_with(endpoint, range);
            double const gain = flow_of(trial, layers, links) - flow;
            trial[index] = endpoint;
            std::uint64_t const bytes =
                settings.bytes_per_layer_ *
                (length_of(range) - overlap_of(range, endpoint.layers_));
            placement_move const move{endpoint.address_, endpoint.layers_,
                                      range, gain, bytes};
            if (gain > flow_tolerance && gain >= flow * settings.min_gain_ &&
                (!best || is_better(move, *best)))
            {
                best = move;
            }
        }
    }
    return best;
}

void record_move(placement_state& state, placement_move const& move,
                 time_point now)
{
    state.moved_at_[move.address_] = now;
}

} // namespace auburnlb
