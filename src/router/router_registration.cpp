// Reads and writes the router's own object in the platform's store.
#include "auburnlb/router/router_registration.hpp"

#include <cmath>

#include <nlohmann/json.hpp>

#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/json_depth.hpp"
#include "auburnlb/state/json_text.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

using nlohmann::json;

constexpr char object_kind[] = "routers";

/// Interval between reads of the list.
constexpr milliseconds list_interval{30'000};

/// Interval between attempts to register.
constexpr milliseconds retry_interval{1'000};

/// Shortest interval between two writes of the record.
constexpr milliseconds write_interval{500};

constexpr milliseconds store_timeout{800};

bool has_status(result<http_reply> const& reply, unsigned status)
{
    return reply && reply.value().head_.status_ == status;
}

} // namespace

void router_registration::on_store_restored()
{
    is_registered_ = false;
    revision_ = 0;
    next_sync_ = core_.clock_.now();
}

void router_registration::on_tick(time_point now)
{
    bool const may_write = is_registered_ && revision_ != 0 &&
                           !is_write_pending_ && now >= next_write_;
    if (may_write)
    {
        auto const retries = current_retries(now);
        if (is_record_due(retries, written_))
        {
            write(make_record(retries), now);
        }
    }
    if (now < next_sync_ || core_.is_stopping_)
    {
        return;
    }
    // The list tells the revision if the reply to the creation has not.
    bool const is_complete = is_registered_ && revision_ != 0;
    next_sync_ = now + (is_complete ? list_interval : retry_interval);
    if (is_registered_)
    {
        list();
        return;
    }
    create();
}

std::map<std::string, service_retries>
router_registration::current_retries(time_point now)
{
    std::map<std::string, service_retries> retries;
    for (auto const& [name, runtime] : core_.services_)
    {
        retry_window& window = retries_of(core_, name);
        double const used = used_retries(window, core_.options_.retries_, now);
        // What is not known of earlier processes stands in the record already.
        if (std::isfinite(used))
        {
            retries[name] = {used,
                             allowed_retries(window, core_.options_.retries_,
                                             core_.router_count_, now)};
        }
    }
    return retries;
}

store_object router_registration::make_object(retry_counts const& counts) const
{
    store_object object;
    object.name_ = core_.options_.name_;
    object.revision_ = revision_;
    object.value_ = dump_text(json{{"control", core_.options_.control_address_},
                                   {"data_centre", core_.options_.data_centre_},
                                   {"retries", counts}});
    return object;
}

void router_registration::create()
{
    revision_ = 0;
    retry_counts const counts =
        make_record(current_retries(core_.clock_.now()));
    http_client_.call(
        core_.options_.store_address_,
        core_.protocol_.write_put_call_(object_kind, make_object(counts)),
        store_timeout,
        [this, counts](result<http_reply> const& reply)
        { on_created(counts, reply); });
}

void router_registration::on_created(retry_counts const& counts,
                                     result<http_reply> const& reply)
{
    bool const is_created =
        has_status(reply, status_ok) || has_status(reply, status_created);
    is_registered_ = is_created || has_status(reply, status_conflict);
    if (!is_registered_)
    {
        return;
    }
    if (is_created)
    {
        core_.earlier_retries_.is_known_ = true;
        written_ = counts;
    }
    if (auto const object = core_.protocol_.read_object_(reply.value().body_))
    {
        read_own(object.value());
    }
    if (revision_ == 0)
    {
        // The reply does not have to contain the object; the list does.
        next_sync_ = core_.clock_.now();
    }
}

void router_registration::list()
{
    http_client_.call(
        core_.options_.store_address_,
        core_.protocol_.write_list_call_(object_kind, ""), store_timeout,
        [this](result<http_reply> const& reply) { on_page(reply); });
}

void router_registration::on_page(result<http_reply> const& reply)
{
    if (!has_status(reply, status_ok))
    {
        return;
    }
    auto const page = core_.protocol_.read_page_(reply.value().body_);
    if (!page)
    {
        return;
    }
    for (store_object const& each : page.value().objects_)
    {
        if (each.name_ == core_.options_.name_ && revision_ == 0)
        {
            read_own(each);
        }
        on_listed_(parse_shallow_json(each.value_));
    }
}

void router_registration::read_own(store_object const& object)
try
{
    revision_ = object.revision_;
    if (core_.earlier_retries_.is_known_)
    {
        return;
    }
    json const value = parse_shallow_json(object.value_);
    core_.earlier_retries_.counts_ = value.at("retries").get<retry_counts>();
    core_.earlier_retries_.is_known_ = true;
    written_ = core_.earlier_retries_.counts_;
}
catch (json::exception const& failure)
{
    // Written by a version that keeps no record, or by another program.
    log(log_level::warning, log_event::frame_rejected, {{"peer", object.name_}},
        failure.what());
}

void router_registration::write(retry_counts const& counts, time_point now)
{
    is_write_pending_ = true;
    next_write_ = now + write_interval;
    http_client_.call(
        core_.options_.store_address_,
        core_.protocol_.write_put_call_(object_kind, make_object(counts)),
        store_timeout,
        [this, counts](result<http_reply> const& reply)
        { on_written(counts, reply); });
}

void router_registration::on_written(retry_counts const& counts,
                                     result<http_reply> const& reply)
{
    is_write_pending_ = false;
    if (has_status(reply, status_not_found))
    {
        // The store was restored from a copy without it.
        on_store_restored();
        return;
    }
    bool const is_written = has_status(reply, status_ok);
    if (!is_written && !has_status(reply, status_conflict))
    {
        return;
    }
    if (auto const object = core_.protocol_.read_object_(reply.value().body_))
    {
        revision_ = object.value().revision_;
    }
    if (is_written)
    {
        written_ = counts;
        core_.metrics_.add("auburnlb_router_retry_records_total");
    }
}

} // namespace auburnlb
