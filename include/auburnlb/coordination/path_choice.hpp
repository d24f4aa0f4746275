// The choice of the engines that a stream passes through.
#ifndef AUBURNLB_COORDINATION_PATH_CHOICE_HPP
#define AUBURNLB_COORDINATION_PATH_CHOICE_HPP

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/stream_path.hpp"
#include "auburnlb/state/model_profile.hpp"

namespace auburnlb
{

/// One engine as the choice sees it.
struct path_engine
{
    std::string id_;
    std::string address_;
    std::string data_centre_;
    layer_range layers_;
    accelerator_profile accelerator_;
    /// KV cache that it has for requests, in tokens times layers.
    double kv_capacity_ = 0;
    /// Part of it that requests have or will need.
    double kv_reserved_ = 0;
    /// Streams that pass through it.
    std::uint32_t streams_ = 0;
    /// Streams that it takes as the first engine of their paths.
    std::uint32_t slots_ = std::numeric_limits<std::uint32_t>::max();
    /// Prompt tokens times layers that it has yet to read.
    double prefill_backlog_ = 0;
    /// At least 1; higher for an engine that is slow or fails.
    double cost_factor_ = 1;
    /// Whether requests may be sent through it.
    bool is_usable_ = true;

    bool operator==(path_engine const&) const = default;
};

/// What one stream needs.
struct path_demand
{
    /// Tokens to read before the first new one.
    double prompt_tokens_ = 0;
    double answer_tokens_ = 0;
    /// Data centre of the router; the way to another one costs.
    std::string data_centre_;
    /// Part of an engine's KV cache that may be reserved, in (0, 1].
    double max_kv_share_ = 1;
    /// Whether the path may cross between data centres.
    bool may_cross_ = true;
    /// If not empty, only these engines may be the first of the path.
    std::vector<std::string> allowed_first_ids_;

    bool operator==(path_demand const&) const = default;
};

/// A path with what is expected of it.
struct path_choice
{
    stream_path path_;
    /// Time from sending to the first event, in ms.
    double first_event_ms_ = 0;
    /// Time between two events, in ms.
    double event_gap_ms_ = 0;
    /// How often it crosses between data centres.
    std::uint32_t crossings_ = 0;

    bool operator==(path_choice const&) const = default;
};

/// The path with the least expected time, each engine's time weighed by how
/// full it is; nothing if no path through all layers has room. Dynamic
/// programming over the engines' layer boundaries.
std::optional<path_choice> choose_path(std::vector<path_engine> const& engines,
                                       model_profile const& model,
                                       path_demand const& demand);

/// KV cache that the demand takes at an engine, in tokens times layers.
double kv_demand(path_demand const& demand, layer_range const& layers);

} // namespace auburnlb

#endif
