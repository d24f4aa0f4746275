// The placement controller's lease: its object in the store, and what other
// routers have seen of it.
#include "auburnlb/router/placement_controller.hpp"

#include <variant>

#include <nlohmann/json.hpp>

#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/json_depth.hpp"
#include "auburnlb/state/json_text.hpp"

namespace auburnlb
{

namespace
{

constexpr milliseconds store_timeout{800};

std::string read_holder(std::string const& value)
{
    auto const document = parse_shallow_json(value);
    auto const holder =
        document.is_object() ? document.find("holder") : document.end();
    bool const is_readable = holder != document.end() && holder->is_string();
    return is_readable ? holder->get<std::string>() : "";
}

} // namespace

announced_lease placement_controller::latest_lease() const
{
    return {lease_.seen_holder_, lease_.seen_version_};
}

void placement_controller::on_announced_lease(announced_lease const& lease,
                                              time_point now)
{
    bool const is_newer =
        lease.version_ > lease_.seen_version_ && !lease.holder_.empty();
    if (is_newer && !lease_.is_waiting_ && !held_fencing_number(lease_, now))
    {
        run(on_lease_read(lease_, lease.version_, lease.holder_, now));
    }
}

void placement_controller::release(time_point now)
{
    run(release_lease(lease_, now));
}

void placement_controller::run(lease_actions const& actions)
{
    for (lease_action const& action : actions)
    {
        if (auto const* const write = std::get_if<write_lease>(&action))
        {
            write_lease_object(*write);
        }
        else
        {
            read_lease_object();
        }
    }
}

store_version placement_controller::version_of(http_reply const& reply,
                                               std::uint64_t revision) const
{
    return {core_.protocol_.read_store_epoch_(reply.head_).value_or(0),
            revision};
}

void placement_controller::read_lease_object()
{
    http_client_.call(
        core_.options_.store_address_,
        core_.protocol_.write_get_call_(lease_object_kind,
                                        placement_lease_name),
        store_timeout,
        [this](result<http_reply> const& reply)
        {
            time_point const now = core_.clock_.now();
            if (reply && reply.value().head_.status_ == status_not_found)
            {
                run(on_lease_read(lease_, version_of(reply.value(), 0), "",
                                  now));
                return;
            }
            bool const is_found =
                reply && reply.value().head_.status_ == status_ok;
            auto const object =
                is_found ? core_.protocol_.read_object_(reply.value().body_)
                         : result<store_object>(error{});
            if (!object)
            {
                on_lease_failed(lease_, now);
                return;
            }
            run(on_lease_read(
                lease_, version_of(reply.value(), object.value().revision_),
                read_holder(object.value().value_), now));
        });
}

void placement_controller::write_lease_object(write_lease const& action)
{
    store_object object;
    object.name_ = placement_lease_name;
    object.revision_ = action.expected_version_.revision_;
    object.value_ = dump_text(
        nlohmann::json{{"holder", action.holder_}, {"renewals", ++renewals_}});
    http_client_.call(
        core_.options_.store_address_,
        core_.protocol_.write_put_call_(lease_object_kind, object),
        store_timeout,
        [this](result<http_reply> const& reply)
        {
            time_point const now = core_.clock_.now();
            bool const is_done =
                reply && (reply.value().head_.status_ == status_ok ||
                          reply.value().head_.status_ == status_created);
            auto const written =
                is_done ? core_.protocol_.read_object_(reply.value().body_)
                        : result<store_object>(error{});
            if (!written)
            {
                on_lease_failed(lease_, now);
                return;
            }
            on_lease_written(
                lease_, version_of(reply.value(), written.value().revision_),
                now);
        });
}

} // namespace auburnlb
