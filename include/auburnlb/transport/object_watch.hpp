// Follows the changes of all platform objects of one kind by long polling.
#ifndef AUBURNLB_TRANSPORT_OBJECT_WATCH_HPP
#define AUBURNLB_TRANSPORT_OBJECT_WATCH_HPP

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "auburnlb/transport/platform_client.hpp"

namespace auburnlb
{

/// Watches the objects of one kind. Callbacks run only on the io_context's
/// thread. After failures it backs off exponentially with jitter, so that hosts
/// that lost the platform at the same time do not reconnect at the same time.
class object_watch
{
public:
    struct callbacks
    {
        std::function<void(platform_object const&)> on_object_;
        std::function<void(bool is_reachable)> on_reachable_;
    };

    object_watch(asio::io_context& io, platform_client& platform,
                 std::string kind, milliseconds wait, std::uint64_t seed,
                 callbacks callbacks);

    /// Starts or stops watching. The first response contains all existing
    /// objects. After a stop, a call in progress still completes and reports
    /// its changes.
    void set_active(bool is_active);

private:
    void request_changes();
    void on_changes(result<std::vector<platform_object>> const& changes);

    asio::io_context& io_;
    platform_client& platform_;
    std::string const kind_;
    milliseconds const wait_;
    callbacks const callbacks_;
    asio::steady_timer timer_;
    std::mt19937_64 random_;
    /// Highest version received; the next call requests later ones.
    std::uint64_t version_ = 0;
    milliseconds backoff_{0};
    bool is_active_ = false;
    /// Whether a call or its backoff is in progress.
    bool is_running_ = false;
};

} // namespace auburnlb

#endif
