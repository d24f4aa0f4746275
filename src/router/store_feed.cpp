// Lists and watches of the store, and backoff after failures.
#include "auburnlb/router/store_feed.hpp"

#include <algorithm>
#include <utility>

#include "auburnlb/router/http_status.hpp"

namespace auburnlb
{

namespace
{

/// Time allowed for the response to a watch beyond its wait.
constexpr milliseconds watch_margin{500};
/// Part of the loss detection time that is reserved for the call that follows a
/// failed watch.
constexpr milliseconds next_call_reserve{300};
constexpr milliseconds min_watch_wait{500};
/// After a failure, a watch gets an immediate response, which dates the store's
/// return.
constexpr milliseconds no_watch_wait{1};
constexpr milliseconds list_timeout{1'000};

/// Pause after a change, so that one call returns all changes of a burst.
constexpr milliseconds batch_pause{100};

/// Backoff after a failed call; it doubles up to the maximum. With the time
/// that a failed call takes, the maximum is how late the store's return is
/// noticed, from which missing endpoints are kept for list_recovery_time.
constexpr milliseconds initial_backoff{50};
constexpr milliseconds max_backoff{200};

} // namespace

store_feed::store_feed(internal_http_client& http_client,
                       platform_protocol const& protocol,
                       clock_source const& clock, std::string address,
                       std::string kind, milliseconds loss_detection,
                       store_feed_handlers handlers)
    : http_client_(http_client)
    , protocol_(protocol)
    , clock_(clock)
    , address_(std::move(address))
    , kind_(std::move(kind))
    , watch_wait_(std::max(min_watch_wait,
                           loss_detection - watch_margin - next_call_reserve))
    , handlers_(std::move(handlers))
{
}

void store_feed::on_tick(time_point now)
{
    if (!is_active_ || is_call_pending_ || now < next_call_)
    {
        return;
    }
    is_call_pending_ = true;
    if (revision_ == 0)
    {
        list();
        return;
    }
    watch();
}

void store_feed::set_active(bool is_active)
{
    if (is_active && !is_active_)
    {
        // A list gets an immediate response, which shows whether the store is
        // reachable.
        revision_ = 0;
        listed_.clear();
        has_outcome_ = false;
        // A watch from an earlier activation may be pending on a dead
        // connection.
        ++activation_;
        is_call_pending_ = false;
        next_call_ = time_point{};
    }
    is_active_ = is_active;
}

store_reachability store_feed::reachability() const
{
    if (!is_active_ || !has_outcome_)
    {
        return store_reachability::none;
    }
    return is_reachable_ ? store_reachability::reachable
                         : store_reachability::unreachable;
}

void store_feed::list()
{
    std::string const after = listed_.empty() ? "" : listed_.back().name_;
    http_client_.call(address_, protocol_.write_list_call_(kind_, after),
                      list_timeout,
                      [this, activation = activation_](auto const& reply)
                      {
                          if (activation == activation_)
                          {
                              on_list_reply(reply);
                          }
                      });
}

std::optional<time_point> store_feed::last_answer() const
{
    return last_response_at_ == time_point{} ? std::nullopt
                                             : std::optional(last_response_at_);
}

milliseconds store_feed::next_wait(time_point now) const
{
    if (consecutive_failures_ > 0)
    {
        return no_watch_wait;
    }
    bool const is_other_waiting =
        other_ != nullptr && other_->is_active_ && other_->is_call_pending_;
    return is_other_waiting
               ? staggered_wait(watch_wait_, other_->watch_end_, now)
               : watch_wait_;
}

void store_feed::watch()
{
    time_point const now = clock_.now();
    milliseconds const wait = next_wait(now);
    watch_end_ = now + wait;
    http_client_.call(address_,
                      protocol_.write_watch_call_(kind_, revision_, wait),
                      wait + watch_margin,
                      [this, activation = activation_](auto const& reply)
                      {
                          if (activation == activation_)
                          {
                              on_watch_reply(reply);
                          }
                      });
}

bool store_feed::continues_history(result<http_reply> const& reply)
{
    auto const epoch =
        reply ? protocol_.read_store_epoch_(reply.value().head_) : std::nullopt;
    if (!epoch || epoch == epoch_)
    {
        return true;
    }
    std::optional<std::uint64_t> const previous = epoch_;
    epoch_ = std::max(epoch, epoch_);
    if (!previous)
    {
        return true;
    }
    next_call_ = clock_.now() + initial_backoff;
    if (*epoch > *previous)
    {
        handlers_.on_restored_(*epoch, revision_);
        // The new history may have given out the revisions up to revision_
        // again, for other changes.
        revision_ = 0;
        listed_.clear();
    }
    return false;
}

void store_feed::on_list_reply(result<http_reply> const& reply)
{
    is_call_pending_ = false;
    if (!continues_history(reply))
    {
        return;
    }
    if (!reply || reply.value().head_.status_ != status_ok)
    {
        listed_.clear();
        on_call_failed(reply ? "status " +
                                   std::to_string(reply.value().head_.status_)
                             : to_string(reply.error()));
        return;
    }
    auto page = protocol_.read_page_(reply.value().body_);
    if (!page)
    {
        listed_.clear();
        on_call_failed(to_string(page.error()));
        return;
    }
    on_call_succeeded();
    report_unnamed(page.value());
    if (listed_.empty())
    {
        // The watch returns what changes while further pages are read.
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
    handlers_.on_list_(std::exchange(listed_, {}), version());
}

void store_feed::on_watch_reply(result<http_reply> const& reply)
{
    is_call_pending_ = false;
    if (!continues_history(reply))
    {
        return;
    }
    if (reply && reply.value().head_.status_ == status_gone)
    {
        on_call_succeeded();
        revision_ = 0;
        return;
    }
    if (!reply || reply.value().head_.status_ != status_ok)
    {
        on_call_failed(reply ? "status " +
                                   std::to_string(reply.value().head_.status_)
                             : to_string(reply.error()));
        return;
    }
    auto page = protocol_.read_page_(reply.value().body_);
    if (!page)
    {
        on_call_failed(to_string(page.error()));
        revision_ = 0;
        return;
    }
    on_call_succeeded();
    report_unnamed(page.value());
    revision_ = std::max(revision_, page.value().revision_);
    if (!page.value().objects_.empty())
    {
        next_call_ = last_response_at_ + batch_pause;
        handlers_.on_changes_(page.value().objects_, version());
    }
}

store_version store_feed::version() const
{
    return {epoch_.value_or(0), revision_};
}

void store_feed::report_unnamed(store_page const& page) const
{
    if (page.unnamed_entries_ > 0)
    {
        handlers_.on_unnamed_(page.unnamed_entries_);
    }
}

void store_feed::on_call_succeeded()
{
    consecutive_failures_ = 0;
    has_outcome_ = true;
    next_call_ = time_point{};
    last_response_at_ = clock_.now();
    has_reported_ = true;
    handlers_.on_outcome_(true);
    if (!std::exchange(is_reachable_, true))
    {
        handlers_.on_reachable_(true, "");
    }
}

void store_feed::on_call_failed(std::string const& reason)
{
    milliseconds const pause =
        std::min(initial_backoff * (1U << std::min(consecutive_failures_, 4U)),
                 max_backoff);
    ++consecutive_failures_;
    has_outcome_ = true;
    next_call_ = clock_.now() + pause;
    handlers_.on_outcome_(false);
    bool const was_reachable = std::exchange(is_reachable_, false);
    if (was_reachable || !std::exchange(has_reported_, true))
    {
        handlers_.on_reachable_(false, reason);
    }
}

} // namespace auburnlb
