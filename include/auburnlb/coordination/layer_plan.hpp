// Planner that assigns the layers of a model to engines.
#ifndef AUBURNLB_COORDINATION_LAYER_PLAN_HPP
#define AUBURNLB_COORDINATION_LAYER_PLAN_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/ids.hpp"
#include "auburnlb/state/model_profile.hpp"

namespace auburnlb
{

/// An engine as input of the planner. Draining and lost engines are left out.
struct plan_engine
{
    std::string id_;
    std::string data_centre_;
    accelerator_profile accelerator_;
    /// Layers that the engine holds, or will hold once its last order is done.
    std::optional<layer_range> layers_;
    /// Whether the engine may be ordered to hold other layers now.
    bool is_movable_ = true;
    /// Whether the engine is probably lost. Others may be extended over its
    /// layers, but it keeps them in case it responds again.
    bool is_probably_lost_ = false;
    /// Streams through the engine. It gives up layers only after these end.
    std::uint32_t streams_ = 0;
    /// KV cache that the streams use or will need, in tokens.
    double used_tokens_ = 0;

    bool operator==(plan_engine const&) const = default;
};

/// An engine and the layers that it should hold from now on.
struct plan_step
{
    std::string id_;
    layer_range layers_;

    bool operator==(plan_step const&) const = default;
};

/// Since when a data centre has lacked layers, by its name.
struct gap_history
{
    std::map<std::string, time_point> since_;

    bool operator==(gap_history const&) const = default;
};

/// Returns the orders that improve the placement; empty if it is good. A
/// replica of the model stays within one data centre, because the links between
/// data centres are shared. The first plan splits the engines of a data centre
/// into complete replicas; later plans repair it (layer_repair.hpp). No engine
/// is ordered to hold more than its memory allows.
std::vector<plan_step> plan_layers(std::vector<plan_engine> const& engines,
                                   model_profile const& model,
                                   gap_history& gaps, time_point now);

} // namespace auburnlb

#endif
