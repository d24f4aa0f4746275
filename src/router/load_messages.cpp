// Loads and demands in the messages between routers.
#include "auburnlb/router/load_messages.hpp"

#include <cmath>
#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

namespace auburnlb
{

namespace
{

using nlohmann::json;

/// Larger amounts are errors of the sender: no fleet has as many tokens. Sums
/// over all routers stay far below the range of an integer.
constexpr double max_amount = 1e12;

bool is_amount(json const& value)
{
    return value.is_number() && value.get<double>() >= 0 &&
           value.get<double>() <= max_amount;
}

bool is_count(json const& value)
{
    return value.is_number_unsigned() &&
           std::in_range<std::uint32_t>(value.get<std::uint64_t>());
}

} // namespace

json write_loads(std::map<std::string, endpoint_load> const& loads)
{
    json value = json::object();
    for (auto const& [id, load] : loads)
    {
        if (load.requests_ > 0)
        {
            value[id] = {load.requests_, std::llround(load.kv_reserved_),
                         std::llround(load.prefill_backlog_)};
        }
    }
    return value;
}

std::map<std::string, endpoint_load> read_loads(json const& state)
{
    std::map<std::string, endpoint_load> loads;
    auto const found = state.find("loads");
    if (found == state.end() || !found->is_object())
    {
        return loads;
    }
    for (auto const& [id, load] : found->items())
    {
        constexpr std::size_t element_count = 3;
        if (load.is_array() && load.size() == element_count &&
            is_count(load[0]) && is_amount(load[1]) && is_amount(load[2]))
        {
            loads[id] = {load[0].get<std::uint32_t>(), load[1].get<double>(),
                         load[2].get<double>()};
        }
    }
    return loads;
}

json write_demands(std::map<std::string, double> const& demands)
{
    json value = json::object();
    for (auto const& [name, tokens_per_s] : demands)
    {
        if (std::llround(tokens_per_s) > 0)
        {
            value[name] = std::llround(tokens_per_s);
        }
    }
    return value;
}

std::map<std::string, double> read_demands(json const& state)
{
    std::map<std::string, double> demands;
    auto const found = state.find("demands");
    if (found == state.end() || !found->is_object())
    {
        return demands;
    }
    for (auto const& [name, tokens_per_s] : found->items())
    {
        if (is_amount(tokens_per_s))
        {
            demands[name] = tokens_per_s.get<double>();
        }
    }
    return demands;
}

} // namespace auburnlb
