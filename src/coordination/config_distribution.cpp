// The rules by which configurations spread.
#include "auburnlb/coordination/config_distribution.hpp"

#include <algorithm>

#include "auburnlb/coordination/rendezvous.hpp"

namespace auburnlb
{

namespace
{

std::vector<std::string> addresses_near(distribution_state const& state)
{
    std::vector<std::string> addresses{state.self_.address_};
    for (distribution_member const& member : state.members_)
    {
        if (member.data_centre_ == state.self_.data_centre_)
        {
            addresses.push_back(member.address_);
        }
    }
    return addresses;
}

// The watcher of one tree stands at its root; the others follow in an order
// of that tree's own, as a heap.
std::vector<std::string> tree_order(std::vector<std::string> const& watchers,
                                    std::vector<std::string> const& addresses,
                                    std::size_t tree)
{
    std::string const key = "tree-" + std::to_string(tree);
    std::vector<std::string> order = rank_members(key, addresses);
    auto const root = std::find(order.begin(), order.end(), watchers[tree]);
    std::rotate(order.begin(), root, root + 1);
    return order;
}

void add_children(distribution_state& state,
                  std::vector<std::string> const& order)
{
    auto const self =
        std::find(order.begin(), order.end(), state.self_.address_);
    auto const rank = static_cast<std::size_t>(self - order.begin());
    std::size_t const first = rank * state.limits_.fan_out_ + 1;
    std::size_t const end =
        std::min(first + state.limits_.fan_out_, order.size());
    for (std::size_t child = first; child < end; ++child)
    {
        state.children_.push_back(order[child]);
    }
}

void place_in_trees(distribution_state& state,
                    std::vector<std::string> const& watchers,
                    std::vector<std::string> const& addresses)
{
    state.children_.clear();
    for (std::size_t tree = 0; tree < watchers.size(); ++tree)
    {
        add_children(state, tree_order(watchers, addresses, tree));
    }
    std::sort(state.children_.begin(), state.children_.end());
    state.children_.erase(
        std::unique(state.children_.begin(), state.children_.end()),
        state.children_.end());
}

std::uint64_t version_of(distribution_state const& state,
                         std::string const& service)
{
    auto const found = state.services_.find(service);
    return found == state.services_.end() ? 0 : found->second.first;
}

void show_to_children(distribution_state const& state,
                      distribution_actions& actions)
{
    for (std::string const& child : state.children_)
    {
        actions.emplace_back(announce_versions{child});
    }
}

// Takes what is newer than what is in force. An equal or lower version changes
// nothing, wherever it comes from.
distribution_actions take_newer(distribution_state& state,
                                config_texts const& configs)
{
    distribution_actions actions;
    for (auto const& [service, config] : configs)
    {
        auto const& [version, text] = config;
        if (version <= version_of(state, service))
        {
            continue;
        }
        state.services_[service] = config;
        state.asks_.erase(service);
        actions.emplace_back(publish_config{service, version, text});
    }
    if (!actions.empty())
    {
        show_to_children(state, actions);
    }
    return actions;
}

bool is_asked_for(distribution_state const& state, std::string const& service,
                  std::uint64_t version, time_point now)
{
    auto const found = state.asks_.find(service);
    return found != state.asks_.end() && found->second.version_ >= version &&
           now - found->second.sent_ < state.limits_.ask_retry_;
}

// Exchanges go around the members by hash, so that no two processes share a
// fixed partner and every pair meets again.
std::string const* exchange_partner(distribution_state const& state)
{
    std::vector<std::string const*> candidates;
    bool const is_far =
        state.exchanges_ % state.limits_.far_exchange_every_ == 0;
    for (distribution_member const& member : state.members_)
    {
        if (is_far || member.data_centre_ == state.self_.data_centre_)
        {
            candidates.push_back(&member.address_);
        }
    }
    if (candidates.empty())
    {
        return nullptr;
    }
    std::uint64_t const score = rendezvous_score(
        std::to_string(state.exchanges_), state.self_.address_);
    return candidates[score % candidates.size()];
}

} // namespace

distribution_actions on_members(distribution_state& state,
                                std::vector<distribution_member> members,
                                time_point now)
{
    std::sort(members.begin(), members.end());
    std::erase_if(members, [&](distribution_member const& member)
                  { return member.address_ == state.self_.address_; });
    if (members == state.members_ && state.next_exchange_ != time_point{})
    {
        return {};
    }
    state.members_ = std::move(members);
    if (state.next_exchange_ == time_point{})
    {
        state.next_exchange_ = now;
    }
    std::vector<std::string> const addresses = addresses_near(state);
    std::vector<std::string> const watchers =
        pick_members("watchers", addresses, state.limits_.watchers_);
    place_in_trees(state, watchers, addresses);
    bool const is_watcher = std::find(watchers.begin(), watchers.end(),
                                      state.self_.address_) != watchers.end();
    if (is_watcher == state.is_watcher_)
    {
        return {};
    }
    state.is_watcher_ = is_watcher;
    return {set_watching{is_watcher}};
}

distribution_actions on_platform_configs(distribution_state& state,
                                         config_texts const& configs,
                                         time_point)
{
    return take_newer(state, configs);
}

distribution_actions on_config_push(distribution_state& state,
                                    config_texts const& configs, time_point)
{
    return take_newer(state, configs);
}

distribution_actions on_peer_versions(distribution_state& state,
                                      std::string const& peer,
                                      version_map const& versions,
                                      time_point now)
{
    request_configs ask{peer, {}};
    for (auto const& [service, version] : versions)
    {
        bool const is_behind = version > version_of(state, service);
        if (is_behind && !is_asked_for(state, service, version, now))
        {
            state.asks_[service] = {version, now};
            ask.services_.push_back(service);
        }
    }
    if (ask.services_.empty())
    {
        return {};
    }
    return {std::move(ask)};
}

distribution_actions on_frame_version(distribution_state& state,
                                      std::string const& peer,
                                      std::string const& service,
                                      std::uint64_t version, time_point now)
{
    if (version < version_of(state, service))
    {
        return {announce_versions{peer}};
    }
    return on_peer_versions(state, peer, {{service, version}}, now);
}

distribution_actions on_config_request(distribution_state const& state,
                                       std::string const& peer,
                                       std::vector<std::string> const& services)
{
    config_texts wanted;
    for (std::string const& service : services)
    {
        auto const found = state.services_.find(service);
        if (found != state.services_.end())
        {
            wanted.insert(*found);
        }
    }
    if (services.empty())
    {
        wanted = state.services_;
    }
    if (wanted.empty())
    {
        return {};
    }
    return {send_configs{peer, std::move(wanted)}};
}

distribution_actions on_distribution_tick(distribution_state& state,
                                          time_point now)
{
    if (now < state.next_exchange_ || state.members_.empty())
    {
        return {};
    }
    state.next_exchange_ = now + state.limits_.exchange_interval_;
    ++state.exchanges_;
    std::string const* partner = exchange_partner(state);
    if (partner == nullptr)
    {
        return {};
    }
    return {announce_versions{*partner}};
}

version_map versions_in_force(distribution_state const& state)
{
    version_map versions;
    for (auto const& [service, config] : state.services_)
    {
        versions[service] = config.first;
    }
    return versions;
}

} // namespace auburnlb
