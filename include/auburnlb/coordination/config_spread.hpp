// Spreading of accepted configurations: a few watchers in each data centre
// read the platform, the others learn from them through trees, and an exchange
// of versions mends what the trees missed.
#ifndef AUBURNLB_COORDINATION_CONFIG_SPREAD_HPP
#define AUBURNLB_COORDINATION_CONFIG_SPREAD_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Versions by service.
using version_map = std::map<std::string, std::uint64_t>;
/// Version and text of the object, by service, as config_push carries them.
using config_texts =
    std::map<std::string, std::pair<std::uint64_t, std::string>>;

struct spread_limits
{
    /// Processes of a data centre that watch the platform; also the number of
    /// trees, so that each process has that many parents.
    std::size_t watchers_ = 2;
    /// Children of a process in one tree.
    std::size_t fan_out_ = 4;
    /// Interval at which a process shows its versions to one other.
    milliseconds exchange_interval_{500};
    /// Every so many exchanges go to a process of any data centre.
    std::uint32_t far_exchange_every_ = 4;
    /// A request for a version is not repeated within this time.
    milliseconds ask_retry_{250};

    bool operator==(spread_limits const&) const = default;
};

/// A process that takes part.
struct spread_member
{
    std::string address_;
    std::string data_centre_;

    bool operator==(spread_member const&) const = default;
    bool operator<(spread_member const& other) const
    {
        return std::tie(address_, data_centre_) <
               std::tie(other.address_, other.data_centre_);
    }
};

/// A request that is under way.
struct pending_ask
{
    std::uint64_t version_ = 0;
    time_point sent_{};

    bool operator==(pending_ask const&) const = default;
};

/// What one process knows. Invariant: the version of a service never falls.
struct spread_state
{
    spread_limits limits_;
    spread_member self_;
    /// Live members without this process, sorted.
    std::vector<spread_member> members_;
    /// Processes to tell first: this one's children in all trees.
    std::vector<std::string> children_;
    bool is_watcher_ = false;
    config_texts services_;
    std::map<std::string, pending_ask> asks_;
    time_point next_exchange_{};
    /// Counts exchanges; with the address it picks the partner.
    std::uint64_t exchanges_ = 0;
};

/// Send config_request to a peer; no services asks for all.
struct ask_peer
{
    std::string address_;
    std::vector<std::string> services_;

    bool operator==(ask_peer const&) const = default;
};

/// Show a peer the versions in force here, with a hello.
struct show_versions
{
    std::string address_;

    bool operator==(show_versions const&) const = default;
};

/// Send config_push to a peer.
struct send_configs
{
    std::string address_;
    config_texts services_;

    bool operator==(send_configs const&) const = default;
};

/// Put a configuration in force in this process.
struct publish_config
{
    std::string service_;
    std::uint64_t version_ = 0;
    std::string text_;

    bool operator==(publish_config const&) const = default;
};

/// Start or stop reading and watching the platform's objects.
struct set_watching
{
    bool is_watching_ = false;

    bool operator==(set_watching const&) const = default;
};

using spread_action = std::variant<ask_peer, show_versions, send_configs,
                                   publish_config, set_watching>;
using spread_actions = std::vector<spread_action>;

/// The live members changed. The list may hold this process.
spread_actions on_members(spread_state& state,
                          std::vector<spread_member> members, time_point now);

/// Objects read or watched from the platform, or accepted through this
/// process.
spread_actions on_platform_configs(spread_state& state,
                                   config_texts const& configs, time_point now);

/// A peer's config_push.
spread_actions on_config_push(spread_state& state, config_texts const& configs,
                              time_point now);

/// A peer showed the versions that it has, in a hello or its reply.
spread_actions on_peer_versions(spread_state& state, std::string const& peer,
                                version_map const& versions, time_point now);

/// A frame of a peer carried the version of its service.
spread_actions on_frame_version(spread_state& state, std::string const& peer,
                                std::string const& service,
                                std::uint64_t version, time_point now);

/// A peer's config_request.
spread_actions on_config_request(spread_state const& state,
                                 std::string const& peer,
                                 std::vector<std::string> const& services);

/// Called at least every 100 ms.
spread_actions on_spread_tick(spread_state& state, time_point now);

version_map versions_in_force(spread_state const& state);

} // namespace auburnlb

#endif
