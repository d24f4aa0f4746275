// Starts of waiting requests.
#include "auburnlb/router/router.hpp"

#include "auburnlb/coordination/start_order.hpp"
#include "auburnlb/router/forwarded_request.hpp"

namespace auburnlb
{

namespace
{

/// A pass over a queue ends after this many requests for which no endpoint has
/// capacity: the remaining ones would find none either.
constexpr int max_failed_starts = 3;

} // namespace

void router::start_waiting_requests(time_point now)
{
    for (auto& [name, service] : core_.services_)
    {
        for (std::uint64_t const ticket : take_expired(service.queue_, now))
        {
            auto const found = service.waiting_.find(ticket);
            auto const request = found->second;
            service.waiting_.erase(found);
            request->refuse_waiting(now);
        }
        if (core_.options_.controls_overload_)
        {
            start_in_fair_order(service, now);
        }
        else
        {
            start_in_order(service, now);
        }
    }
}

void router::start_in_order(service_runtime& service, time_point now)
{
    int failed_starts = 0;
    for (std::uint64_t const ticket : start_order(service.queue_, now))
    {
        if (!try_waiting(service, ticket, now) &&
            ++failed_starts >= max_failed_starts)
        {
            return;
        }
    }
}

void router::start_in_fair_order(service_runtime& service, time_point now)
{
    start_pass pass;
    for (std::uint64_t const ticket : fair_start_order(service.queue_, now))
    {
        auto const waiting = find_waiting(service.queue_, ticket);
        if (!waiting || !is_worth_trying(pass, *waiting) ||
            try_waiting(service, ticket, now))
        {
            continue;
        }
        record_failed_start(pass, *waiting, now);
        if (pass.is_over_)
        {
            return;
        }
    }
}

bool router::try_waiting(service_runtime& service, std::uint64_t ticket,
                         time_point now)
{
    auto const found = service.waiting_.find(ticket);
    if (found == service.waiting_.end())
    {
        return true;
    }
    auto const request = found->second;
    if (!request->try_start(now))
    {
        // A held prompt does not lack capacity.
        return request->is_held();
    }
    remove_waiting(service.queue_, ticket);
    service.waiting_.erase(ticket);
    return true;
}

} // namespace auburnlb
