// A kind of the store's objects, followed by a list and watches.
#ifndef AUBURNLB_ROUTER_STORE_FEED_HPP
#define AUBURNLB_ROUTER_STORE_FEED_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "auburnlb/coordination/store_watchers.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/platform_protocol.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// What a feed tells.
struct store_feed_handlers
{
    /// All objects of the kind, as of a revision of the store.
    std::function<void(std::vector<store_object> const&,
                       std::uint64_t revision)>
        on_list_;
    /// Objects that have changed or are gone, up to a revision of the store.
    std::function<void(std::vector<store_object> const&,
                       std::uint64_t revision)>
        on_changes_;
    /// The store began or ceased to answer.
    std::function<void(bool is_reachable, std::string const& reason)>
        on_reachable_;
};

/// Follows one kind. Not thread-safe.
class store_feed
{
public:
    /// The silence is how long a connection that died may go unnoticed.
    store_feed(internal_http_client& http_client,
               platform_protocol const& protocol, clock_source const& clock,
               std::string address, std::string kind,
               milliseconds loss_detection, store_feed_handlers handlers);

    void on_tick(time_point now);

    /// Begins, with a list, or ceases to follow the kind.
    void set_active(bool is_active);
    store_reachability reachability() const;

private:
    void list();
    void watch();
    void on_list_reply(result<http_reply> const& reply);
    void on_watch_reply(result<http_reply> const& reply);
    void on_call_succeeded();
    void on_call_failed(std::string const& reason);

    internal_http_client& http_client_;
    platform_protocol const& protocol_;
    clock_source const& clock_;
    std::string address_;
    std::string kind_;
    milliseconds watch_wait_;
    store_feed_handlers handlers_;
    bool is_active_ = true;
    /// Replies to calls of an earlier activation are ignored.
    std::uint64_t activation_ = 0;
    /// Whether a call was answered, or failed, since it became active.
    bool has_outcome_ = false;
    /// Zero until a list was read; the next call lists again.
    std::uint64_t revision_ = 0;
    /// Pages of a list that is being read.
    std::vector<store_object> listed_;
    std::uint64_t listed_revision_ = 0;
    bool is_call_pending_ = false;
    bool is_reachable_ = false;
    bool has_reported_ = false;
    time_point next_call_{};
    time_point last_response_at_{};
    std::uint32_t consecutive_failures_ = 0;
};

} // namespace auburnlb

#endif
