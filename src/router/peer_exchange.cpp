// Questions and answers between routers, in JSON over HTTP.
#include "auburnlb/router/peer_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace auburnlb
{

namespace
{

using nlohmann::json;

/// Interval of questions to a router that answers, and to one that does not.
constexpr milliseconds ask_interval{400};
constexpr milliseconds silent_interval{1'000};
constexpr milliseconds ask_timeout{400};

/// What a router said of its load is believed for this long.
constexpr milliseconds load_lifetime{1'500};

/// A router that has not answered for this long does not share the limits.
constexpr milliseconds member_lifetime{30'000};

/// A router that has not answered for this long is not asked any more.
constexpr milliseconds forget_after{60'000};

constexpr unsigned status_ok = 200;

} // namespace

peer_exchange::peer_exchange(router_core& core, http_caller& caller,
                             peer_exchange_handlers handlers)
    : core_(core)
    , caller_(caller)
    , handlers_(std::move(handlers))
{
    for (std::string const& seed : core.options_.seeds_)
    {
        add_peer(seed);
    }
}

void peer_exchange::add_peer(std::string const& address)
{
    if (address != core_.options_.control_address_ && !address.empty())
    {
        auto const [entry, is_new] = peers_.try_emplace(address);
        if (is_new)
        {
            entry->second.known_since_ = core_.clock_.now();
        }
    }
}

std::string peer_exchange::own_state(std::uint64_t known_version,
                                     bool with_endpoints)
{
    json state{{"loads", json::object()}};
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        endpoint_load const& load = endpoint->load_;
        if (load.requests_ > 0)
        {
            state["loads"][id] = {load.requests_,
                                  std::llround(load.kv_reserved_),
                                  std::llround(load.prefill_backlog_)};
        }
    }
    std::uint64_t const version =
        core_.routes_ == nullptr ? 0 : core_.routes_->table().version_;
    state["version"] = version;
    if (version > known_version)
    {
        state["configuration"] = handlers_.configuration_text_();
    }
    if (auto const lease = handlers_.held_lease_())
    {
        state["lease"] = {{"holder", lease->holder_},
                          {"version", lease->version_}};
    }
    for (auto const& [fingerprint, crashes] :
         own_crashes(core_.crashes_, core_.clock_.now()))
    {
        state["crashes"].push_back({fingerprint, crashes});
    }
    if (with_endpoints && handlers_.is_store_reachable_())
    {
        state["endpoints"] = handlers_.endpoint_texts_();
    }
    for (auto const& [address, peer] : peers_)
    {
        if (peer.answered_)
        {
            state["peers"].push_back(address);
        }
    }
    return state.dump(-1, ' ', false, json::error_handler_t::replace);
}

local_answer peer_exchange::answer(std::string const& body)
{
    json const question = json::parse(body, nullptr, false);
    if (!question.is_object())
    {
        constexpr unsigned bad_request = 400;
        return {bad_request, "text/plain", "the question is no JSON object\n"};
    }
    add_peer(question.value("from", ""));
    return {status_ok, "application/json",
            own_state(question.value("version", std::uint64_t{0}),
                      question.value("with_endpoints", false))};
}

void peer_exchange::on_tick(time_point now)
{
    std::erase_if(peers_,
                  [&](auto const& entry)
                  {
                      return entry.second.answered_ &&
                             now - *entry.second.answered_ > forget_after;
                  });
    std::uint32_t routers = 1;
    for (auto& [address, peer] : peers_)
    {
        // One that has not answered yet may live beyond a cut.
        bool const may_live = peer.answered_
                                  ? now - *peer.answered_ < member_lifetime
                                  : now - peer.known_since_ < member_lifetime;
        if (may_live)
        {
            ++routers;
        }
        if (!peer.is_waiting_ && now >= peer.next_call_)
        {
            ask(address, peer, now);
        }
    }
    core_.routers_ = routers;
}

void peer_exchange::ask(std::string const& address, peer& peer, time_point now)
{
    peer.is_waiting_ = true;
    peer.next_call_ = now + ask_interval;
    json const question{{"from", core_.options_.control_address_},
                        {"version", core_.routes_ == nullptr
                                        ? 0
                                        : core_.routes_->table().version_},
                        {"with_endpoints", !handlers_.is_store_reachable_()}};
    caller_.call(address, {"POST", "/exchange", question.dump()}, ask_timeout,
                 [this, address](result<http_reply> const& reply)
                 { on_reply(address, reply); });
}

void peer_exchange::on_reply(std::string const& address,
                             result<http_reply> const& reply)
{
    auto const found = peers_.find(address);
    if (found == peers_.end())
    {
        return;
    }
    peer& peer = found->second;
    time_point const now = core_.clock_.now();
    peer.is_waiting_ = false;
    if (!reply || reply.value().status_ != status_ok)
    {
        peer.next_call_ = now + silent_interval;
        sum_loads(now);
        return;
    }
    json const state = json::parse(reply.value().body_, nullptr, false);
    if (!state.is_object())
    {
        return;
    }
    peer.answered_ = now;
    read_loads(peer, state);
    read_crashes(address, state);
    if (auto const lease = state.find("lease");
        lease != state.end() && lease->is_object())
    {
        handlers_.on_lease_({lease->value("holder", ""),
                             lease->value("version", std::uint64_t{0})});
    }
    sum_loads(now);
    if (auto const text = state.find("configuration");
        text != state.end() && text->is_string())
    {
        handlers_.on_configuration_(text->get<std::string>(), address);
    }
    if (auto const entries = state.find("endpoints");
        entries != state.end() && entries->is_object())
    {
        handlers_.on_endpoints_(
            entries->get<std::map<std::string, std::string>>());
    }
    for (json const& each : state.value("peers", json::array()))
    {
        if (each.is_string())
        {
            add_peer(each.get<std::string>());
        }
    }
}

void peer_exchange::read_loads(peer& peer, json const& state)
{
    peer.loads_.clear();
    auto const loads = state.find("loads");
    if (loads == state.end() || !loads->is_object())
    {
        return;
    }
    for (auto const& [id, load] : loads->items())
    {
        constexpr std::size_t figures = 3;
        if (load.is_array() && load.size() == figures &&
            load[0].is_number_unsigned() && load[1].is_number() &&
            load[2].is_number())
        {
            peer.loads_[id] = {load[0].get<std::uint32_t>(),
                               load[1].get<double>(), load[2].get<double>()};
        }
    }
}

void peer_exchange::read_crashes(std::string const& address, json const& state)
{
    crash_table table;
    for (json const& each : state.value("crashes", json::array()))
    {
        constexpr std::size_t figures = 2;
        if (each.is_array() && each.size() == figures &&
            each[0].is_number_unsigned() && each[1].is_number_unsigned())
        {
            table[each[0].get<request_fingerprint>()] =
                each[1].get<std::uint32_t>();
        }
    }
    merge_crashes(core_.crashes_, address, std::move(table));
}

void peer_exchange::sum_loads(time_point now)
{
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        endpoint->foreign_load_ = {};
    }
    for (auto const& [address, peer] : peers_)
    {
        if (!peer.answered_ || now - *peer.answered_ > load_lifetime)
        {
            continue;
        }
        for (auto const& [id, load] : peer.loads_)
        {
            auto const found = core_.directory_.endpoints_.find(id);
            if (found == core_.directory_.endpoints_.end())
            {
                continue;
            }
            endpoint_load& sum = found->second->foreign_load_;
            sum.requests_ += load.requests_;
            sum.kv_reserved_ += load.kv_reserved_;
            sum.prefill_backlog_ += load.prefill_backlog_;
        }
    }
}

} // namespace auburnlb
