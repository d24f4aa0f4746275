// State that a router receives from the store and from other routers.
#include "auburnlb/router/router.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "auburnlb/router/forwarded_request.hpp"
#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/json_depth.hpp"
#include "auburnlb/state/json_text.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

constexpr char unnamed_reason[] = "the entry has no readable name";

entries_delta to_delta(std::vector<store_object> const& objects,
                       store_version const& version, bool is_whole)
{
    entries_delta delta;
    delta.version_ = version;
    delta.is_full_ = is_whole;
    for (store_object const& each : objects)
    {
        if (each.is_deleted_)
        {
            delta.changed_.erase(each.name_);
            delta.removed_.push_back(each.name_);
            continue;
        }
        std::erase(delta.removed_, each.name_);
        delta.changed_[each.name_] = each.value_;
    }
    return delta;
}

} // namespace

void router::on_configuration(store_object const& object,
                              std::string const& source)
{
    // The same text comes from the store and from other routers.
    if (object.value_ == configuration_text_)
    {
        return;
    }
    core_.metrics_.add("auburnlb_router_configuration_reads_total");
    auto table = core_.protocol_.read_route_table_(object.value_);
    if (!table)
    {
        log(log_level::error, log_event::configuration_rejected,
            {{"version", std::to_string(object.revision_)}, {"peer", source}},
            table.error().detail_);
        return;
    }
    std::uint64_t const known =
        core_.routes_ == nullptr ? 0 : core_.routes_->table().version_;
    if (table.value().version_ <= known)
    {
        return;
    }
    core_.routes_ =
        std::make_shared<route_index const>(std::move(table).value());
    configuration_text_ = object.value_;
    core_.metrics_.set_gauge(
        "auburnlb_router_configuration_version", "",
        static_cast<double>(core_.routes_->table().version_));
    log(log_level::info, log_event::configuration_in_force,
        {{"version", std::to_string(core_.routes_->table().version_)},
         {"peer", source}},
        "a new configuration is in force");
}

void router::on_endpoint(std::string const& id, std::string const& value,
                         record_age age)
{
    auto const record = core_.protocol_.read_endpoint_(id, value);
    if (!record)
    {
        on_entries_rejected("endpoints", id, 1, record.error().detail_);
        on_endpoint_removed(id);
        return;
    }
    on_record(record.value(), age);
}

void router::on_record(endpoint_record const& record, record_age age)
{
    has_endpoints_ = true;
    std::vector<std::string> ended = replaced_runs(core_.directory_, record);
    std::vector<std::string> const forgotten =
        runs_replaced_by(core_.interrupted_runs_, record);
    ended.insert(ended.end(), forgotten.begin(), forgotten.end());
    endpoint_change const change =
        apply_record(core_.directory_, record, age, core_.clock_.now());
    switch (change)
    {
    case endpoint_change::joined:
    case endpoint_change::replaced:
        core_.pool_.close_idle(record.address_);
        std::for_each(ended.begin(), ended.end(),
                      [this](std::string const& run) { on_run_ended(run); });
        log(log_level::info,
            change == endpoint_change::joined ? log_event::peer_joined
                                              : log_event::peer_replaced,
            {{"peer", record.id_},
             {"address", record.address_},
             {"service", record.service_}},
            "an endpoint joined");
        return;
    case endpoint_change::leaving:
        log(log_level::info, log_event::peer_leaving,
            {{"peer", record.id_}, {"service", record.service_}},
            "an endpoint accepts no new requests");
        return;
    default:
        return;
    }
}

void router::on_endpoint_removed(std::string const& id)
{
    auto const found = core_.directory_.endpoints_.find(id);
    std::string const address = found == core_.directory_.endpoints_.end()
                                    ? ""
                                    : found->second->record_.address_;
    if (apply_removal(core_.directory_, id, core_.clock_.now()) ==
        endpoint_change::removed)
    {
        core_.pool_.close_idle(address);
        log(log_level::info, log_event::peer_lost,
            {{"peer", id}, {"reason", "removed from the list"}},
            "an endpoint was removed");
    }
}

void router::on_endpoint_delta(entries_delta const& delta)
{
    std::uint64_t const epoch = endpoint_entries_.version_.epoch_;
    if (!apply_delta(endpoint_entries_, delta))
    {
        core_.metrics_.add("auburnlb_router_ignored_endpoint_lists_total", "");
        return;
    }
    if (epoch > 0 && delta.version_.epoch_ > epoch)
    {
        was_store_restored_ = true;
        // The copy may be older than this router's registration.
        registration_.on_store_restored();
        crash_store_.on_store_restored();
    }
    record_age const age = was_store_restored_ && delta.is_full_
                               ? record_age::unknown
                               : record_age::newest;
    std::vector<std::string> gone = delta.removed_;
    for (auto const& [id, endpoint] : core_.directory_.endpoints_)
    {
        if (delta.is_full_ && !delta.changed_.contains(id))
        {
            gone.push_back(id);
        }
    }
    for (std::string const& id : gone)
    {
        on_endpoint_removed(id);
    }
    for (auto const& [id, value] : delta.changed_)
    {
        on_endpoint(id, value, age);
    }
}

void router::update_watch_role(time_point now)
{
    bool const is_watching =
        placement_.is_leader(now) ||
        is_watcher(core_.options_.control_address_,
                   peers_.watch_candidates(now),
                   max_answer_age(endpoint_feed_.watch_wait()));
    if (is_watching == is_watching_)
    {
        return;
    }
    is_watching_ = is_watching;
    publish_watch_role();
    configuration_feed_.set_active(is_watching);
    endpoint_feed_.set_active(is_watching);
    log(log_level::info, log_event::store_watch_changed,
        {{"watches", is_watching ? "true" : "false"},
         {"routers", std::to_string(core_.live_router_count_)}},
        is_watching ? "this router watches the store"
                    : "other routers watch the store for this one");
}

void router::publish_watch_role()
{
    core_.metrics_.set_gauge("auburnlb_router_watches_store", "",
                             is_watching_ ? 1 : 0);
}

store_reachability router::current_store_reachability() const
{
    store_reachability const configuration = configuration_feed_.reachability();
    store_reachability const endpoints = endpoint_feed_.reachability();
    if (configuration == store_reachability::unreachable ||
        endpoints == store_reachability::unreachable)
    {
        return store_reachability::unreachable;
    }
    bool const is_reachable = configuration == store_reachability::reachable &&
                              endpoints == store_reachability::reachable;
    return is_reachable ? store_reachability::reachable
                        : store_reachability::none;
}

void router::on_store_outcome(bool is_answered)
{
    if (!is_answered)
    {
        record_store_failure(store_contact_, core_.clock_.now());
        return;
    }
    on_store_answer(core_.clock_.now());
}

void router::on_store_answer(time_point at)
{
    bool const may_have_lapsed = record_store_answer(
        store_contact_, at, core_.options_.endpoint_heartbeat_);
    if (may_have_lapsed && has_endpoints_)
    {
        on_platform_recovered(core_.directory_, at);
    }
}

std::optional<time_point> router::store_answered_at() const
{
    return std::max(configuration_feed_.last_answer(),
                    endpoint_feed_.last_answer());
}

void router::on_store_reachable(char const* kind, bool is_reachable,
                                std::string const& reason)
{
    core_.metrics_.set_gauge("auburnlb_router_store_reachable",
                             "kind=\"" + std::string(kind) + "\"",
                             is_reachable ? 1 : 0);
    log(is_reachable ? log_level::info : log_level::warning,
        is_reachable ? log_event::platform_reachable
                     : log_event::platform_unreachable,
        {{"peer", core_.options_.store_address_},
         {"kind", kind},
         {"reason", reason}},
        is_reachable ? "the platform's store is reachable"
                     : "the platform's store is unreachable");
}

void router::on_entries_rejected(char const* kind, std::string const& name,
                                 std::size_t count, std::string const& reason)
{
    core_.metrics_.add("auburnlb_router_rejected_entries_total",
                       "kind=\"" + std::string(kind) + "\"",
                       static_cast<double>(count));
    log(log_level::warning, log_event::entry_rejected,
        {{"peer", name}, {"kind", kind}, {"entries", std::to_string(count)}},
        reason);
}

void router::on_store_restored(char const* kind, std::uint64_t epoch,
                               std::uint64_t revision)
{
    core_.metrics_.set_gauge("auburnlb_router_store_epoch",
                             "kind=\"" + std::string(kind) + "\"",
                             static_cast<double>(epoch));
    log(log_level::warning, log_event::store_restored,
        {{"kind", kind},
         {"epoch", std::to_string(epoch)},
         {"revision", std::to_string(revision)}},
        "the platform's store was restored from an older copy");
}

store_feed_handlers router::configuration_handlers()
{
    auto const apply =
        [this](std::vector<store_object> const& objects, store_version const&)
    {
        for (store_object const& each : objects)
        {
            if (!each.is_deleted_)
            {
                on_configuration(each, "store");
            }
        }
    };
    return {apply,
            apply,
            [this](bool is_reachable, std::string const& reason)
            { on_store_reachable("configuration", is_reachable, reason); },
            [this](bool is_answered) { on_store_outcome(is_answered); },
            [this](std::uint64_t epoch, std::uint64_t revision)
            { on_store_restored("configuration", epoch, revision); },
            [this](std::size_t count)
            {
                on_entries_rejected("configuration", "", count, unnamed_reason);
            }};
}

store_feed_handlers router::endpoint_handlers()
{
    return {[this](std::vector<store_object> const& objects,
                   store_version const& version)
            { on_endpoint_delta(to_delta(objects, version, true)); },
            [this](std::vector<store_object> const& objects,
                   store_version const& version)
            { on_endpoint_delta(to_delta(objects, version, false)); },
            [this](bool is_reachable, std::string const& reason)
            { on_store_reachable("endpoints", is_reachable, reason); },
            [this](bool is_answered) { on_store_outcome(is_answered); },
            [this](std::uint64_t epoch, std::uint64_t revision)
            {
                // The copy lacks endpoints that registered after it was made.
                on_platform_recovered(core_.directory_, core_.clock_.now());
                on_store_restored("endpoints", epoch, revision);
            },
            [this](std::size_t count)
            {
                on_entries_rejected("endpoints", "", count, unnamed_reason);
            }};
}

peer_exchange_handlers router::exchange_handlers()
{
    return {[this]() -> std::string const& { return configuration_text_; },
            [this](std::string const& value, std::string const& peer)
            {
                store_object object;
                object.value_ = value;
                on_configuration(object, peer);
            },
            [this]() -> versioned_entries const& { return endpoint_entries_; },
            [this](entries_delta const& delta) { on_endpoint_delta(delta); },
            [this] { return placement_.latest_lease(); },
            [this](announced_lease const& lease)
            { placement_.on_announced_lease(lease, core_.clock_.now()); },
            [this] { return current_store_reachability(); },
            [this] { return store_answered_at(); },
            [this](time_point at)
            {
                on_store_answer(at);
            }};
}

local_response router::handle_control_request(http_head const& head,
                                              std::string const& body)
{
    if (head.target_ == "/metrics")
    {
        return {status_ok, "text/plain; version=0.0.4",
                core_.metrics_.render()};
    }
    if (head.target_ == "/exchange")
    {
        return peers_.handle_request(body);
    }
    if (head.target_ == "/retries")
    {
        return retries_.handle_request(body);
    }
    return {status_not_found, "text/plain", "not found\n"};
}

void router::add_listed_router(nlohmann::json const& value)
try
{
    peers_.add_peer(value.at("control").get<std::string>(),
                    value.at("data_centre").get<std::string>());
}
catch (nlohmann::json::exception const& failure)
{
    log(log_level::warning, log_event::frame_rejected, {}, failure.what());
}

} // namespace auburnlb
