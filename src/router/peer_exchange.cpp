// Requests between routers and their responses, in JSON over HTTP.
#include "auburnlb/router/peer_exchange.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "auburnlb/router/crash_messages.hpp"
#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/json_depth.hpp"
#include "auburnlb/state/json_text.hpp"
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
            found.push_back({address, peer.reachability_,
                             peer.store_answered_at_
                                 ? now - *peer.store_answered_at_
                                 : nanoseconds::max()});
        }
    }
    return found;
}

std::vector<std::string> peer_exchange::responding_routers() const
{
    std::vector<std::string> routers = peers_to_poll();
    std::erase_if(routers,
                  [this](std::string const& address)
                  {
                      peer const& each = peers_.at(address);
                      return !each.last_response_at_ || each.failed_polls_ > 0;
                  });
    return routers;
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

local_response peer_exchange::handle_request(std::string const& body)
try
{
    json const request = parse_shallow_json(body);
    if (!request.is_object())
    {
        return {status_bad_request, "text/plain",
                "the request is not a JSON object\n"};
    }
    add_peer(request.value("from", ""), request.value("data_centre", ""));
    read_causes(request);
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
    peer.asked_at_ = now;
    peer.next_call_ = now + interval;
    json request{{"from", core_.options_.control_address_},
                 {"data_centre", core_.options_.data_centre_},
                 {"peers", peers_.size()},
                 {"version", core_.routes_ == nullptr
                                 ? 0
                                 : core_.routes_->table().version_}};
    request["causes_revision"] = peer.known_causes_;
    std::uint64_t const revision = core_.crash_causes_.revision_;
    if (peer.sent_causes_ != revision)
    {
        request["causes"] = write_crash_causes(
            current_update(core_.crash_causes_, peer.sent_causes_), now);
    }
    if (should_request_endpoints(peer, now))
    {
        store_version const& known = handlers_.endpoint_entries_().version_;
        request["endpoint_epoch"] = known.epoch_;
        request["endpoint_revision"] = known.revision_;
    }
    http_client_.call(address, {"POST", "/exchange", dump_text(request)},
                      request_timeout,
                      [this, address, revision](result<http_reply> const& reply)
                      { on_reply(address, revision, reply); });
}

void peer_exchange::on_reply(std::string const& address,
                             std::uint64_t sent_causes,
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
    if (!reply || reply.value().head_.status_ != status_ok)
    {
        ++peer.failed_polls_;
        peer.next_call_ = now + failed_poll_interval;
        sum_use(now);
        return;
    }
    peer.sent_causes_ = sent_causes;
    try
    {
        read_state(address, peer, parse_shallow_json(reply.value().body_), now);
    }
    catch (json::exception const& failure)
    {
        // The address may have been reassigned to another program.
        ++peer.failed_polls_;
        log(log_level::warning, log_event::frame_rejected, {{"peer", address}},
            failure.what());
    }
}

} // namespace auburnlb
