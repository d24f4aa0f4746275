// Order, expiry and expected waits of the queue.
#include "auburnlb/coordination/wait_queue.hpp"

#include <algorithm>
#include <tuple>

namespace auburnlb
{

namespace
{

/// Weight of the newest interval in the moving average.
constexpr double interval_weight = 0.1;

/// Longer intervals are capped at this length, as they are caused by a lost
/// endpoint and not by the usual rate.
constexpr milliseconds max_interval{1'000};

/// When requests begin to wait, an interval that was measured longer ago than
/// this tells nothing of the endpoints that they wait for.
constexpr milliseconds interval_lifetime{5'000};

/// Bounds of the time after which a refused caller should retry. Earlier, the
/// queue would still be the same; later, the caller would wait for no reason.
constexpr milliseconds min_retry_after{300};
constexpr milliseconds max_retry_after{4'000};

bool is_on_time(waiting_request const& request, time_point now)
{
    return now <= request.latest_on_time_start_;
}

} // namespace

void add_waiting(wait_queue& queue, waiting_request const& request)
{
    if (queue.waiting_.empty())
    {
        queue.busy_since_ = request.arrived_;
        if (request.arrived_ - queue.measured_at_ > interval_lifetime)
        {
            queue.start_interval_ = nanoseconds(0);
        }
    }
    queue.waiting_.push_back(request);
}

void remove_waiting(wait_queue& queue, std::uint64_t ticket)
{
    std::erase_if(queue.waiting_, [ticket](waiting_request const& each)
                  { return each.ticket_ == ticket; });
}

std::optional<waiting_request> find_waiting(wait_queue const& queue,
                                            std::uint64_t ticket)
{
    auto const found =
        std::find_if(queue.waiting_.begin(), queue.waiting_.end(),
                     [ticket](waiting_request const& each)
                     { return each.ticket_ == ticket; });
    return found == queue.waiting_.end() ? std::nullopt : std::optional(*found);
}

void record_start(wait_queue& queue, time_point now)
{
    time_point const since = std::max(queue.last_start_, queue.busy_since_);
    nanoseconds const interval =
        std::min<nanoseconds>(now - since, max_interval);
    queue.last_start_ = now;
    if (queue.waiting_.empty())
    {
        return;
    }
    queue.measured_at_ = now;
    if (queue.start_interval_ == nanoseconds(0))
    {
        queue.start_interval_ = interval;
        return;
    }
    queue.start_interval_ += std::chrono::duration_cast<nanoseconds>(
        (interval - queue.start_interval_) * interval_weight);
}

std::vector<std::uint64_t> start_order(wait_queue const& queue, time_point now)
{
    std::vector<waiting_request const*> order;
    order.reserve(queue.waiting_.size());
    for (waiting_request const& each : queue.waiting_)
    {
        order.push_back(&each);
    }
    std::stable_sort(
        order.begin(), order.end(),
        [now](waiting_request const* left, waiting_request const* right)
        {
            return std::make_tuple(!is_on_time(*left, now), left->priority_) <
                   std::make_tuple(!is_on_time(*right, now), right->priority_);
        });
    std::vector<std::uint64_t> tickets;
    tickets.reserve(order.size());
    for (waiting_request const* const each : order)
    {
        tickets.push_back(each->ticket_);
    }
    return tickets;
}

std::vector<std::uint64_t> take_expired(wait_queue& queue, time_point now)
{
    std::vector<std::uint64_t> tickets;
    std::erase_if(queue.waiting_,
                  [&](waiting_request const& each)
                  {
                      if (now < each.expires_at_)
                      {
                          return false;
                      }
                      tickets.push_back(each.ticket_);
                      return true;
                  });
    return tickets;
}

nanoseconds expected_wait(wait_queue const& queue, std::int32_t priority)
{
    auto const ahead =
        std::count_if(queue.waiting_.begin(), queue.waiting_.end(),
                      [priority](waiting_request const& each)
                      { return each.priority_ <= priority; });
    return queue.start_interval_ * ahead;
}

bool would_expire(wait_queue const& queue, waiting_request const& request)
{
    return request.arrived_ + expected_wait(queue, request.priority_) >=
           request.expires_at_;
}

bool is_backoff_too_long(waiting_request const& request, time_point backoff_end,
                         bool may_come_back)
{
    if (backoff_end <= request.arrived_)
    {
        return false;
    }
    return backoff_end >= request.expires_at_ ||
           (may_come_back && backoff_end > request.latest_on_time_start_);
}

milliseconds retry_after(wait_queue const& queue)
{
    auto const all = std::chrono::duration_cast<milliseconds>(
        queue.start_interval_ *
        static_cast<std::int64_t>(queue.waiting_.size()));
    return std::clamp(all, min_retry_after, max_retry_after);
}

} // namespace auburnlb
