// Runtime of the spreading of configurations.
#include "auburnlb/transport/config_manager.hpp"

#include <utility>

#include "auburnlb/state/log.hpp"
#include "auburnlb/state/service_object.hpp"

namespace auburnlb
{

config_manager::config_manager(config_manager_environment environment)
    : environment_(std::move(environment))
{
    spread_.self_ = environment_.self_;
}

void config_manager::set_members(std::vector<distribution_member> members)
{
    apply(on_members(spread_, std::move(members), environment_.clock_.now()));
}

void config_manager::on_platform_object(platform_object const& object)
{
    // The deletion of an object must not leave callers without a service that
    // runs; an operator withdraws a service by its limits.
    if (object.is_deleted_)
    {
        return;
    }
    config_texts const texts{{object.name_, {object.version_, object.value_}}};
    apply(on_platform_configs(spread_, texts, environment_.clock_.now()));
}

void config_manager::on_push(config_push const& body)
{
    apply(on_config_push(spread_, body.services_, environment_.clock_.now()));
}

void config_manager::on_request(config_request const& body)
{
    apply(on_config_request(spread_, body.from_address_, body.services_));
}

void config_manager::on_versions(std::string const& peer,
                                 version_map const& versions)
{
    apply(on_peer_versions(spread_, peer, versions, environment_.clock_.now()));
}

void config_manager::on_version(std::string const& peer,
                                std::string const& service,
                                std::uint64_t version)
{
    apply(on_frame_version(spread_, peer, service, version,
                           environment_.clock_.now()));
}

void config_manager::on_tick()
{
    apply(on_distribution_tick(spread_, environment_.clock_.now()));
}

version_map config_manager::versions() const
{
    return versions_in_force(spread_);
}

void config_manager::apply(distribution_actions const& actions)
{
    for (distribution_action const& action : actions)
    {
        std::visit([this](auto const& each) { apply_one(each); }, action);
    }
}

void config_manager::apply_one(request_configs const& action)
{
    environment_.send_(
        action.address_,
        config_request{environment_.self_.address_, action.services_});
}

void config_manager::apply_one(announce_versions const& action)
{
    environment_.greet_(action.address_);
}

void config_manager::apply_one(send_configs const& action)
{
    environment_.send_(action.address_, config_push{action.services_});
}

void config_manager::apply_one(set_watching const& action)
{
    if (environment_.watch_)
    {
        environment_.watch_(action.is_watching_);
    }
}

void config_manager::apply_one(publish_config const& action)
{
    auto config = config_from_object(action.text_, action.version_);
    if (!config)
    {
        log(log_level::error, log_event::configuration_rejected,
            {{"service", action.service_},
             {"version", std::to_string(action.version_)}},
            to_string(config.error()));
        return;
    }
    auto const fresh =
        std::make_shared<service_config const>(std::move(config).value());
    services_[action.service_] = fresh;
    log(log_level::info, log_event::configuration_in_force,
        {{"service", action.service_},
         {"version", std::to_string(action.version_)}},
        "a newer configuration is in force here");
    environment_.on_config_(fresh);
}

} // namespace auburnlb
