// Loop of watch calls with backoff.
#include "auburnlb/transport/object_watch.hpp"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

namespace auburnlb
{

namespace
{

constexpr milliseconds backoff_min{100};
constexpr milliseconds backoff_max{5'000};

} // namespace

object_watch::object_watch(asio::io_context& io, platform_client& platform,
                           std::string kind, milliseconds wait,
                           std::uint64_t seed, callbacks callbacks)
    : io_(io)
    , platform_(platform)
    , kind_(std::move(kind))
    , wait_(wait)
    , callbacks_(std::move(callbacks))
    , timer_(io)
    , random_(seed)
{
}

void object_watch::set_active(bool is_active)
{
    is_active_ = is_active;
    if (is_active_ && !is_running_)
    {
        request_changes();
    }
}

void object_watch::request_changes()
{
    is_running_ = is_active_;
    if (!is_active_)
    {
        return;
    }
    platform_.watch(kind_, version_, wait_,
                    [this](result<std::vector<platform_object>> changes)
                    {
                        asio::post(io_, [this, changes = std::move(changes)]
                                   { on_changes(changes); });
                    });
}

void object_watch::on_changes(
    result<std::vector<platform_object>> const& changes)
{
    callbacks_.on_reachable_(changes.has_value());
    if (changes)
    {
        backoff_ = milliseconds{0};
        for (platform_object const& object : changes.value())
        {
            version_ = std::max(version_, object.version_);
            callbacks_.on_object_(object);
        }
        request_changes();
        return;
    }
    backoff_ = std::clamp(backoff_ * 2, backoff_min, backoff_max);
    std::uniform_int_distribution<milliseconds::rep> jitter(
        backoff_.count() / 2, backoff_.count());
    timer_.expires_after(milliseconds(jitter(random_)));
    timer_.async_wait(
        [this](std::error_code failure)
        {
            if (!failure)
            {
                request_changes();
            }
        });
}

} // namespace auburnlb
