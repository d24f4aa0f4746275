// What routers tell each other about the use of endpoints: loads, demands, and
// endpoints without room.
#include "auburnlb/router/peer_exchange.hpp"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "auburnlb/router/load_messages.hpp"

namespace auburnlb
{

namespace
{

using nlohmann::json;

/// Time for which the reported load of a router is used.
constexpr milliseconds load_lifetime{2'500};

/// Time for which a rejection for want of room is reported to other routers:
/// about an interval of their polls.
constexpr milliseconds rejection_lifetime{400};

/// How long an endpoint is avoided that was reported to be full.
constexpr milliseconds full_avoidance{300};

void add_loads(std::map<std::string, endpoint_load>& sums,
               std::map<std::string, endpoint_load> const& loads)
{
    for (auto const& [id, load] : loads)
    {
        sums[id] += load;
    }
}

void add_demands(std::map<std::string, double>& sums,
                 std::map<std::string, double> const& demands)
{
    for (auto const& [name, tokens_per_s] : demands)
    {
        sums[name] += tokens_per_s;
    }
}

} // namespace

bool peer_exchange::is_load_recent(peer const& peer, time_point now)
{
    return peer.last_response_at_ &&
           now - *peer.last_response_at_ <= load_lifetime;
}

std::vector<peer_exchange::peer const*>
peer_exchange::counted_peers(time_point now) const
{
    std::vector<peer const*> counted;
    std::map<std::string, peer const*> latest;
    for (auto const& [address, peer] : peers_)
    {
        if (!is_load_recent(peer, now))
        {
            continue;
        }
        if (is_local(peer))
        {
            counted.push_back(&peer);
            continue;
        }
        // Each router of another data centre reports the sums of all of it.
        auto const [entry, is_first] =
            latest.try_emplace(peer.data_centre_, &peer);
        if (!is_first &&
            entry->second->last_response_at_ < peer.last_response_at_)
        {
            entry->second = &peer;
        }
    }
    for (auto const& [data_centre, peer] : latest)
    {
        counted.push_back(peer);
    }
    return counted;
}

json peer_exchange::loads(bool of_data_centre) const
{
    std::map<std::string, endpoint_load> sums;
    time_point const now = core_.clock_.now();
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        sums[id] = endpoint->load_;
    }
    for (peer const* const each : counted_peers(now))
    {
        if (of_data_centre && is_local(*each))
        {
            add_loads(sums, each->loads_);
        }
    }
    return write_loads(sums);
}

json peer_exchange::demands(bool of_data_centre) const
{
    std::map<std::string, double> sums;
    time_point const now = core_.clock_.now();
    for (auto const& [name, service] : core_.services_)
    {
        sums[name] = demand_at(service.demand_, now);
    }
    for (peer const* const each : counted_peers(now))
    {
        if (of_data_centre && is_local(*each))
        {
            add_demands(sums, each->demands_);
        }
    }
    return write_demands(sums);
}

json peer_exchange::full_endpoints() const
{
    time_point const now = core_.clock_.now();
    json value = json::array();
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        if (endpoint->rejected_at_ &&
            now - *endpoint->rejected_at_ < rejection_lifetime)
        {
            value.push_back(id);
        }
    }
    return value;
}

void peer_exchange::apply_full(json const& state, time_point now)
{
    auto const full = state.find("full");
    if (full == state.end() || !full->is_array())
    {
        return;
    }
    for (json const& each : *full)
    {
        auto const found =
            each.is_string()
                ? core_.directory_.endpoints_.find(each.get<std::string>())
                : core_.directory_.endpoints_.end();
        if (found != core_.directory_.endpoints_.end())
        {
            found->second->full_until_ = now + full_avoidance;
        }
    }
}

void peer_exchange::read_use(peer& peer, json const& state, time_point now)
{
    peer.loads_ = read_loads(state);
    if (core_.options_.shares_capacity_)
    {
        peer.demands_ = read_demands(state);
        apply_full(state, now);
    }
    sum_use(now);
}

void peer_exchange::sum_use(time_point now)
{
    std::map<std::string, endpoint_load> loads;
    core_.other_routers_demands_.clear();
    for (peer const* const each : counted_peers(now))
    {
        add_loads(loads, each->loads_);
        add_demands(core_.other_routers_demands_, each->demands_);
    }
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        auto const found = loads.find(id);
        endpoint->other_routers_load_ =
            found == loads.end() ? endpoint_load{} : found->second;
    }
}

} // namespace auburnlb
