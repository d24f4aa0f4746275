// Reads and writes the objects of kept crashes.
#include "auburnlb/router/crash_store.hpp"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

#include "auburnlb/router/crash_messages.hpp"
#include "auburnlb/router/entry_messages.hpp"
#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/json_depth.hpp"
#include "auburnlb/state/json_text.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

using nlohmann::json;

constexpr char crash_object_kind[] = "crashes";
constexpr milliseconds store_timeout{800};
/// Interval between two calls of a router, also after a failure.
constexpr milliseconds call_interval{500};

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

void crash_store::on_tick(time_point now)
{
    if (is_call_pending_ || now < next_call_)
    {
        return;
    }
    if (!is_read_)
    {
        next_call_ = now + call_interval;
        read("");
        return;
    }
    if (!has_confirmed_crash_ && revision_ == 0)
    {
        return;
    }
    crash_causes_update const update = lasting_update(core_.crash_causes_);
    if (!is_same_evidence(update, written_))
    {
        next_call_ = now + call_interval;
        write(update, now);
    }
}

void crash_store::read(std::string const& after)
{
    is_call_pending_ = true;
    http_client_.call(
        core_.options_.store_address_,
        core_.protocol_.write_list_call_(crash_object_kind, after),
        store_timeout,
        [this](result<http_reply> const& reply) { on_page(reply); });
}

void crash_store::on_page(result<http_reply> const& reply)
{
    is_call_pending_ = false;
    bool const is_answered = reply && reply.value().head_.status_ == status_ok;
    auto const page = is_answered
                          ? core_.protocol_.read_page_(reply.value().body_)
                          : result<store_page>(error{});
    if (!page)
    {
        return;
    }
    auto const& objects = page.value().objects_;
    std::for_each(objects.begin(), objects.end(),
                  [this](store_object const& each) { merge(each); });
    if (page.value().has_more_ && !objects.empty())
    {
        read(objects.back().name_);
        return;
    }
    is_read_ = true;
}

void crash_store::merge(store_object const& object)
try
{
    if (object.name_ == core_.options_.name_)
    {
        revision_ = object.revision_;
    }
    json const value = parse_shallow_json(object.value_);
    // Hosts' clocks differ, and the age only decides when a crash is forgotten.
    auto const written = value.at("written_ms").get<double>();
    milliseconds const age =
        std::max(milliseconds(0),
                 read_short_time(static_cast<double>(unix_ms()) - written));
    time_point const now = core_.clock_.now();
    count_learned_crashes(
        core_, "store",
        merge_update(core_.crash_causes_,
                     read_crash_causes(value.at("causes"), now - age), now));
}
catch (json::exception const& failure)
{
    log(log_level::warning, log_event::frame_rejected, {{"peer", object.name_}},
        failure.what());
}

void crash_store::write(crash_causes_update const& update, time_point now)
{
    store_object object;
    object.name_ = core_.options_.name_;
    object.revision_ = revision_;
    object.value_ =
        dump_text(json{{"written_ms", unix_ms()},
                       {"causes", write_crash_causes(update, now)}});
    is_call_pending_ = true;
    http_client_.call(
        core_.options_.store_address_,
        core_.protocol_.write_put_call_(crash_object_kind, object),
        store_timeout,
        [this, update](result<http_reply> const& reply)
        { on_written(update, reply); });
}

void crash_store::on_written(crash_causes_update const& update,
                             result<http_reply> const& reply)
{
    is_call_pending_ = false;
    if (!reply)
    {
        return;
    }
    unsigned const status = reply.value().head_.status_;
    bool const is_written = status == status_ok || status == status_created;
    if (status == status_not_found)
    {
        // The store was restored from a copy without it.
        revision_ = 0;
    }
    if (!is_written && status != status_conflict)
    {
        return;
    }
    // Another version stands there after a write whose reply was lost.
    if (auto const object = core_.protocol_.read_object_(reply.value().body_))
    {
        revision_ = object.value().revision_;
    }
    if (is_written)
    {
        written_ = update;
        core_.metrics_.add("auburnlb_router_crashes_written_total");
    }
}

} // namespace auburnlb
