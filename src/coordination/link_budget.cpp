// Refilling and use of the bandwidth between data centres.
#include "auburnlb/coordination/link_budget.hpp"

#include <algorithm>

namespace auburnlb
{

namespace
{

constexpr double bits_per_byte = 8;
constexpr double bits_per_megabit = 1e6;

/// Part of the links that is used: transfers wait for each other well before
/// the links are full.
constexpr double used_share = 0.5;

/// What may be saved up while no stream crosses.
constexpr std::chrono::duration<double> link_burst{1.0};

double bits_per_second(model_profile const& model, std::uint32_t routers)
{
    return model.data_centre_link_mbps_ * bits_per_megabit * used_share /
           std::max(routers, 1U);
}

} // namespace

double crossing_bits(model_profile const& model, path_demand const& demand)
{
    return (demand.prompt_tokens_ + demand.answer_tokens_) *
           model.activation_bytes_per_token_ * bits_per_byte;
}

bool may_cross(link_budget& budget, model_profile const& model,
               std::uint32_t routers, time_point now)
{
    if (model.data_centre_link_mbps_ <= 0)
    {
        return true;
    }
    double const rate = bits_per_second(model, routers);
    std::chrono::duration<double> const elapsed = now - budget.refilled_;
    budget.refilled_ = now;
    budget.bits_ = std::min(budget.bits_ + elapsed.count() * rate,
                            link_burst.count() * rate);
    return budget.bits_ > 0;
}

void consume_crossings(link_budget& budget, model_profile const& model,
                       path_demand const& demand, std::uint32_t crossings)
{
    budget.bits_ -=
        crossing_bits(model, demand) * static_cast<double>(crossings);
}

} // namespace auburnlb
