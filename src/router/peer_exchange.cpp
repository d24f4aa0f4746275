// Requests between routers and their responses, in JSON over HTTP.
#include "auburnlb/router/peer_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "auburnlb/router/http_status.hpp"
#include "auburnlb/router/suspicion_messages.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

using nlohmann::json;

/// Interval between requests to a router that responds, and its increment per
/// polled router: polling takes a bounded part of the processor time of a
/// router.
constexpr milliseconds poll_interval{400};
constexpr milliseconds poll_interval_per_peer{50};
constexpr milliseconds failed_poll_interval{1'000};
constexpr milliseconds request_timeout{400};

/// After this many failed requests, another router of the data centre is
/// polled.
constexpr std::uint32_t max_failed_polls = 2;

/// Time for which the reported load of a router is used.
constexpr milliseconds load_lifetime{2'500};

/// Time for which a failed probe is reported to other routers. It is ignored by
/// routers that have seen more recent activity.
constexpr milliseconds probe_failure_lifetime{600};
/// How long an endpoint is avoided after another router reported it.
constexpr milliseconds reported_avoidance{600};

/// A router that answered within this time counts as a watcher of the store. It
/// covers two poll intervals and a response time.
constexpr milliseconds watcher_lifetime{1'000};

/// Other data centres are polled for list changes that routers of the same data
/// centre have not delivered within this time.
constexpr milliseconds local_update_delay{600};

/// A router that answered within this time is assumed to accept requests.
constexpr milliseconds accepting_lifetime{1'500};

/// A router that has not answered for this long is removed.
constexpr milliseconds peer_lifetime{60'000};

void add_loads(std::map<std::string, endpoint_load>& sums,
               std::map<std::string, endpoint_load> const& loads)
{
    for (auto const& [id, load] : loads)
    {
        sums[id] += load;
    }
}

} // namespace

peer_exchange::peer_exchange(router_core& core,
                             internal_http_client& http_client,
                             peer_exchange_handlers handlers)
    : core_(core)
    , http_client_(http_client)
    , handlers_(std::move(handlers))
{
    for (std::string const& seed : core.options_.seeds_)
    {
        add_peer(seed, "");
    }
}

void peer_exchange::add_peer(std::string const& address,
                             std::string const& data_centre)
{
    if (address == core_.options_.control_address_ || address.empty())
    {
        return;
    }
    auto const [entry, is_new] = peers_.try_emplace(address);
    if (is_new)
    {
        // Each router ranks the others differently, so that the requests are
        // spread over all of them.
        std::string const pair = core_.options_.control_address_ + address;
        entry->second.rank_ = XXH64(pair.data(), pair.size(), 0);
    }
    if (!data_centre.empty())
    {
        entry->second.data_centre_ = data_centre;
    }
}

bool peer_exchange::is_local(peer const& peer) const
{
    return peer.data_centre_ == core_.options_.data_centre_;
}

std::vector<watch_candidate>
peer_exchange::watch_candidates(time_point now) const
{
    std::vector<watch_candidate> found;
    for (auto const& [address, peer] : peers_)
    {
        bool const is_recent = peer.last_response_at_ &&
                               now - *peer.last_response_at_ < watcher_lifetime;
        if (is_recent && is_local(peer) && !peer.stop_end_)
        {
            found.push_back({address, peer.reachability_});
        }
    }
    return found;
}

milliseconds peer_exchange::poll_interval_for(peer const& peer,
                                              std::size_t polled) const
{
    // Changes in the store must arrive without delay, so watchers are polled at
    // the shortest interval.
    bool const is_watcher =
        is_local(peer) && peer.reachability_ == store_reachability::reachable;
    return is_watcher ? poll_interval
                      : std::max(poll_interval, poll_interval_per_peer *
                                                    static_cast<int>(polled));
}

bool peer_exchange::should_request_endpoints(peer const& peer,
                                             time_point now) const
{
    store_reachability const own = handlers_.store_reachability_();
    bool const is_behind =
        behind_since_ && now - *behind_since_ > local_update_delay;
    return is_behind || own == store_reachability::unreachable ||
           (own == store_reachability::none && is_local(peer));
}

std::vector<std::string> peer_exchange::peers_to_poll() const
{
    std::vector<std::string> polled;
    // By data centre: whether the router responds, its rank and its address.
    std::map<std::string, std::tuple<bool, std::uint64_t, std::string>> chosen;
    for (auto const& [address, peer] : peers_)
    {
        if (is_local(peer) || peer.data_centre_.empty())
        {
            polled.push_back(address);
            continue;
        }
        std::tuple const rank(peer.failed_polls_ < max_failed_polls, peer.rank_,
                              address);
        auto const [entry, is_first] =
            chosen.try_emplace(peer.data_centre_, rank);
        if (!is_first && entry->second < rank)
        {
            entry->second = rank;
        }
    }
    for (auto const& [data_centre, rank] : chosen)
    {
        polled.push_back(std::get<std::string>(rank));
    }
    return polled;
}

json peer_exchange::loads(bool of_data_centre) const
{
    std::map<std::string, endpoint_load> sums;
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        sums[id] = endpoint->load_;
    }
    if (of_data_centre)
    {
        for (auto const& [address, peer] : peers_)
        {
            if (is_local(peer))
            {
                add_loads(sums, peer.loads_);
            }
        }
    }
    json value = json::object();
    for (auto const& [id, load] : sums)
    {
        if (load.requests_ > 0)
        {
            value[id] = {load.requests_, std::llround(load.kv_reserved_),
                         std::llround(load.prefill_backlog_)};
        }
    }
    return value;
}

json peer_exchange::senders(bool of_data_centre) const
{
    time_point const now = core_.clock_.now();
    json value = json::object();
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        if (!endpoint->rate_limit_.per_s_)
        {
            continue;
        }
        std::uint32_t count = is_sender(endpoint->rate_limit_, now) ? 1 : 0;
        for (auto const& [address, peer] : peers_)
        {
            auto const found = peer.senders_.find(id);
            if (of_data_centre && is_local(peer) &&
                found != peer.senders_.end())
            {
                count += found->second;
            }
        }
        value[id] = count;
    }
    return value;
}

void peer_exchange::sum_senders(time_point now)
{
    std::map<std::string, std::uint32_t> sums;
    for (auto const& [address, peer] : peers_)
    {
        bool const is_recent = peer.last_response_at_ &&
                               now - *peer.last_response_at_ <= load_lifetime;
        for (auto const& [id, count] : peer.senders_)
        {
            sums[id] += is_recent ? count : 0;
        }
    }
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        if (endpoint->rate_limit_.per_s_)
        {
            set_other_senders(endpoint->rate_limit_, sums[id], now);
        }
    }
}

json peer_exchange::unresponsive_endpoints() const
{
    time_point const now = core_.clock_.now();
    json value = json::array();
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        // Reports of other routers are excluded, or they would circulate
        // forever.
        if (endpoint->probe_failed_ > endpoint->probe_answered_ &&
            now - endpoint->probe_failed_ < probe_failure_lifetime)
        {
            value.push_back(id);
        }
    }
    return value;
}

void peer_exchange::apply_unresponsive(json const& state, time_point now)
{
    for (json const& each : state.value("avoided", json::array()))
    {
        auto const found =
            each.is_string()
                ? core_.directory_.endpoints_.find(each.get<std::string>())
                : core_.directory_.endpoints_.end();
        if (found == core_.directory_.endpoints_.end() ||
            has_responded_since(*found->second, now - probe_failure_lifetime))
        {
            continue;
        }
        endpoint_health& health = found->second->health_;
        health.avoid_until_ =
            std::max(health.avoid_until_, now + reported_avoidance);
    }
}

json peer_exchange::endpoints_since(json const& request) const
{
    auto const known_revision = request.find("endpoint_revision");
    if (known_revision == request.end() ||
        !known_revision->is_number_unsigned())
    {
        return nullptr;
    }
    auto const delta = changes_since(handlers_.endpoint_entries_(),
                                     known_revision->get<std::uint64_t>());
    if (!delta)
    {
        return nullptr;
    }
    auto const recovery_time = std::chrono::duration_cast<milliseconds>(
        core_.directory_.list_trusted_at_ - core_.clock_.now());
    return {{"revision", delta->revision_},
            {"whole", delta->is_full_},
            {"changed", delta->changed_},
            {"removed", delta->removed_},
            {"settling_ms", std::max<std::int64_t>(0, recovery_time.count())}};
}

std::string peer_exchange::make_state(json const& request)
{
    bool const is_local_request =
        request.value("data_centre", "") == core_.options_.data_centre_;
    json state{{"data_centre", core_.options_.data_centre_},
               {"loads", loads(!is_local_request)},
               {"senders", senders(!is_local_request)}};
    std::uint64_t const version =
        core_.routes_ == nullptr ? 0 : core_.routes_->table().version_;
    if (version > request.value("version", std::uint64_t{0}))
    {
        state["configuration"] = handlers_.configuration_text_();
    }
    if (core_.is_stopping_)
    {
        auto const left = core_.stop_began_at_ + core_.options_.stop_limit_ -
                          core_.clock_.now();
        state["stopping_ms"] =
            std::chrono::duration_cast<milliseconds>(left).count();
    }
    announced_lease const lease = handlers_.latest_lease_();
    state["lease"] = {{"holder", lease.holder_}, {"version", lease.version_}};
    for (auto const& [fingerprint, crashes] :
         local_crashes(core_.crashes_, core_.clock_.now()))
    {
        state["crashes"].push_back({fingerprint, crashes});
    }
    std::uint64_t const suspicion = core_.prompt_suspicion_.revision_;
    if (request.value("suspicion_revision", suspicion) != suspicion)
    {
        state["suspicion_revision"] = suspicion;
        state["suspicion"] = write_prompt_suspicion(
            current_update(core_.prompt_suspicion_), core_.clock_.now());
    }
    state["avoided"] = unresponsive_endpoints();
    state["store"] = to_string(handlers_.store_reachability_());
    state["endpoint_revision"] = handlers_.endpoint_entries_().revision_;
    if (json endpoints = endpoints_since(request); !endpoints.is_null())
    {
        state["endpoints"] = std::move(endpoints);
    }
    if (request.value("peers", std::size_t{0}) < peers_.size())
    {
        for (auto const& [address, peer] : peers_)
        {
            if (peer.last_response_at_)
            {
                state["peers"].push_back({address, peer.data_centre_});
            }
        }
    }
    return state.dump(-1, ' ', false, json::error_handler_t::replace);
}

local_response peer_exchange::handle_request(std::string const& body)
try
{
    json const request = json::parse(body, nullptr, false);
    if (!request.is_object())
    {
        return {status_bad_request, "text/plain",
                "the request is not a JSON object\n"};
    }
    add_peer(request.value("from", ""), request.value("data_centre", ""));
    read_suspicion(request);
    return {status_ok, "application/json", make_state(request)};
}
catch (json::exception const& failure)
{
    log(log_level::warning, log_event::frame_rejected, {}, failure.what());
    return {status_bad_request, "text/plain",
            std::string(failure.what()) + "\n"};
}

void peer_exchange::on_tick(time_point now)
{
    std::erase_if(peers_,
                  [&](auto const& entry)
                  {
                      return entry.second.last_response_at_ &&
                             now - *entry.second.last_response_at_ >
                                 peer_lifetime;
                  });
    update_peer_stops(now);
    core_.router_count_ = static_cast<std::uint32_t>(peers_.size() + 1);
    core_.live_router_count_ =
        core_.router_count_ -
        static_cast<std::uint32_t>(std::count_if(
            peers_.begin(), peers_.end(),
            [](auto const& entry)
            { return entry.second.failed_polls_ >= max_failed_polls; }));
    std::vector<std::string> const polled = peers_to_poll();
    for (std::string const& address : polled)
    {
        peer& peer = peers_[address];
        if (!peer.is_request_pending_ && now >= peer.next_call_)
        {
            send_request(address, peer, poll_interval_for(peer, polled.size()),
                         now);
        }
    }
}

void peer_exchange::poll_now(time_point now)
{
    for (auto& [address, peer] : peers_)
    {
        peer.next_call_ = std::min(peer.next_call_, now);
    }
}

void peer_exchange::update_peer_stops(time_point now)
{
    core_.is_other_router_accepting_ = false;
    core_.first_router_stop_end_.reset();
    for (auto const& [address, peer] : peers_)
    {
        bool const is_recent =
            peer.last_response_at_ &&
            now - *peer.last_response_at_ < accepting_lifetime;
        if (is_recent && !peer.stop_end_)
        {
            core_.is_other_router_accepting_ = true;
        }
        if (peer.stop_end_)
        {
            core_.first_router_stop_end_ =
                std::min(core_.first_router_stop_end_.value_or(*peer.stop_end_),
                         *peer.stop_end_);
        }
    }
}

void peer_exchange::send_request(std::string const& address, peer& peer,
                                 milliseconds interval, time_point now)
{
    peer.is_request_pending_ = true;
    peer.next_call_ = now + interval;
    json request{{"from", core_.options_.control_address_},
                 {"data_centre", core_.options_.data_centre_},
                 {"peers", peers_.size()},
                 {"version", core_.routes_ == nullptr
                                 ? 0
                                 : core_.routes_->table().version_}};
    request["suspicion_revision"] = peer.known_suspicion_;
    std::uint64_t const suspicion = core_.prompt_suspicion_.revision_;
    if (peer.sent_suspicion_ != suspicion)
    {
        request["suspicion"] = write_prompt_suspicion(
            current_update(core_.prompt_suspicion_), now);
    }
    if (should_request_endpoints(peer, now))
    {
        request["endpoint_revision"] = handlers_.endpoint_entries_().revision_;
    }
    http_client_.call(
        address, {"POST", "/exchange", request.dump()}, request_timeout,
        [this, address, suspicion](result<http_reply> const& reply)
        { on_reply(address, suspicion, reply); });
}

void peer_exchange::on_reply(std::string const& address,
                             std::uint64_t sent_suspicion,
                             result<http_reply> const& reply)
{
    auto const found = peers_.find(address);
    if (found == peers_.end())
    {
        return;
    }
    peer& peer = found->second;
    time_point const now = core_.clock_.now();
    peer.is_request_pending_ = false;
    if (!reply || reply.value().status_ != status_ok)
    {
        ++peer.failed_polls_;
        peer.next_call_ = now + failed_poll_interval;
        sum_loads(now);
        return;
    }
    peer.sent_suspicion_ = sent_suspicion;
    try
    {
        read_state(address, peer, json::parse(reply.value().body_), now);
    }
    catch (json::exception const& failure)
    {
        // The address may have been reassigned to another program.
        ++peer.failed_polls_;
        log(log_level::warning, log_event::frame_rejected, {{"peer", address}},
            failure.what());
    }
}

void peer_exchange::read_state(std::string const& address, peer& peer,
                               json const& state, time_point now)
{
    std::string const data_centre = state.at("data_centre").get<std::string>();
    peer.last_response_at_ = now;
    peer.failed_polls_ = 0;
    peer.stop_end_.reset();
    if (auto const left = state.find("stopping_ms");
        left != state.end() && left->is_number_integer())
    {
        peer.stop_end_ = now + milliseconds(left->get<std::int64_t>());
    }
    peer.data_centre_ = data_centre;
    read_loads(peer, state);
    peer.senders_ =
        state.value("senders", std::map<std::string, std::uint32_t>());
    read_crashes(address, state);
    read_suspicion(state);
    peer.known_suspicion_ =
        state.value("suspicion_revision", peer.known_suspicion_);
    apply_unresponsive(state, now);
    if (auto const lease = state.find("lease");
        lease != state.end() && lease->is_object())
    {
        handlers_.on_lease_({lease->value("holder", ""),
                             lease->value("version", std::uint64_t{0})});
    }
    sum_loads(now);
    sum_senders(now);
    if (auto const text = state.find("configuration");
        text != state.end() && text->is_string())
    {
        handlers_.on_configuration_(text->get<std::string>(), address);
    }
    peer.reachability_ = parse_store_reachability(state.value("store", ""));
    read_endpoints(state, now);
    read_peers(state);
}

void peer_exchange::read_endpoints(json const& state, time_point now)
{
    if (auto const entries = state.find("endpoints"); entries != state.end())
    {
        // Entries may have expired while the store was unreachable; missing
        // ones are kept until the store has had time to recover them.
        core_.directory_.list_trusted_at_ = std::max(
            core_.directory_.list_trusted_at_,
            now + milliseconds(entries->at("settling_ms").get<std::int64_t>()));
        entries_delta delta;
        delta.revision_ = entries->at("revision").get<std::uint64_t>();
        delta.is_full_ = entries->at("whole").get<bool>();
        delta.changed_ =
            entries->at("changed").get<std::map<std::string, std::string>>();
        delta.removed_ = entries->at("removed").get<std::vector<std::string>>();
        handlers_.on_endpoints_(delta);
    }
    newest_revision_ = std::max(
        newest_revision_, state.value("endpoint_revision", std::uint64_t{0}));
    if (newest_revision_ <= handlers_.endpoint_entries_().revision_)
    {
        behind_since_.reset();
    }
    else if (!behind_since_)
    {
        behind_since_ = now;
    }
}

void peer_exchange::read_peers(json const& state)
{
    for (json const& each : state.value("peers", json::array()))
    {
        constexpr std::size_t element_count = 2;
        if (each.is_array() && each.size() == element_count &&
            each[0].is_string() && each[1].is_string())
        {
            add_peer(each[0].get<std::string>(), each[1].get<std::string>());
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
        constexpr std::size_t element_count = 3;
        if (load.is_array() && load.size() == element_count &&
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
        constexpr std::size_t element_count = 2;
        if (each.is_array() && each.size() == element_count &&
            each[0].is_number_unsigned() && each[1].is_number_unsigned())
        {
            table[each[0].get<request_fingerprint>()] =
                each[1].get<std::uint32_t>();
        }
    }
    replace_peer_crashes(core_.crashes_, address, std::move(table));
}

void peer_exchange::read_suspicion(json const& message)
{
    auto const suspicion = message.find("suspicion");
    if (suspicion == message.end())
    {
        return;
    }
    time_point const now = core_.clock_.now();
    merge_update(core_.prompt_suspicion_,
                 read_prompt_suspicion(*suspicion, now), now);
}

void peer_exchange::sum_loads(time_point now)
{
    std::map<std::string, endpoint_load> sums;
    for (auto const& [address, peer] : peers_)
    {
        if (peer.last_response_at_ &&
            now - *peer.last_response_at_ <= load_lifetime)
        {
            add_loads(sums, peer.loads_);
        }
    }
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        endpoint->other_routers_load_ = sums[id];
    }
}

} // namespace auburnlb
