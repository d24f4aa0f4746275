// A split model and its engines, as tests of paths and placement use them.
#ifndef AUBURNLB_TEST_COORDINATION_SPLIT_MODEL_HPP
#define AUBURNLB_TEST_COORDINATION_SPLIT_MODEL_HPP

#include <string>
#include <vector>

#include "auburnlb/coordination/layer_plan.hpp"
#include "auburnlb/coordination/path_choice.hpp"
#include "auburnlb/state/model_profile.hpp"

namespace auburnlb::split_model
{

/// A model of 80 layers over three kinds of accelerators.
inline model_profile profile()
{
    model_profile model;
    model.layers_ = 80;
    model.layer_mb_ = 1'750;
    model.kv_bytes_per_token_ = 918'000;
    model.activation_bytes_per_token_ = 45'900;
    model.data_centre_link_mbps_ = 26'000;
    model.step_ms_ = 1;
    model.step_ms_per_request_ = 0.007;
    model.prefill_tokens_per_s_ = 105'000;
    model.steps_per_event_ = 3;
    model.load_s_ = 14;
    model.parallel_loads_ = 5;
    model.mean_prompt_tokens_ = 774;
    model.mean_output_tokens_ = 200;
    model.accelerators_ = {{"large", {72'000, 2.4, 3.2}},
                           {"middle", {43'200, 5.6, 2.7}},
                           {"small", {21'600, 16, 8.2}}};
    return model;
}

inline plan_engine engine(std::string const& id, std::string const& kind,
                          std::string const& data_centre = "dc-1")
{
    plan_engine value;
    value.id_ = id;
    value.data_centre_ = data_centre;
    value.accelerator_ = profile().accelerators_.at(kind);
    return value;
}

/// One large, three middle and eight small engines: memory for two replicas.
inline std::vector<plan_engine> data_centre(std::string const& name = "dc-1")
{
    std::vector<plan_engine> engines{engine(name + "-large", "large", name)};
    for (int index = 0; index < 3; ++index)
    {
        engines.push_back(
            engine(name + "-middle-" + std::to_string(index), "middle", name));
    }
    for (int index = 0; index < 8; ++index)
    {
        engines.push_back(
            engine(name + "-small-" + std::to_string(index), "small", name));
    }
    return engines;
}

/// Carries the steps out.
inline void carry_out(std::vector<plan_engine>& engines,
                      std::vector<plan_step> const& steps)
{
    for (plan_step const& step : steps)
    {
        for (plan_engine& each : engines)
        {
            if (each.id_ == step.id_)
            {
                each.layers_ = step.layers_;
            }
        }
    }
}

/// The engines as the choice of paths sees them.
inline std::vector<path_engine>
path_engines(std::vector<plan_engine> const& engines)
{
    model_profile const model = profile();
    std::vector<path_engine> paths;
    for (plan_engine const& each : engines)
    {
        path_engine engine;
        engine.id_ = each.id_;
        engine.address_ = "address-of-" + each.id_;
        engine.data_centre_ = each.data_centre_;
        engine.accelerator_ = each.accelerator_;
        engine.layers_ = each.layers_.value_or(layer_range{});
        std::uint32_t const held = engine.layers_.end_ - engine.layers_.first_;
        engine.kv_capacity_ =
            kv_capacity_tokens(model, each.accelerator_, held) * held;
        engine.is_usable_ = held > 0;
        paths.push_back(engine);
    }
    return paths;
}

inline path_demand usual_demand(std::string const& data_centre = "dc-1")
{
    path_demand demand;
    demand.prompt_tokens_ = 774;
    demand.answer_tokens_ = 200;
    demand.data_centre_ = data_centre;
    return demand;
}

} // namespace auburnlb::split_model

#endif
