// Plays a load of which half must wait or be refused, and compares how many
// callers are served with and without overcommitted KV cache.
#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "auburnlb/coordination/path_choice.hpp"

#include "split_model.hpp"

using namespace auburnlb;

namespace
{

model_profile const model = split_model::profile();

constexpr int step_count = 400;
constexpr double steps_per_s = 10;
constexpr int arrivals_per_step = 60;
/// A router reserves the caller's estimate times this margin.
constexpr double estimate_margin = 1.3;
/// The callers' estimates are right at the median, and often far off.
constexpr double estimate_spread = 0.5;

/// A stream that a path was found for.
struct running_stream
{
    stream_path path_;
    path_demand reserved_;
    double output_tokens_ = 0;
    double generated_tokens_ = 0;
};

struct load_result
{
    int served_ = 0;
    /// Highest fill of any engine's KV cache, as a share of its capacity.
    double max_fill_ = 0;
};

path_engine& find_engine(std::vector<path_engine>& engines,
                         std::string const& id)
{
    return *std::find_if(engines.begin(), engines.end(),
                         [&](path_engine const& each)
                         { return each.id_ == id; });
}

void reserve(std::vector<path_engine>& engines, running_stream const& stream,
             int sign)
{
    for (path_part const& part : stream.path_.parts_)
    {
        find_engine(engines, part.endpoint_id_).kv_reserved_ +=
            sign * kv_demand(stream.reserved_, part.layers_);
    }
}

double max_fill(std::vector<path_engine> const& engines,
                std::vector<running_stream> const& streams)
{
    std::map<std::string, double> filled;
    for (running_stream const& stream : streams)
    {
        path_demand held = stream.reserved_;
        held.answer_tokens_ = stream.generated_tokens_;
        for (path_part const& part : stream.path_.parts_)
        {
            filled[part.endpoint_id_] += kv_demand(held, part.layers_);
        }
    }
    double most = 0;
    for (path_engine const& each : engines)
    {
        most = std::max(most, filled[each.id_] / each.kv_capacity_);
    }
    return most;
}

/// Starts arriving streams while there is room, and lets all of them generate
/// at the same rate until their responses are complete.
load_result play_load(double kv_share)
{
    auto planned = split_model::data_centre();
    gap_history gaps;
    split_model::carry_out(planned,
                           plan_layers(planned, model, gaps, time_point{}));
    auto engines = split_model::path_engines(planned);
    std::mt19937 random(20261204);
    std::exponential_distribution<double> output(1 / model.mean_output_tokens_);
    std::lognormal_distribution<double> estimate_error(0, estimate_spread);
    constexpr double tokens_per_s = 60;
    std::vector<running_stream> streams;
    load_result result;
    for (int step = 0; step < step_count; ++step)
    {
        for (int arrival = 0; arrival < arrivals_per_step; ++arrival)
        {
            running_stream stream;
            stream.output_tokens_ = output(random);
            stream.reserved_ = split_model::usual_demand();
            stream.reserved_.answer_tokens_ = stream.output_tokens_ *
                                              estimate_error(random) *
                                              estimate_margin;
            stream.reserved_.max_kv_share_ = kv_share;
            auto const choice = choose_path(engines, model, stream.reserved_);
            if (choice)
            {
                stream.path_ = choice->path_;
                reserve(engines, stream, 1);
                streams.push_back(stream);
            }
        }
        std::erase_if(streams,
                      [&](running_stream& stream)
                      {
                          stream.generated_tokens_ +=
                              tokens_per_s / steps_per_s;
                          bool const is_complete =
                              stream.generated_tokens_ >= stream.output_tokens_;
                          if (is_complete)
                          {
                              reserve(engines, stream, -1);
                              ++result.served_;
                          }
                          return is_complete;
                      });
        result.max_fill_ =
            std::max(result.max_fill_, max_fill(engines, streams));
    }
    return result;
}

} // namespace

TEST(kv_overcommit, more_callers_are_served_and_engines_are_hardly_overfilled)
{
    load_result const exact = play_load(1);
    load_result const overcommitted = play_load(kv_overcommit);
    EXPECT_LE(exact.max_fill_, 1);
    EXPECT_GE(overcommitted.served_, exact.served_ * 1.15);
    // What exceeds the memory is preempted, which should stay the exception.
    EXPECT_LE(overcommitted.max_fill_, 1.15);
}
