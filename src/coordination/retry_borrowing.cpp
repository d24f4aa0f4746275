// Rounds of requests for the retries of other routers.
#include "auburnlb/coordination/retry_borrowing.hpp"

#include <algorithm>
#include <cmath>

namespace auburnlb
{

namespace
{

/// Routers that are asked at the same time, and in one round. Without a limit a
/// large fleet that has no retries left would spend its time on asking.
constexpr std::size_t routers_at_once = 4;
constexpr std::size_t routers_per_round = 8;

/// Pause after a round that found nothing.
constexpr milliseconds fruitless_round_pause{1'000};

/// Returns the number of retries that requests still wait for.
std::uint32_t missing_retries(retry_borrowing const& state, double left)
{
    double const missing = state.waiting_ - std::floor(std::max(left, 0.0));
    return static_cast<std::uint32_t>(std::max(missing, 0.0));
}

void end_round(retry_borrowing& state, time_point now)
{
    if (state.lent_ == 0)
    {
        state.pause_end_ = now + fruitless_round_pause;
    }
    state.asked_.clear();
    state.lent_ = 0;
}

/// Returns the next routers that were not asked in this round.
std::vector<std::string> take_routers(retry_borrowing& state,
                                      std::vector<std::string> const& routers)
{
    std::size_t const allowed =
        std::min(routers_at_once, routers_per_round - state.asked_.size());
    std::vector<std::string> taken;
    for (std::size_t count = 0;
         count < routers.size() && taken.size() < allowed; ++count)
    {
        std::string const& router = routers[state.next_++ % routers.size()];
        if (std::find(state.asked_.begin(), state.asked_.end(), router) ==
            state.asked_.end())
        {
            state.asked_.push_back(router);
            taken.push_back(router);
        }
    }
    return taken;
}

} // namespace

bool may_borrow(retry_borrowing const& state, time_point now)
{
    return now >= state.pause_end_;
}

std::vector<loan_request>
next_loan_requests(retry_borrowing& state, double left,
                   std::vector<std::string> const& routers, time_point now)
{
    std::uint32_t const missing = missing_retries(state, left);
    if (state.pending_ > 0 || missing == 0 || !may_borrow(state, now))
    {
        return {};
    }
    std::vector<std::string> taken = take_routers(state, routers);
    if (taken.empty())
    {
        end_round(state, now);
        return {};
    }
    auto const asked = static_cast<std::uint32_t>(taken.size());
    std::vector<loan_request> requests;
    requests.reserve(taken.size());
    for (std::string& router : taken)
    {
        requests.push_back({std::move(router), (missing + asked - 1) / asked});
    }
    state.pending_ = asked;
    return requests;
}

void on_loan_reply(retry_borrowing& state, std::uint32_t lent)
{
    --state.pending_;
    state.lent_ += lent;
}

} // namespace auburnlb
