// Start order and refusals in an overload.
#include "auburnlb/coordination/start_order.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace auburnlb
{

namespace
{

/// Time constant of the counts by priority.
constexpr milliseconds count_time{2'000};

/// The same for expected waits: a longer one refuses less urgent requests for
/// seconds after an overload has ended.
constexpr milliseconds recent_time{1'000};

/// A less urgent priority gets at least this part of the share of its arrivals
/// that the more urgent ones get. Above the quarter that is guaranteed, since
/// the counts of single routers vary.
constexpr double floor_ratio = 0.3;

/// A pass ends after this many requests that found no capacity, each smaller
/// than the one before.
constexpr int max_failures = 6;

/// With fewer starts than this, their parts by priority tell nothing.
constexpr double min_counted_starts = 5;

/// Least part of the starts that a priority is assumed to get, so that its
/// expected wait stays finite.
constexpr double min_part = 0.05;

using request_list = std::vector<waiting_request const*>;

bool is_on_time(waiting_request const& request, time_point now)
{
    return now <= request.latest_on_time_start_;
}

/// Which requests go first within a priority, apart from returning callers.
auto urgency_key(waiting_request const& request, time_point now)
{
    bool const is_late = !is_on_time(request, now);
    return std::make_tuple(is_late, is_late ? request.deadline_
                                            : request.latest_on_time_start_);
}

/// Sorts by priority and deadline, begun requests first.
void sort_by_urgency(request_list& requests, time_point now)
{
    std::stable_sort(
        requests.begin(), requests.end(),
        [now](waiting_request const* left, waiting_request const* right)
        {
            return std::make_tuple(!left->has_begun_, left->priority_,
                                   !left->has_turn_, urgency_key(*left, now)) <
                   std::make_tuple(!right->has_begun_, right->priority_,
                                   !right->has_turn_, urgency_key(*right, now));
        });
}

/// Returns the requests in this order, but with at most every second one a
/// returning caller's turn as long as there are others.
request_list limit_turns(request_list const& sorted, bool begins_with_turn)
{
    request_list turns;
    request_list others;
    std::map<waiting_request const*, std::size_t> ranks;
    for (waiting_request const* const each : sorted)
    {
        ranks[each] = ranks.size();
        (each->has_turn_ ? turns : others).push_back(each);
    }
    request_list order;
    order.reserve(sorted.size());
    auto turn = turns.begin();
    auto other = others.begin();
    bool may_be_turn = begins_with_turn;
    while (turn != turns.end() && other != others.end())
    {
        bool const is_turn = may_be_turn && ranks[*turn] < ranks[*other];
        order.push_back(is_turn ? *turn++ : *other++);
        may_be_turn = !is_turn;
    }
    order.insert(order.end(), turn, turns.end());
    order.insert(order.end(), other, others.end());
    return order;
}

/// Returns the priorities that get too little, the most urgent first.
std::vector<std::int32_t> priorities_below_floor(wait_queue const& queue,
                                                 time_point now)
{
    std::vector<std::int32_t> below;
    double urgent_arrived = 0;
    double urgent_started = 0;
    for (auto const& [priority, counts] : queue.priorities_)
    {
        double const arrived = value_at(counts.arrived_, now, count_time);
        double const started = value_at(counts.started_, now, count_time);
        if (urgent_arrived > 0 &&
            started * urgent_arrived < floor_ratio * urgent_started * arrived)
        {
            below.push_back(priority);
        }
        urgent_arrived += arrived;
        urgent_started += started;
    }
    return below;
}

/// Moves one request of each priority below its floor to the front: the first
/// one that can be on time, since what is started late is worth less to its
/// caller.
void apply_floor(request_list& order, wait_queue const& queue, time_point now)
{
    auto front = std::find_if(order.begin(), order.end(),
                              [](waiting_request const* each)
                              { return !each->has_begun_; });
    for (std::int32_t const priority : priorities_below_floor(queue, now))
    {
        auto found = std::find_if(front, order.end(),
                                  [priority, now](waiting_request const* each) {
                                      return each->priority_ == priority &&
                                             is_on_time(*each, now);
                                  });
        if (found == order.end())
        {
            found = std::find_if(front, order.end(),
                                 [priority](waiting_request const* each)
                                 { return each->priority_ == priority; });
        }
        if (found != order.end())
        {
            std::rotate(front, found, found + 1);
            ++front;
        }
    }
}

/// Returns the part of the starts that goes to requests of this priority and
/// less urgent ones. More urgent ones that arrive later go before them.
double part_of_starts(wait_queue const& queue, std::int32_t priority,
                      time_point now)
{
    double all = 0;
    double urgent = 0;
    for (auto const& [each, counts] : queue.priorities_)
    {
        double const started =
            value_at(counts.started_lately_, now, recent_time);
        all += started;
        urgent += each < priority ? started : 0;
    }
    return all < min_counted_starts ? 1 : std::max(1 - urgent / all, min_part);
}

request_list order_requests(wait_queue const& queue, request_list requests,
                            time_point now)
{
    sort_by_urgency(requests, now);
    share_limits const limits = limits_at(queue.shares_, now);
    // What each workspace will have started when its next request in this order
    // is reached.
    std::map<std::string, double> started;
    request_list order;
    order.reserve(requests.size());
    request_list light;
    request_list within;
    request_list beyond;
    for (waiting_request const* const each : requests)
    {
        if (each->has_begun_)
        {
            order.push_back(each);
            continue;
        }
        auto const [entry, is_new] = started.try_emplace(each->workspace_, 0);
        if (is_new)
        {
            entry->second =
                started_tokens(queue.shares_, each->workspace_, now);
        }
        bool const is_within = entry->second < limit_of(limits, queue.shares_,
                                                        each->workspace_, now);
        bool const is_light =
            needs_little(limits, queue.shares_, each->workspace_, now);
        (is_light ? light : is_within ? within : beyond).push_back(each);
        entry->second += each->tokens_;
    }
    light.insert(light.end(), within.begin(), within.end());
    light.insert(light.end(), beyond.begin(), beyond.end());
    request_list const rest = limit_turns(light, !queue.was_last_start_turn_);
    order.insert(order.end(), rest.begin(), rest.end());
    apply_floor(order, queue, now);
    return order;
}

request_list waiting_list(wait_queue const& queue)
{
    request_list requests;
    requests.reserve(queue.waiting_.size() + 1);
    for (waiting_request const& each : queue.waiting_)
    {
        requests.push_back(&each);
    }
    return requests;
}

} // namespace

void record_arrival(wait_queue& queue, waiting_request const& request,
                    time_point now)
{
    record_arrived_tokens(queue.shares_, request.workspace_, request.tokens_,
                          now);
    if (!request.has_turn_)
    {
        add(queue.priorities_[request.priority_].arrived_, 1, now, count_time);
    }
}

void record_first_start(wait_queue& queue, waiting_request const& request,
                        time_point now)
{
    record_started_tokens(queue.shares_, request.workspace_, request.tokens_,
                          now);
    priority_counts& counts = queue.priorities_[request.priority_];
    add(counts.started_, 1, now, count_time);
    add(counts.started_lately_, 1, now, recent_time);
    queue.was_last_start_turn_ = request.has_turn_;
}

std::vector<std::uint64_t> fair_start_order(wait_queue const& queue,
                                            time_point now)
{
    std::vector<std::uint64_t> tickets;
    tickets.reserve(queue.waiting_.size());
    for (waiting_request const* const each :
         order_requests(queue, waiting_list(queue), now))
    {
        tickets.push_back(each->ticket_);
    }
    return tickets;
}

nanoseconds expected_fair_wait(wait_queue const& queue,
                               waiting_request const& request, time_point now)
{
    request_list requests = waiting_list(queue);
    requests.push_back(&request);
    request_list const order = order_requests(queue, std::move(requests), now);
    std::int64_t urgent = 0;
    std::int64_t others = 0;
    for (waiting_request const* const each : order)
    {
        if (each == &request)
        {
            break;
        }
        ++(each->has_begun_ || each->priority_ < request.priority_ ? urgent
                                                                   : others);
    }
    double const part =
        request.has_begun_ ? 1 : part_of_starts(queue, request.priority_, now);
    return queue.start_interval_ * urgent +
           std::chrono::duration_cast<nanoseconds>(
               queue.start_interval_ * static_cast<double>(others) / part);
}

bool is_refused_on_arrival(wait_queue const& queue,
                           waiting_request const& request, time_point now)
{
    if (queue.waiting_.empty() || request.has_begun_)
    {
        return now >= request.expires_at_;
    }
    time_point const start = now + expected_fair_wait(queue, request, now);
    if (start >= request.expires_at_)
    {
        return true;
    }
    // A caller that has not waited for its turn gains nothing by returning.
    bool const can_come_back =
        !request.has_turn_ && can_return(request.deadline_ - now);
    return can_come_back && start > request.latest_on_time_start_;
}

milliseconds take_return_turn(wait_queue& queue, waiting_request const& request,
                              time_point now)
{
    return_conditions conditions;
    conditions.start_interval_ = queue.start_interval_;
    conditions.queue_time_ = queue.start_interval_ *
                             static_cast<std::int64_t>(queue.waiting_.size());
    conditions.time_left_ = request.deadline_ - now;
    if (request.has_turn_)
    {
        // Callers return once, so that this one needs no turn.
        return_schedule unused = queue.returns_;
        return take_turn(unused, conditions, now);
    }
    return take_turn(queue.returns_, conditions, now);
}

bool is_worth_trying(start_pass const& pass, waiting_request const& request)
{
    return request.is_repeat_ || request.tokens_ < pass.smallest_failed_;
}

void record_failed_start(start_pass& pass, waiting_request const& request,
                         time_point now)
{
    pass.is_over_ = ++pass.failures_ >= max_failures;
    if (request.is_repeat_)
    {
        // Others may start where this one may not.
        return;
    }
    pass.smallest_failed_ = std::min(pass.smallest_failed_, request.tokens_);
    time_point const begin = is_on_time(request, now)
                                 ? request.arrived_
                                 : request.latest_on_time_start_;
    time_point const end = is_on_time(request, now)
                               ? request.latest_on_time_start_
                               : request.expires_at_;
    bool const is_capacity_kept = now >= begin + (end - begin) / 2;
    pass.is_over_ = pass.is_over_ || is_capacity_kept;
}

} // namespace auburnlb
