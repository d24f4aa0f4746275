// Which engine should hold which layers of a model.
#ifndef AUBURNLB_COORDINATION_LAYER_PLAN_HPP
#define AUBURNLB_COORDINATION_LAYER_PLAN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/state/ids.hpp"
#include "auburnlb/state/model_profile.hpp"

namespace auburnlb
{

/// One engine as the plan sees it. Draining and lost engines are left out.
struct plan_engine
{
    std::string id_;
    std::string data_centre_;
    accelerator_profile accelerator_;
    /// Layers that it holds, or will hold once its last order is done.
    std::optional<layer_range> layers_;
    /// Whether it may be ordered to hold other layers now.
    bool is_movable_ = true;
    /// Streams that pass through it: layers are given up only after them.
    std::uint32_t streams_ = 0;
    /// Tokens of KV cache that these have or will need.
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

/// The orders that bring the engines nearer to a good placement; nothing where
/// they have one. Replicas of the model stay within a data centre, because the
/// links between them are shared. The first plan splits the engines of a data
/// centre into whole replicas. Later, engines that hold nothing fill the layers
/// that are held least. An engine that holds layers moves only for layers that
/// no engine of its data centre holds, or that are used up while others have
/// room: it takes nothing new until its streams have ended. No engine is
/// ordered to hold more than its memory allows.
std::vector<plan_step> plan_layers(std::vector<plan_engine> const& engines,
                                   model_profile const& model);

} // namespace auburnlb

#endif
