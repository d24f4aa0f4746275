// Spreading of accepted configurations: a few watchers in each data centre
// read the platform, the others learn from them through trees, and an exchange
// of versions mends what the trees missed.
#ifndef AUBURNLB_COORDINATION_CONFIG_DISTRIBUTION_HPP
#define AUBURNLB_COORDINATION_CONFIG_DISTRIBUTION_HPP

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

struct distribution_limits
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

    bool operator==(distribution_limits const&) const = default;
};

/// A process that takes part.
struct distribution_member
{
    std::string address_;
    std::string data_centre_;

    bool operator==(distribution_member const&) const = default;
    bool operator<(distribution_member const& other) const
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
struct distribution_state
{
    distribution_limits limits_;
    distribution_member self_;
    /// Live members without this process, sorted.
    std::vector<distribution_member> members_;
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
struct request_configs
{
    std::string address_;
    std::vector<std::string> services_;

    bool operator==(request_configs const&) const = default;
};

/// Show a peer the versions in force here, with a hello.
struct announce_versions
{
    std::string address_;

    bool operator==(announce_versions const&) const = default;
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

using distribution_action =
    std::variant<request_configs, announce_versions, send_configs,
                 publish_config, set_watching>;
using distribution_actions = std::vector<distribution_action>;

/// The live members changed. The list may hold this process.
distribution_actions on_members(distribution_state& state,
                                std::vector<distribution_member> members,
                                time_point now);

/// Objects read or watched from the platform, or accepted through this
/// process.
distribution_actions on_platform_configs(distribution_state& state,
                                         config_texts const& configs,
                                         time_point now);

/// A peer's config_push.
distribution_actions on_config_push(distribution_state& state,
                                    config_texts const& configs,
                                    time_point now);

/// A peer showed the versions that it has, in a hello or its reply.
distribution_actions on_peer_versions(distribution_state& state,
                                      std::string const& peer,
                                      version_map const& versions,
                                      time_point now);

/// A frame of a peer carried the version of its service.
distribution_actions on_frame_version(distribution_state& state,
                                      std::string const& peer,
                                      std::string const& service,
                                      std::uint64_t version, time_point now);

/// A peer's config_request.
distribution_actions
on_config_request(distribution_state const& state, std::string const& peer,
                  std::vector<std::string> const& services);

/// Called at least every 100 ms.
distribution_actions on_distribution_tick(distribution_state& state,
                                          time_point now);

version_map versions_in_force(distribution_state const& state);

} // namespace auburnlb

#endif
