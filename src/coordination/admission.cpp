// Token buckets, start-time fair queueing and an adaptive limit of concurrency.
#include "auburnlb/coordination/admission.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace auburnlb
{

namespace
{

/// Seconds of a workspace's rate that it may use in one burst.
constexpr double burst_s = 2;
/// Share of samples later than their target that the limit tolerates.
constexpr double late_share = 0.05;
/// Samples and time between two changes of the limit.
constexpr std::uint32_t adapt_samples = 64;
constexpr milliseconds adapt_interval{200};
/// The limit falls by this much for each share of samples that is too late, and
/// by one step at most to min_decrease of itself.
constexpr double decrease_gain = 0.5;
constexpr double min_decrease = 0.9;
constexpr double increase_share = 0.01;
/// The limit stays within these factors of the one that follows from the
/// bound, and the highest that is tried without a known bound.
constexpr double min_limit_factor = 0.25;
constexpr double max_limit_factor = 4;
constexpr double unknown_bound_limit = 64;
constexpr double unknown_bound_max_limit = 4'096;
/// Mean requests that a workspace may send in a burst beyond its fair share
/// before its next one waits. Its share over a longer time stays the same.
constexpr double burst_requests = 8;
/// Weight of the newest sample in moving means.
constexpr double mean_gain = 0.05;
/// Share of the waiting time that a request may spend in the queue. The rest
/// is for what the estimate does not know.
constexpr double usable_wait_share = 0.8;
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{60'000};

double to_seconds(nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

nanoseconds from_seconds(double duration)
{
    return std::chrono::duration_cast<nanoseconds>(
        std::chrono::duration<double>(duration));
}

milliseconds retry_after(double duration)
{
    double const milliseconds_wanted = std::ceil(duration * 1'000);
    double const highest = static_cast<double>(max_retry_after.count());
    return std::clamp(milliseconds(static_cast<std::int64_t>(
                          std::min(milliseconds_wanted, highest))),
                      min_retry_after, max_retry_after);
}

void add_to_mean(double& mean, double sample)
{
    mean = mean <= 0 ? sample : mean + (sample - mean) * mean_gain;
}

admission_decision refuse(std::uint64_t ticket, refusal_reason reason,
                          milliseconds after)
{
    return {ticket, admission_verdict::refuse, reason, after};
}

admission_decision accept(std::uint64_t ticket)
{
    return {ticket, admission_verdict::admit, refusal_reason::overloaded,
            milliseconds{0}};
}

void refill(workspace_admission& workspace, time_point now)
{
    if (workspace.tokens_per_second_ <= 0)
    {
        return;
    }
    double const elapsed = to_seconds(now - workspace.refilled_);
    workspace.refilled_ = now;
    workspace.bucket_ =
        std::min(workspace.bucket_ + elapsed * workspace.tokens_per_second_,
                 workspace.tokens_per_second_ * burst_s);
}

/// A request runs as soon as the bucket is not empty; what it costs beyond that
/// is a debt, so that a request larger than the burst is not barred for ever.
bool has_rate(workspace_admission const& workspace)
{
    return workspace.tokens_per_second_ <= 0 || workspace.bucket_ > 0;
}

bool has_room(workspace_admission const& workspace)
{
    return !workspace.has_in_flight_limit_ ||
           workspace.in_flight_ < workspace.max_in_flight_;
}

/// Virtual time that a workspace's finish tag may run ahead without a wait.
double burst_credit(admission_state const& state)
{
    return burst_requests * std::max(1.0, state.mean_cost_);
}

double next_start_tag(admission_state const& state,
                      workspace_admission const& workspace)
{
    return std::max(state.virtual_time_,
                    workspace.finish_tag_ - burst_credit(state));
}

/// Whether a request may start above the limit because its workspace has had
/// no more than its share.
bool has_headroom(admission_state const& state,
                  workspace_admission const& workspace)
{
    return workspace.finish_tag_ - burst_credit(state) <= state.virtual_time_ &&
           static_cast<double>(state.in_progress_.size()) + 1 <=
               state.limit_ * (1 + limit_headroom);
}

/// Requests that end in a second while the service is full.
double completion_rate(admission_state const& state)
{
    return state.service_time_s_ <= 0 ? 0
                                      : state.limit_ / state.service_time_s_;
}

bool is_full(admission_state const& state)
{
    return static_cast<double>(state.in_progress_.size()) + 1 > state.limit_;
}

/// Time until a request would start that joins the workspace's queue now behind
/// that many others. Every workspace in the round is served at the pace of
/// virtual time until this one's turn comes.
double estimate_wait(admission_state const& state,
                     workspace_admission const& workspace, std::size_t ahead)
{
    double const rate = completion_rate(state);
    if (rate <= 0)
    {
        return 0;
    }
    double const weight = workspace.weight_;
    double const cost = std::max(1.0, state.mean_cost_);
    double const all_weight =
        state.active_weight_ + (workspace.is_active_ ? 0 : weight);
    double const debt = next_start_tag(state, workspace) - state.virtual_time_;
    double const tag = debt + static_cast<double>(ahead) * cost / weight;
    double const by_share = (tag * all_weight / cost + 1) / rate;
    double const by_all = static_cast<double>(state.waiting_.size() + 1) / rate;
    return std::min(by_share, by_all);
}

time_point latest_start(admission_state const& state,
                        admission_request const& request, time_point now)
{
    nanoseconds const first_token = from_seconds(state.first_token_s_);
    time_point const by_deadline = request.deadline_ - first_token;
    if (!request.is_interactive_)
    {
        return by_deadline;
    }
    // When the engines alone take the whole target, a short queue is kept
    // still, so that the limit decides and not the target.
    nanoseconds const slack = std::max<nanoseconds>(
        nanoseconds(state.first_token_target_) - first_token,
        state.first_token_target_ / 4);
    return std::min(by_deadline, now + slack);
}

void start(admission_state& state, std::uint32_t index, std::uint64_t ticket,
           double token_cost)
{
    workspace_admission& workspace = state.workspaces_[index];
    workspace.in_flight_ += 1;
    workspace.bucket_ -= token_cost;
    state.virtual_time_ =
        std::max(state.virtual_time_, next_start_tag(state, workspace));
    workspace.finish_tag_ =
        std::max(workspace.finish_tag_, state.virtual_time_) +
        token_cost / workspace.weight_;
    add_to_mean(state.mean_cost_, token_cost);
    state.in_progress_.emplace(ticket, admitted_request{index, token_cost});
}

/// Puts a workspace with a queue into the round, at the place of its next
/// request.
void activate(admission_state& state, std::uint32_t index)
{
    workspace_admission& workspace = state.workspaces_[index];
    if (workspace.is_active_)
    {
        return;
    }
    workspace.is_active_ = true;
    workspace.start_tag_ = next_start_tag(state, workspace);
    state.active_weight_ += workspace.weight_;
    state.round_.emplace(workspace.start_tag_, index);
}

void deactivate(admission_state& state, std::uint32_t index)
{
    workspace_admission& workspace = state.workspaces_[index];
    if (!workspace.is_active_)
    {
        return;
    }
    workspace.is_active_ = false;
    state.active_weight_ -= workspace.weight_;
    state.round_.erase({workspace.start_tag_, index});
}

void remove_waiting(admission_state& state, std::uint32_t index,
                    queue_key const& key)
{
    workspace_admission& workspace = state.workspaces_[index];
    auto const found = workspace.queue_.find(key);
    if (found == workspace.queue_.end())
    {
        return;
    }
    state.waiting_.erase(found->second.ticket_);
    workspace.queue_.erase(found);
    if (workspace.queue_.empty())
    {
        deactivate(state, index);
    }
}

std::uint32_t longest_queue(admission_state const& state)
{
    std::uint32_t longest = state.round_.begin()->second;
    double longest_share = -1;
    for (auto const& [tag, index] : state.round_)
    {
        workspace_admission const& workspace = state.workspaces_[index];
        double const share =
            static_cast<double>(workspace.queue_.size()) / workspace.weight_;
        if (share > longest_share)
        {
            longest = index;
            longest_share = share;
        }
    }
    return longest;
}

/// Makes room in a full queue at the cost of the workspace with the longest
/// queue for its weight. Gives false if that is the asking workspace itself.
bool make_room(admission_state& state, std::uint32_t asking)
{
    std::uint32_t const longest = longest_queue(state);
    workspace_admission& workspace = state.workspaces_[longest];
    if (longest == asking || workspace.queue_.empty())
    {
        return false;
    }
    auto const last = std::prev(workspace.queue_.end());
    double const wait =
        estimate_wait(state, workspace, workspace.queue_.size());
    state.pending_.push_back(refuse(
        last->second.ticket_, refusal_reason::overloaded, retry_after(wait)));
    remove_waiting(state, longest, queue_key(last->first));
    return true;
}

/// Requests of the workspace that would go before one with this key.
std::size_t count_ahead(workspace_admission const& workspace,
                        queue_key const& key)
{
    return static_cast<std::size_t>(std::distance(
        workspace.queue_.begin(), workspace.queue_.lower_bound(key)));
}

admission_decision enqueue(admission_state& state,
                           admission_request const& request,
                           std::uint32_t index, time_point now)
{
    workspace_admission& workspace = state.workspaces_[index];
    queue_key const key{-request.priority_, request.deadline_,
                        ++state.sequence_};
    double const wait =
        estimate_wait(state, workspace, count_ahead(workspace, key));
    time_point const latest = latest_start(state, request, now);
    double const usable = to_seconds(latest - now) * usable_wait_share;
    if (usable <= 0 || wait > usable)
    {
        bool const is_deadline =
            latest + from_seconds(state.first_token_s_) >= request.deadline_;
        return refuse(request.ticket_,
                      is_deadline ? refusal_reason::deadline_unreachable
                                  : refusal_reason::overloaded,
                      retry_after(wait - std::max(0.0, usable)));
    }
    if (state.waiting_.size() >= state.max_queue_ && !make_room(state, index))
    {
        return refuse(request.ticket_, refusal_reason::overloaded,
                      retry_after(wait));
    }
    workspace.queue_.emplace(
        key, queued_request{request.ticket_, request.token_cost_, latest});
    state.waiting_.emplace(request.ticket_, std::pair(index, key));
    activate(state, index);
    return {request.ticket_, admission_verdict::queue,
            refusal_reason::overloaded, milliseconds{0}};
}

/// Time until the bucket is above zero again.
double wait_for_rate(workspace_admission const& workspace)
{
    return -workspace.bucket_ / workspace.tokens_per_second_;
}

void refuse_expired(admission_state& state, std::uint32_t index, time_point now,
                    std::vector<admission_decision>& decisions)
{
    workspace_admission& workspace = state.workspaces_[index];
    for (auto next = workspace.queue_.begin(); next != workspace.queue_.end();)
    {
        if (next->second.latest_start_ >= now)
        {
            ++next;
            continue;
        }
        double const wait =
            estimate_wait(state, workspace, workspace.queue_.size());
        decisions.push_back(refuse(next->second.ticket_,
                                   refusal_reason::overloaded,
                                   retry_after(wait)));
        state.waiting_.erase(next->second.ticket_);
        next = workspace.queue_.erase(next);
    }
    if (workspace.queue_.empty())
    {
        deactivate(state, index);
    }
}

bool is_blocked(workspace_admission const& workspace)
{
    return !has_room(workspace) || !has_rate(workspace);
}

/// Starts the first request of a workspace's queue and moves the workspace to
/// the place of its next one.
void start_first(admission_state& state, std::uint32_t index,
                 std::vector<admission_decision>& decisions)
{
    workspace_admission& workspace = state.workspaces_[index];
    auto const first = workspace.queue_.begin();
    queued_request const request = first->second;
    decisions.push_back(accept(request.ticket_));
    start(state, index, request.ticket_, request.token_cost_);
    state.waiting_.erase(request.ticket_);
    workspace.queue_.erase(first);
    deactivate(state, index);
    if (!workspace.queue_.empty())
    {
        activate(state, index);
    }
}

std::vector<std::uint32_t> list_round(admission_state const& state)
{
    std::vector<std::uint32_t> indexes;
    indexes.reserve(state.round_.size());
    for (auto const& [tag, index] : state.round_)
    {
        indexes.push_back(index);
    }
    return indexes;
}

/// Serves workspaces that have had no more than their share, also above the
/// limit.
void serve_headroom(admission_state& state,
                    std::vector<std::uint32_t> const& round,
                    std::vector<admission_decision>& decisions)
{
    for (std::uint32_t const index : round)
    {
        workspace_admission const& workspace = state.workspaces_[index];
        while (!workspace.queue_.empty() && !is_blocked(workspace) &&
               has_headroom(state, workspace))
        {
            start_first(state, index, decisions);
        }
    }
}

/// The first workspace of the round that its own limits do not hold back.
std::optional<std::uint32_t> next_in_round(admission_state const& state)
{
    for (auto const& [tag, index] : state.round_)
    {
        if (!is_blocked(state.workspaces_[index]))
        {
            return index;
        }
    }
    return std::nullopt;
}

void serve_round(admission_state& state,
                 std::vector<admission_decision>& decisions)
{
    while (!is_full(state))
    {
        std::optional<std::uint32_t> const next = next_in_round(state);
        if (!next)
        {
            return;
        }
        start_first(state, *next, decisions);
    }
}

/// Additive increase while the limit holds requests back and targets are met,
/// multiplicative decrease when too many samples are late.
void adapt_limit(admission_state& state, time_point now)
{
    if (state.samples_ < adapt_samples || now - state.adapted_ < adapt_interval)
    {
        return;
    }
    double const late =
        static_cast<double>(state.late_samples_) / state.samples_;
    if (late > late_share)
    {
        state.limit_ *=
            std::max(min_decrease, 1 - (late - late_share) * decrease_gain);
    }
    else if (state.was_limited_ && late < late_share / 2)
    {
        state.limit_ += std::max(1.0, state.limit_ * increase_share);
    }
    state.limit_ = std::clamp(state.limit_, state.min_limit_, state.max_limit_);
    state.samples_ = 0;
    state.late_samples_ = 0;
    state.was_limited_ = false;
    state.adapted_ = now;
}

/// By Little's law: requests in progress at which the bound is reached and
/// each request gets its tokens at the target interval.
double limit_for(double bound, milliseconds token_interval, entry_share share)
{
    double const all = bound * to_seconds(token_interval);
    return std::max(1.0, all / std::max(1U, share.entries_));
}

void set_limit_range(admission_state& state, entry_share share, double bound)
{
    if (bound <= 0)
    {
        state.min_limit_ = 1;
        state.max_limit_ = unknown_bound_max_limit;
        state.limit_ = state.limit_ > 0 ? state.limit_ : unknown_bound_limit;
        return;
    }
    double const centre = limit_for(bound, state.token_interval_target_, share);
    state.min_limit_ = std::max(1.0, centre * min_limit_factor);
    state.max_limit_ = std::max(1.0, centre * max_limit_factor);
    state.limit_ = state.limit_ > 0 ? state.limit_ : centre;
    state.limit_ = std::clamp(state.limit_, state.min_limit_, state.max_limit_);
}

void apply_equal_share(workspace_admission& workspace,
                       workspace_limits const& limits, entry_share share)
{
    std::uint32_t const entries = std::max(1U, share.entries_);
    workspace.weight_ = std::max(1U, limits.weight_);
    workspace.tokens_per_second_ = limits.tokens_per_second_ / entries;
    workspace.has_in_flight_limit_ = limits.max_in_flight_ > 0;
    // The first entries take the remainder, so that the parts add up exactly.
    std::uint32_t const remainder = limits.max_in_flight_ % entries;
    workspace.max_in_flight_ =
        limits.max_in_flight_ / entries + (share.index_ < remainder ? 1U : 0U);
}

} // namespace

admission_state make_admission(service_config const& config, entry_share share,
                               double bound, time_point now)
{
    admission_state state;
    reconfigure(state, config, share, bound, now);
    return state;
}

void reconfigure(admission_state& state, service_config const& config,
                 entry_share share, double bound, time_point now)
{
    state.first_token_target_ = config.first_token_target_;
    state.token_interval_target_ = config.token_interval_target_;
    for (workspace_limits const& limits : config.workspaces_)
    {
        auto const [index, is_new] = state.index_of_.try_emplace(
            limits.name_, static_cast<std::uint32_t>(state.workspaces_.size()));
        if (is_new)
        {
            state.workspaces_.emplace_back();
        }
        workspace_admission& workspace = state.workspaces_[index->second];
        double const old_weight = workspace.weight_;
        apply_equal_share(workspace, limits, share);
        state.active_weight_ +=
            workspace.is_active_ ? workspace.weight_ - old_weight : 0;
        if (is_new)
        {
            workspace.refilled_ = now;
            workspace.bucket_ = workspace.tokens_per_second_ * burst_s;
        }
    }
    set_limit_range(state, share, bound);
}

std::vector<double> split_by_demand(std::vector<double> const& demand)
{
    double total = 0;
    for (double const part : demand)
    {
        total += part;
    }
    std::vector<double> parts;
    parts.reserve(demand.size());
    double const equal = 1.0 / static_cast<double>(demand.size());
    for (double const part : demand)
    {
        parts.push_back(total <= 0 ? equal : 0.5 * equal + 0.5 * part / total);
    }
    return parts;
}

void set_share(admission_state& state, workspace_limits const& limits,
               double fraction)
{
    auto const index = state.index_of_.find(limits.name_);
    if (index == state.index_of_.end())
    {
        return;
    }
    workspace_admission& workspace = state.workspaces_[index->second];
    workspace.tokens_per_second_ = limits.tokens_per_second_ * fraction;
    workspace.max_in_flight_ =
        static_cast<std::uint32_t>(limits.max_in_flight_ * fraction);
}

admission_decision admit(admission_state& state,
                         admission_request const& request, time_point now)
{
    auto const found = state.index_of_.find(request.workspace_);
    if (found == state.index_of_.end())
    {
        return refuse(request.ticket_, refusal_reason::unauthorized,
                      milliseconds{0});
    }
    workspace_admission& workspace = state.workspaces_[found->second];
    refill(workspace, now);
    if (!has_rate(workspace))
    {
        return refuse(request.ticket_, refusal_reason::workspace_rate_limit,
                      retry_after(wait_for_rate(workspace)));
    }
    if (!has_room(workspace))
    {
        return refuse(request.ticket_,
                      refusal_reason::workspace_in_flight_limit,
                      retry_after(state.service_time_s_));
    }
    if (request.deadline_ - from_seconds(state.first_token_s_) <= now)
    {
        return refuse(request.ticket_, refusal_reason::deadline_unreachable,
                      milliseconds{0});
    }
    // While the service is not full, whatever still waits after a tick is held
    // back by the limits of its own workspace.
    if (workspace.queue_.empty() &&
        (!is_full(state) || has_headroom(state, workspace)))
    {
        start(state, found->second, request.ticket_, request.token_cost_);
        return accept(request.ticket_);
    }
    state.was_limited_ = true;
    return enqueue(state, request, found->second, now);
}

void on_first_token(admission_state& state, nanoseconds since_admission)
{
    add_to_mean(state.first_token_s_, to_seconds(since_admission));
    state.samples_ += 1;
    state.late_samples_ += since_admission > state.first_token_target_ ? 1 : 0;
}

void on_token_interval(admission_state& state, nanoseconds interval)
{
    state.samples_ += 1;
    state.late_samples_ += interval > state.token_interval_target_ ? 1 : 0;
}

void on_finish(admission_state& state, std::uint64_t ticket, double token_cost,
               nanoseconds since_admission)
{
    auto const found = state.in_progress_.find(ticket);
    if (found == state.in_progress_.end())
    {
        return;
    }
    workspace_admission& workspace =
        state.workspaces_[found->second.workspace_];
    workspace.in_flight_ -= 1;
    workspace.bucket_ += found->second.token_cost_ - token_cost;
    add_to_mean(state.service_time_s_, to_seconds(since_admission));
    state.in_progress_.erase(found);
}

void on_caller_disconnect(admission_state& state, std::uint64_t ticket)
{
    auto const found = state.waiting_.find(ticket);
    if (found == state.waiting_.end())
    {
        return;
    }
    auto const [index, key] = found->second;
    remove_waiting(state, index, key);
}

std::vector<admission_decision> on_tick(admission_state& state, time_point now)
{
    adapt_limit(state, now);
    std::vector<admission_decision> decisions = std::move(state.pending_);
    state.pending_.clear();
    std::vector<std::uint32_t> const round = list_round(state);
    for (std::uint32_t const index : round)
    {
        refill(state.workspaces_[index], now);
        refuse_expired(state, index, now, decisions);
    }
    serve_headroom(state, round, decisions);
    serve_round(state, decisions);
    return decisions;
}

} // namespace auburnlb
