// Holds the configurations in force in this process and executes the actions of
// their distribution. Used by entries and companions.
#ifndef AUBURNLB_TRANSPORT_CONFIG_MANAGER_HPP
#define AUBURNLB_TRANSPORT_CONFIG_MANAGER_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "auburnlb/coordination/config_distribution.hpp"
#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/service_config.hpp"
#include "auburnlb/transport/platform_client.hpp"

namespace auburnlb
{

/// The callbacks through which the config_manager uses its process.
struct config_manager_environment
{
    clock_source const& clock_;
    distribution_member self_;
    std::function<void(std::string const& peer, message body)> send_;
    /// Sends a hello, which contains this process's versions.
    std::function<void(std::string const& peer)> send_hello_;
    /// Starts or stops watching the platform; may be empty.
    std::function<void(bool)> set_watching_;
    /// Called when a newer configuration is in force.
    std::function<void(std::shared_ptr<service_config const>)> on_config_;
};

/// Not thread-safe. Invariant: the version of a service never decreases.
class config_manager
{
public:
    explicit config_manager(config_manager_environment environment);

    void set_members(std::vector<distribution_member> members);
    void on_platform_object(platform_object const& object);
    void on_push(config_push const& body);
    void on_request(config_request const& body);
    void on_versions(std::string const& peer, version_map const& versions);
    /// Handles the version of a service that a frame carried.
    void on_version(std::string const& peer, std::string const& service,
                    std::uint64_t version);
    void on_tick();

    /// Versions in force in this process, for hellos.
    version_map versions() const;
    std::map<std::string, std::shared_ptr<service_config const>> const&
    services() const
    {
        return services_;
    }

private:
    void apply(distribution_actions const& actions);
    void execute(request_configs const& action);
    void execute(announce_versions const& action);
    void execute(send_configs const& action);
    void execute(publish_config const& action);
    void execute(set_watching const& action);

    config_manager_environment const environment_;
    distribution_state distribution_;
    /// By service: the highest version received that this program can read.
    std::map<std::string, std::shared_ptr<service_config const>> services_;
};

} // namespace auburnlb

#endif
