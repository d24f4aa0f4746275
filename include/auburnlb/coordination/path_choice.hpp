// Chooses the path of a stream through the engines.
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

/// Multiple of an engine's KV cache that requests may reserve. A reservation is
/// for the whole response, which fills it only as it is generated, and many
/// responses end early. If too much is filled at once, the engine preempts its
/// newest requests and continues them later.
inline constexpr double kv_overcommit = 1.25;

/// State of an engine that may be part of a path.
struct path_engine
{
    std::string id_;
    std::string address_;
    std::string data_centre_;
    layer_range layers_;
    accelerator_profile accelerator_;
    /// Capacity of the engine's KV cache, in tokens times layers.
    double kv_capacity_ = 0;
    /// Part of the KV cache that requests use or will need, in tokens times
    /// layers.
    double kv_reserved_ = 0;
    /// Number of streams whose paths contain the engine.
    std::uint32_t streams_ = 0;
    /// Number of streams that the engine accepts as the first engine of their
    /// paths.
    std::uint32_t slots_ = std::numeric_limits<std::uint32_t>::max();
    /// Prefill work that is left, in prompt tokens times layers.
    double prefill_backlog_ = 0;
    /// Factor of the engine's cost: at least 1, higher for an engine that is
    /// slow or fails.
    double cost_factor_ = 1;
    /// Whether the engine may be the first one of a path: it takes no more
    /// requests than its rate limit allows.
    bool may_be_first_ = true;
    /// Whether the engine may be part of a path.
    bool is_usable_ = true;
    /// If set, engines are compared as if this were reserved. Whether a stream
    /// fits is decided by `kv_reserved_`.
    std::optional<double> compared_kv_reserved_;

    bool operator==(path_engine const&) const = default;
};

/// Requirements of one stream.
struct path_demand
{
    /// Number of tokens to prefill.
    double prompt_tokens_ = 0;
    double answer_tokens_ = 0;
    /// Data centre of the router. A first engine in another data centre adds to
    /// the cost of a path.
    std::string data_centre_;
    /// Multiple of an engine's KV cache that may be reserved; positive.
    double max_kv_share_ = 1;
    /// Weight of the engines' prefill backlog in the cost of a path. Does not
    /// change the expected first event of the path.
    double backlog_weight_ = 1;
    /// Whether the path may cross between data centres.
    bool may_cross_ = true;
    /// If not empty, only these engines may be the first one of the path.
    std::vector<std::string> allowed_first_ids_;

    bool operator==(path_demand const&) const = default;
};

/// A path and its expected latency.
struct path_choice
{
    stream_path path_;
    /// Time from sending the request to the first event, in ms.
    double first_event_ms_ = 0;
    /// Time between two events, in ms.
    double event_gap_ms_ = 0;
    /// The same once the batches of all engines are full and prompts are
    /// prefilled in each step, in ms.
    double busy_event_gap_ms_ = 0;
    /// Number of times that the path crosses between data centres.
    std::uint32_t crossings_ = 0;

    bool operator==(path_choice const&) const = default;
};

/// Returns the path with the least expected time, where the time at each engine
/// is weighted by how full the engine is. Returns std::nullopt if no path
/// through all layers has enough free KV cache. Uses dynamic programming over
/// the engines' layer boundaries.
std::optional<path_choice> choose_path(std::vector<path_engine> const& engines,
                                       model_profile const& model,
                                       path_demand const& demand);

/// Returns the KV cache that the stream needs at an engine that runs these
/// layers, in tokens times layers.
double kv_demand(path_demand const& demand, layer_range const& layers);

} // namespace auburnlb

#endif
