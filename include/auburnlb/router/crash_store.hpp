// Keeps the crashes that show why requests are refused in the platform's store,
// so that they outlast the loss of all routers.
#ifndef AUBURNLB_ROUTER_CRASH_STORE_HPP
#define AUBURNLB_ROUTER_CRASH_STORE_HPP

#include <cstdint>
#include <string>

#include "auburnlb/coordination/crash_causes.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "auburnlb/router/router_core.hpp"

namespace auburnlb
{

/// Reads what all routers have kept when the process starts, and writes what
/// this router keeps. A router that has confirmed no crash writes nothing.
class crash_store
{
public:
    crash_store(router_core& core, internal_http_client& http_client)
        : core_(core)
        , http_client_(http_client)
    {
    }

    /// Called when this router has confirmed a crash.
    void on_crash() { has_confirmed_crash_ = true; }
    /// Called when the store was restored from a copy that may lack what this
    /// router has written since.
    void on_store_restored() { written_ = {}; }
    void on_tick(time_point now);

private:
    void read(std::string const& after);
    void on_page(result<http_reply> const& reply);
    /// A value that no router writes is logged and ignored.
    void merge(store_object const& object);
    void write(crash_causes_update const& update, time_point now);
    void on_written(crash_causes_update const& update,
                    result<http_reply> const& reply);

    router_core& core_;
    internal_http_client& http_client_;
    bool is_read_ = false;
    bool is_call_pending_ = false;
    time_point next_call_{};
    bool has_confirmed_crash_ = false;
    /// Revision of this router's object; 0 if there is none.
    std::uint64_t revision_ = 0;
    /// What this process wrote last; empty if the store may lack it.
    crash_causes_update written_;
};

} // namespace auburnlb

#endif
