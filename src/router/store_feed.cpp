// Lists, watches, and what happens when the store does not answer.
#include "auburnlb/router/store_feed.hpp"

#include <algorithm>
#include <utility>

#include "auburnlb/router/http_status.hpp"

namespace auburnlb
{

namespace
{

/// How long a watch waits at the store. It also bounds how long a connection
/// that silently died hides a change.
constexpr milliseconds watch_wait{1'700};
/// What the store's answer may take beyond that.
constexpr milliseconds watch_margin{500};
constexpr milliseconds list_timeout{1'000};

/// Pause after a change, so that changes that come together cost one call.
constexpr milliseconds batch_pause{100};

/// Pause after a failed call; it doubles up to the longest.
constexpr milliseconds first_pause{50};
constexpr milliseconds longest_pause{400};

} // namespace

store_feed::store_feed(http_caller& caller, platform_protocol const& protocol,
                       clock_source const& clock, std::string address,
                       std::string kind, store_feed_handlers handlers)
    : caller_(caller)
    , protocol_(protocol)
    , clock_(clock)
    , address_(std::move(address))
    , kind_(std::move(kind))
    , handlers_(std::move(handlers))
{
}

void store_feed::on_tick(time_point now)
{
    if (is_waiting_ || now < next_call_)
    {
        return;
    }
    is_waiting_ = true;
    if (revision_ == 0)
    {
        list();
        return;
    }
    watch();
}

void store_feed::list()
{
    std::string const after = listed_.empty() ? "" : listed_.back().name_;
    caller_.call(
        address_, protocol_.write_list_call_(kind_, after), list_timeout,
        [this](result<http_reply> const& reply) { on_list_reply(reply); });
}

void store_feed::watch()
{
    caller_.call(
        address_, protocol_.write_watch_call_(kind_, revision_, watch_wait),
        watch_wait + watch_margin,
        [this](result<http_reply> const& reply) { on_watch_reply(reply); });
}

void store_feed::on_list_reply(result<http_reply> const& reply)
{
    is_waiting_ = false;
    if (!reply || reply.value().status_ != status_ok)
    {
        listed_.clear();
        note_failure(reply ? "status " + std::to_string(reply.value().status_)
                           : to_string(reply.error()));
        return;
    }
    auto page = protocol_.read_page_(reply.value().body_);
    if (!page)
    {
        listed_.clear();
        note_failure(to_string(page.error()));
        return;
    }
    note_answer();
    if (listed_.empty())
    {
        // What changes while further pages are read is seen by the watch.
        listed_revision_ = page.value().revision_;
    }
    auto& objects = page.value().objects_;
    bool const has_more = page.value().has_more_ && !objects.empty();
    std::move(objects.begin(), objects.end(), std::back_inserter(listed_));
    if (has_more)
    {
        return;
    }
    revision_ = listed_revision_;
    handlers_.on_list_(std::exchange(listed_, {}));
}

void store_feed::on_watch_reply(result<http_reply> const& reply)
{
    is_waiting_ = false;
    if (reply && reply.value().status_ == status_gone)
    {
        note_answer();
        revision_ = 0;
        return;
    }
    if (!reply || reply.value().status_ != status_ok)
    {
        note_failure(reply ? "status " + std::to_string(reply.value().status_)
                           : to_string(reply.error()));
        return;
    }
    auto page = protocol_.read_page_(reply.value().body_);
    if (!page)
    {
        note_failure(to_string(page.error()));
        revision_ = 0;
        return;
    }
    note_answer();
    revision_ = std::max(revision_, page.value().revision_);
    if (!page.value().objects_.empty())
    {
        next_call_ = answered_at_ + batch_pause;
    }
    for (store_object const& each : page.value().objects_)
    {
        handlers_.on_change_(each);
    }
}

void store_feed::note_answer()
{
    failures_ = 0;
    next_call_ = time_point{};
    answered_at_ = clock_.now();
    was_asked_ = true;
    if (!std::exchange(is_reachable_, true))
    {
        handlers_.on_reachable_(true, "");
    }
}

void store_feed::note_failure(std::string const& reason)
{
    milliseconds const pause =
        std::min(first_pause * (1U << std::min(failures_, 4U)), longest_pause);
    ++failures_;
    next_call_ = clock_.now() + pause;
    bool const was_reachable = std::exchange(is_reachable_, false);
    if (was_reachable || !std::exchange(was_asked_, true))
    {
        handlers_.on_reachable_(false, reason);
    }
}

} // namespace auburnlb
