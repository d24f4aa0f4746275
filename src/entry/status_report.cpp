// Renders the status of an entry as JSON.
#include "auburnlb/entry/status_report.hpp"

#include <nlohmann/json.hpp>

#include "auburnlb/state/json_text.hpp"

namespace auburnlb
{

namespace
{

nlohmann::ordered_json describe_service(routing_view const& view,
                                        service_config const& config)
{
    nlohmann::ordered_json object{{"name", config.name_},
                                  {"version", config.version_}};
    auto const plan = view.plan_.services_.find(config.name_);
    if (plan == view.plan_.services_.end())
    {
        return object;
    }
    object["bound_tokens_per_second"] = plan->second.bound_.tokens_per_second_;
    for (auto const& limit : plan->second.bound_.limits_)
    {
        object["limited_by"].push_back(limit.endpoints_);
    }
    return object;
}

nlohmann::ordered_json describe_endpoint(endpoint_description const& endpoint)
{
    char const* const state = endpoint.state_ == host_state::live ? "live"
                              : endpoint.state_ == host_state::leaving
                                  ? "leaving"
                                  : "dead";
    return {{"name", endpoint.name_},
            {"address", endpoint.address_},
            {"service", endpoint.service_},
            {"data_centre", endpoint.data_centre_},
            {"state", state},
            {"layers", {endpoint.layers_.first_, endpoint.layers_.end_}},
            {"accelerator", endpoint.accelerator_},
            {"tokens_per_second", endpoint.tokens_per_second_}};
}

} // namespace

std::string render_status(std::string const& entry, routing_view const& view)
{
    nlohmann::ordered_json status;
    status["entry"] = entry;
    status["entries"] = view.entry_count_;
    status["services"] = nlohmann::ordered_json::array();
    status["endpoints"] = nlohmann::ordered_json::array();
    for (auto const& [name, config] : view.fleet_.services_)
    {
        status["services"].push_back(describe_service(view, *config));
    }
    for (auto const& endpoint : view.fleet_.endpoints_)
    {
        status["endpoints"].push_back(describe_endpoint(endpoint));
    }
    return dump_text(status);
}

} // namespace auburnlb
