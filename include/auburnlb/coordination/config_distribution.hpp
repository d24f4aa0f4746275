// Distribution of accepted configurations: a few watchers in each data centre
// read the platform, the other processes get updates from them along trees,
// and a periodic exchange of versions repairs missed updates (anti-entropy).
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
/// Version and text of each service's object, by service, as in config_push.
using config_texts =
    std::map<std::string, std::pair<std::uint64_t, std::string>>;

struct distribution_limits
{
    /// Processes of a data centre that watch the platform. Also the number of
    /// trees, so each process has up to this many parents.
    std::size_t watchers_ = 2;
    /// Children of a process in one tree.
    std::size_t fan_out_ = 4;
    /// Interval at which a process announces its versions to another one.
    milliseconds exchange_interval_{500};
    /// One in this many exchanges may go to another data centre; the others
    /// stay within the process's own.
    std::uint32_t remote_exchange_every_ = 4;
    /// A request for a version is not repeated within this time.
    milliseconds request_retry_{250};

    bool operator==(distribution_limits const&) const = default;
};

/// A process that takes part in the distribution.
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

/// A request for a configuration that has not been answered.
struct pending_request
{
    std::uint64_t version_ = 0;
    time_point sent_{};

    bool operator==(pending_request const&) const = default;
};

/// State of one process. Invariant: the version of a service never decreases.
struct distribution_state
{
    distribution_limits limits_;
    distribution_member self_;
    /// Live members other than this process, sorted.
    std::vector<distribution_member> members_;
    /// This process's children in all trees, which get announcements at once.
    std::vector<std::string> children_;
    bool is_watcher_ = false;
    config_texts services_;
    std::map<std::string, pending_request> pending_requests_;
    time_point next_exchange_{};
    /// Number of exchanges so far. Selects the next partner, together with the
    /// address.
    std::uint64_t exchanges_ = 0;
};

/// Send config_request to a peer. An empty list requests all services.
struct request_configs
{
    std::string address_;
    std::vector<std::string> services_;

    bool operator==(request_configs const&) const = default;
};

/// Send a hello with the versions in force in this process.
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

/// Handles a new list of live members. The list may contain this process.
distribution_actions on_members(distribution_state& state,
                                std::vector<distribution_member> members,
                                time_point now);

/// Handles objects that were read from the platform, arrived through a watch or
/// were accepted through this process.
distribution_actions on_platform_configs(distribution_state& state,
                                         config_texts const& configs,
                                         time_point now);

/// Handles config_push from a peer.
distribution_actions on_config_push(distribution_state& state,
                                    config_texts const& configs,
                                    time_point now);

/// Handles the versions that a peer has sent in a hello or a hello reply.
distribution_actions on_peer_versions(distribution_state& state,
                                      std::string const& peer,
                                      version_map const& versions,
                                      time_point now);

/// Handles the version of a service in a frame from a peer. Announces this
/// process's versions if the peer's is older.
distribution_actions on_frame_version(distribution_state& state,
                                      std::string const& peer,
                                      std::string const& service,
                                      std::uint64_t version, time_point now);

/// Handles config_request from a peer.
distribution_actions
on_config_request(distribution_state const& state, std::string const& peer,
                  std::vector<std::string> const& services);

/// Starts an exchange if one is due. To be called at least every 100 ms.
distribution_actions on_distribution_tick(distribution_state& state,
                                          time_point now);

/// Returns the version of each service in force in this process.
version_map versions_in_force(distribution_state const& state);

} // namespace auburnlb

#endif
