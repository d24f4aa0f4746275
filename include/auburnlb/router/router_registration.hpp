// A router's own object in the platform's store: its address, by which routers
// find each other, and the retries that the next process inherits.
#ifndef AUBURNLB_ROUTER_ROUTER_REGISTRATION_HPP
#define AUBURNLB_ROUTER_ROUTER_REGISTRATION_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "auburnlb/coordination/retry_record.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/platform_protocol.hpp"
#include "auburnlb/router/router_core.hpp"

namespace auburnlb
{

/// Called with the value of each router's object in the store's list.
using on_listed_router = std::function<void(nlohmann::json const& value)>;

class router_registration
{
public:
    router_registration(router_core& core, internal_http_client& http_client,
                        on_listed_router handler)
        : core_(core)
        , http_client_(http_client)
        , on_listed_(std::move(handler))
    {
    }

    /// Called when the store was restored from a copy that may be older than
    /// the registration.
    void on_store_restored();
    void on_tick(time_point now);

private:
    /// Creates the object. The outcome tells whether this router had an earlier
    /// process.
    void create();
    void on_created(retry_counts const& counts,
                    result<http_reply> const& reply);
    void list();
    void on_page(result<http_reply> const& reply);
    void write(retry_counts const& counts, time_point now);
    void on_written(retry_counts const& counts,
                    result<http_reply> const& reply);
    /// Reads the object as an earlier process has left it, or this one.
    void read_own(store_object const& object);
    std::map<std::string, service_retries> current_retries(time_point now);
    /// The object with this record.
    store_object make_object(retry_counts const& counts) const;

    router_core& core_;
    internal_http_client& http_client_;
    on_listed_router on_listed_;
    bool is_registered_ = false;
    bool is_write_pending_ = false;
    time_point next_sync_{};
    time_point next_write_{};
    /// Revision of the object; 0 while it is not known.
    std::uint64_t revision_ = 0;
    /// The record in the store.
    retry_counts written_;
};

} // namespace auburnlb

#endif
