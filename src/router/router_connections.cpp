// Connections of callers, and which of them give way when memory or descriptors
// are short.
#include "auburnlb/router/router.hpp"

#include <algorithm>
#include <utility>

#include <sys/resource.h>

#include "auburnlb/coordination/body_eviction.hpp"

namespace auburnlb
{

namespace
{

/// When all connections are in use, one in so many is closed at a time.
constexpr std::size_t eviction_divisor = 256;

/// Number of descriptors that the process may open.
std::size_t descriptor_limit()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

} // namespace

void router::on_connection_closed(caller_connection& connection)
{
    auto const closed = connection.shared_from_this();
    connections_.erase(closed);
    if (closed->is_open())
    {
        closing_connections_.push_back(closed);
    }
}

void router::on_accepted(asio::ip::tcp::socket socket)
{
    auto const channel = tcp_channel::accepted(std::move(socket));
    if (!find_connection())
    {
        on_caller_event(caller_event::connection_refused, channel->peer());
        channel->close();
        return;
    }
    auto const connection = std::make_shared<caller_connection>(*this, channel);
    connections_.insert(connection);
    connection->start();
}

void router::forget_closed_connections()
{
    std::erase_if(closing_connections_,
                  [](std::shared_ptr<caller_connection> const& each)
                  { return !each->is_open(); });
}

bool router::find_connection()
{
    std::size_t const limit =
        connection_limit(core_.options_.max_connections_, descriptor_limit());
    auto const has_one = [this, limit]
    {
        return connections_.size() + closing_connections_.size() < limit;
    };
    if (has_one())
    {
        return true;
    }
    if (has_no_connection_left_)
    {
        return false;
    }
    forget_closed_connections();
    if (has_one())
    {
        return true;
    }
    time_point const now = core_.clock_.now();
    std::vector<std::shared_ptr<caller_connection>> const all(
        connections_.begin(), connections_.end());
    std::vector<open_connection> states;
    states.reserve(all.size());
    for (auto const& each : all)
    {
        states.push_back(each->state(now));
    }
    // Several at a time, so that a crowd does not cause a search for each.
    std::size_t const count = 1 + limit / eviction_divisor;
    for (std::size_t const index : choose_connections(states, count, now))
    {
        if (states[index].is_silent_)
        {
            all[index]->close_silent();
        }
        else
        {
            all[index]->evict(caller_event::body_evicted_for_connection);
        }
    }
    // Those that were answered keep their sockets for a moment.
    if (!has_one())
    {
        for (auto const& each : closing_connections_)
        {
            each->end_linger();
        }
        forget_closed_connections();
    }
    has_no_connection_left_ = !has_one();
    return !has_no_connection_left_;
}

void router::make_room(caller_connection const& needing, std::size_t missing)
{
    time_point const now = core_.clock_.now();
    std::vector<std::shared_ptr<caller_connection>> others;
    std::vector<unfinished_request> requests;
    std::size_t held = 0;
    for (auto const& each : connections_)
    {
        if (!each->is_unfinished())
        {
            continue;
        }
        unfinished_request const request = each->unfinished(now);
        if (each.get() == &needing)
        {
            held = request.bytes_;
        }
        else if (request.bytes_ > 0)
        {
            others.push_back(each);
            requests.push_back(request);
        }
    }
    room_need const need{needing.address(), held, missing,
                         core_.memory_->requests_.limit_};
    for (eviction const& each : choose_evictions(requests, need, now))
    {
        others[each.index_]->evict(each.reason_ == eviction_reason::silent
                                       ? caller_event::body_evicted_silent
                                       : caller_event::body_evicted_over_share);
    }
}

} // namespace auburnlb
