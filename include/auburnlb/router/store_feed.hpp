// Tracking of one kind of store objects by a list and watches.
#ifndef AUBURNLB_ROUTER_STORE_FEED_HPP
#define AUBURNLB_ROUTER_STORE_FEED_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/store_version.hpp"
#include "auburnlb/coordination/store_watchers.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/platform_protocol.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Callbacks of a store feed.
struct store_feed_handlers
{
    /// All objects of the kind, at a version of the store.
    std::function<void(std::vector<store_object> const&, store_version const&)>
        on_list_;
    /// Changed and deleted objects, up to a version of the store.
    std::function<void(std::vector<store_object> const&, store_version const&)>
        on_changes_;
    /// The store became reachable or unreachable.
    std::function<void(bool is_reachable, std::string const& reason)>
        on_reachable_;
    /// A call was answered or has failed.
    std::function<void(bool is_answered)> on_outcome_;
    /// The store was restored from an older copy. The revision is the last one
    /// that is known of the previous history.
    std::function<void(std::uint64_t epoch, std::uint64_t revision)>
        on_restored_;
    /// Entries of a response had no readable name and were left out.
    std::function<void(std::size_t count)> on_unnamed_;
};

/// Tracks one kind of store objects. Not thread-safe.
class store_feed
{
public:
    /// @param loss_detection time within which a lost connection is detected
    store_feed(internal_http_client& http_client,
               platform_protocol const& protocol, clock_source const& clock,
               std::string address, std::string kind,
               milliseconds loss_detection, store_feed_handlers handlers);

    void on_tick(time_point now);

    /// Starts tracking with a new list, or stops it.
    void set_active(bool is_active);
    store_reachability reachability() const;
    /// Unset before the first answer of the store.
    std::optional<time_point> last_answer() const;
    milliseconds watch_wait() const { return watch_wait_; }
    /// Lets the watches end in turn with those of another feed.
    void stagger_with(store_feed const& other) { other_ = &other; }

private:
    void list();
    void watch();
    milliseconds next_wait(time_point now) const;
    void on_list_reply(result<http_reply> const& reply);
    void on_watch_reply(result<http_reply> const& reply);
    /// Returns whether a response continues the history that this feed has
    /// read. If the store was restored, the next call is a list.
    bool continues_history(result<http_reply> const& reply);
    /// Version up to which this feed has read the store.
    store_version version() const;
    void on_call_succeeded();
    void on_call_failed(std::string const& reason);
    void report_unnamed(store_page const& page) const;

    internal_http_client& http_client_;
    platform_protocol const& protocol_;
    clock_source const& clock_;
    std::string address_;
    std::string kind_;
    milliseconds watch_wait_;
    store_feed_handlers handlers_;
    bool is_active_ = true;
    /// Incremented on activation; replies to calls of earlier ones are ignored.
    std::uint64_t activation_ = 0;
    /// Whether a call has succeeded or failed since the activation.
    bool has_outcome_ = false;
    /// Number of the store's history; unset before the first response.
    std::optional<std::uint64_t> epoch_;
    /// Zero until a list is complete; the next call is then a list.
    std::uint64_t revision_ = 0;
    /// Objects of a list that is still being read.
    std::vector<store_object> listed_;
    std::uint64_t listed_revision_ = 0;
    bool is_call_pending_ = false;
    bool is_reachable_ = false;
    bool has_reported_ = false;
    time_point next_call_{};
    time_point last_response_at_{};
    /// When the pending watch ends at the latest.
    time_point watch_end_{};
    store_feed const* other_ = nullptr;
    std::uint32_t consecutive_failures_ = 0;
};

} // namespace auburnlb

#endif
