// Follows all objects of one kind of the platform by long-polling watches.
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

/// Calls its functions on the io_context's thread only. After a failure it
/// waits longer each time, with jitter, so that hosts that lost the platform
/// together do not come back to it together.
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

    /// The first answer holds every object there is. A watch that is waiting
    /// when it is stopped ends at its next answer.
    void set_active(bool is_active);

private:
    void ask();
    void on_answer(result<std::vector<platform_object>> const& changes);

    asio::io_context& io_;
    platform_client& platform_;
    std::string const kind_;
    milliseconds const wait_;
    callbacks const callbacks_;
    asio::steady_timer timer_;
    std::mt19937_64 random_;
    /// Highest version seen; the watch goes on after it.
    std::uint64_t version_ = 0;
    milliseconds backoff_{0};
    bool is_active_ = false;
    /// A call or its backoff is under way.
    bool is_running_ = false;
};

} // namespace auburnlb

#endif
