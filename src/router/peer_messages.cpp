// Content of the messages between routers: writing this router's state and
// applying that of others.
#include "auburnlb/router/peer_exchange.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "auburnlb/router/crash_messages.hpp"
#include "auburnlb/router/entry_messages.hpp"
#include "auburnlb/state/json_text.hpp"

namespace auburnlb
{

namespace
{

using nlohmann::json;

/// Time for which a failed probe is reported to other routers. It is ignored by
/// routers that have seen more recent activity.
constexpr milliseconds probe_failure_lifetime{600};
/// How long an endpoint is avoided after another router reported it.
constexpr milliseconds reported_avoidance{600};

} // namespace

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
    auto const delta =
        changes_since(handlers_.endpoint_entries_(),
                      {request.value("endpoint_epoch", std::uint64_t{0}),
                       known_revision->get<std::uint64_t>()});
    if (!delta)
    {
        return nullptr;
    }
    auto const recovery_time = std::chrono::duration_cast<milliseconds>(
        core_.directory_.list_trusted_at_ - core_.clock_.now());
    return {{"epoch", delta->version_.epoch_},
            {"revision", delta->version_.revision_},
            {"whole", delta->is_full_},
            {"changed", delta->changed_},
            {"removed", delta->removed_},
            {"settling_ms", std::max<std::int64_t>(0, recovery_time.count())}};
}

void peer_exchange::add_crash_causes(json& state, json const& request) const
{
    std::uint64_t const revision = core_.crash_causes_.revision_;
    std::uint64_t const known = request.value("causes_revision", revision);
    if (known != revision)
    {
        state["causes_revision"] = revision;
        state["causes"] = write_crash_causes(
            current_update(core_.crash_causes_, known), core_.clock_.now());
    }
}

std::string peer_exchange::make_state(json const& request)
{
    bool const is_local_request =
        request.value("data_centre", "") == core_.options_.data_centre_;
    json state{{"data_centre", core_.options_.data_centre_},
               {"loads", loads(!is_local_request)},
               {"senders", senders(!is_local_request)}};
    if (core_.options_.shares_capacity_)
    {
        state["demands"] = demands(!is_local_request);
        state["full"] = full_endpoints();
    }
    std::uint64_t const version =
        core_.routes_ == nullptr ? 0 : core_.routes_->table().version_;
    if (version > request.value("version", std::uint64_t{0}))
    {
        state["configuration"] = handlers_.configuration_text_();
        core_.metrics_.add("auburnlb_router_configuration_copies_total");
    }
    if (core_.is_stopping_)
    {
        auto const left =
            core_.stop_.began_at_ + core_.stop_.limit_ - core_.clock_.now();
        state["stopping_ms"] =
            std::chrono::duration_cast<milliseconds>(left).count();
    }
    announced_lease const lease = handlers_.latest_lease_();
    state["lease"] = {{"holder", lease.holder_},
                      {"epoch", lease.version_.epoch_},
                      {"version", lease.version_.revision_}};
    add_crash_causes(state, request);
    state["avoided"] = unresponsive_endpoints();
    state["store"] = to_string(handlers_.store_reachability_());
    if (auto const answered_at = handlers_.store_answered_at_())
    {
        state["store_answer_age_ms"] = std::chrono::duration_cast<milliseconds>(
                                           core_.clock_.now() - *answered_at)
                                           .count();
    }
    store_version const& known = handlers_.endpoint_entries_().version_;
    state["endpoint_epoch"] = known.epoch_;
    state["endpoint_revision"] = known.revision_;
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
    return dump_text(state);
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
        peer.stop_end_ = now + read_short_time(*left);
    }
    peer.data_centre_ = data_centre;
    read_use(peer, state, now);
    peer.senders_ = read_senders(state.value("senders", json::object()));
    read_causes(state);
    peer.known_causes_ = state.value("causes_revision", peer.known_causes_);
    apply_unresponsive(state, now);
    if (auto const lease = state.find("lease");
        lease != state.end() && lease->is_object())
    {
        handlers_.on_lease_({lease->value("holder", ""),
                             {lease->value("epoch", std::uint64_t{0}),
                              lease->value("version", std::uint64_t{0})}});
    }
    sum_senders(now);
    if (auto const text = state.find("configuration");
        text != state.end() && text->is_string())
    {
        handlers_.on_configuration_(text->get<std::string>(), address);
    }
    peer.reachability_ = parse_store_reachability(state.value("store", ""));
    read_store_answer(peer, state);
    read_endpoints(state, now);
    read_peers(state);
}

void peer_exchange::read_endpoints(json const& state, time_point now)
{
    if (auto const entries = state.find("endpoints"); entries != state.end())
    {
        // Entries may have expired while the store was unreachable; missing
        // ones are kept until the store has had time to recover them.
        core_.directory_.list_trusted_at_ =
            std::max(core_.directory_.list_trusted_at_,
                     now + read_short_time(entries->at("settling_ms")));
        handlers_.on_endpoints_(read_entries_delta(*entries));
    }
    newest_version_ = std::max(
        newest_version_,
        store_version{state.value("endpoint_epoch", std::uint64_t{0}),
                      state.value("endpoint_revision", std::uint64_t{0})});
    if (newest_version_ <= handlers_.endpoint_entries_().version_)
    {
        behind_since_.reset();
    }
    else if (!behind_since_)
    {
        behind_since_ = now;
    }
}

void peer_exchange::read_store_answer(peer& peer, json const& state)
{
    auto const age = state.find("store_answer_age_ms");
    if (age == state.end() || !age->is_number_unsigned())
    {
        return;
    }
    // The age was taken after the question was sent.
    time_point const at = peer.asked_at_ - read_short_time(*age);
    peer.store_answered_at_ =
        std::max(peer.store_answered_at_.value_or(at), at);
    handlers_.on_store_answer_(at);
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

void peer_exchange::read_causes(json const& message)
{
    auto const causes = message.find("causes");
    if (causes == message.end())
    {
        return;
    }
    time_point const now = core_.clock_.now();
    count_learned_crashes(core_, "router",
                          merge_update(core_.crash_causes_,
                                       read_crash_causes(*causes, now), now));
}

void peer_exchange::sum_senders(time_point now)
{
    std::map<std::string, std::uint32_t> sums;
    for (auto const& [address, peer] : peers_)
    {
        bool const is_recent = is_load_recent(peer, now);
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

} // namespace auburnlb
