// Memory calculations for engines that hold some layers of a model.
#include "auburnlb/state/model_profile.hpp"

#include <algorithm>
#include <cmath>

namespace auburnlb
{

namespace
{

constexpr double bytes_per_mb = 1e6;

} // namespace

std::uint32_t max_layers(model_profile const& model,
                         accelerator_profile const& accelerator)
{
    if (model.layer_mb_ <= 0)
    {
        return model.layers_;
    }
    double const fitting_layers =
        std::floor(accelerator.memory_mb_ / model.layer_mb_);
    return static_cast<std::uint32_t>(
        std::clamp(fitting_layers, 0.0, static_cast<double>(model.layers_)));
}

double kv_capacity_tokens(model_profile const& model,
                          accelerator_profile const& accelerator,
                          std::uint32_t layers)
{
    if (layers == 0)
    {
        return 0;
    }
    double const free_mb =
        accelerator.memory_mb_ - model.layer_mb_ * static_cast<double>(layers);
    double const bytes_per_token = model.kv_bytes_per_token_ *
                                   static_cast<double>(layers) /
                                   static_cast<double>(model.layers_);
    if (free_mb <= 0 || bytes_per_token <= 0)
    {
        return 0;
    }
    return free_mb * bytes_per_mb / bytes_per_token;
}

} // namespace auburnlb
