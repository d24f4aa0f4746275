// Keeps the configurations that this process has in force, and carries out what
// the decisions on their spreading say. Used by entries and companions.
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

/// How the keeper reaches the process around it.
struct config_manager_environment
{
    clock_source const& clock_;
    distribution_member self_;
    std::function<void(std::string const& peer, message body)> send_;
    /// Sends a hello, which shows this process's versions.
    std::function<void(std::string const& peer)> greet_;
    /// Starts or stops watching the platform; may be empty.
    std::function<void(bool)> watch_;
    /// A newer configuration is in force.
    std::function<void(std::shared_ptr<service_config const>)> on_config_;
};

/// Not thread-safe. Invariant: the version of a service never falls.
class config_manager
{
public:
    explicit config_manager(config_manager_environment environment);

    void set_members(std::vector<distribution_member> members);
    void on_platform_object(platform_object const& object);
    void on_push(config_push const& body);
    void on_request(config_request const& body);
    void on_versions(std::string const& peer, version_map const& versions);
    /// A frame carried the version of its service.
    void on_version(std::string const& peer, std::string const& service,
                    std::uint64_t version);
    void on_tick();

    /// Versions known here, for hellos.
    version_map versions() const;
    std::map<std::string, std::shared_ptr<service_config const>> const&
    services() const
    {
        return services_;
    }

private:
    void apply(distribution_actions const& actions);
    void apply_one(request_configs const& action);
    void apply_one(announce_versions const& action);
    void apply_one(send_configs const& action);
    void apply_one(publish_config const& action);
    void apply_one(set_watching const& action);

    config_manager_environment const environment_;
    distribution_state spread_;
    /// Each the highest version seen that this program can read.
    std::map<std::string, std::shared_ptr<service_config const>> services_;
};

} // namespace auburnlb

#endif
