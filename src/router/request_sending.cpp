// Choice of the endpoints for a request, reservations, and sending.
#include "superseded_attempt.hpp"

#include <algorithm>
#include <utility>

#include "auburnlb/coordination/next_endpoint.hpp"
#include "auburnlb/coordination/request_rank.hpp"

namespace auburnlb
{

namespace
{

/// Maximum idle time of a connection for a request that must not be sent twice:
/// one that was idle for longer is more likely to be closed by the endpoint at
/// that moment.
constexpr milliseconds max_idle_at_most_once{1'000};

constexpr milliseconds max_idle_retryable{10'000};

/// Output lengths are estimated by their median; the product with this factor
/// covers most of them.
constexpr double estimate_margin = 1.3;

/// Engines rank requests from 0, the most urgent, to 9. The default priority is
/// mapped to the middle rank.
constexpr std::int32_t default_urgency_offset = 4;

constexpr std::int32_t lowest_urgency = 9;

} // namespace

bool forwarded_request::try_start(time_point now)
{
    if (is_known_to_crash())
    {
        refuse_crashing();
        return true;
    }
    if (must_follow_copy())
    {
        refuse_copy();
        return true;
    }
    is_held_ = false;
    bool const is_started =
        is_model() ? start_on_path(now) : start_on_endpoint(now);
    // A request that is refused for a planned stop has ended instead.
    if (is_started && !has_ended_)
    {
        if (is_model() && core_.options_.bounds_prefill_)
        {
            core_.metrics_.observe("auburnlb_router_prompt_wait_seconds",
                                   is_long_ ? "length=\"long\""
                                            : "length=\"short\"",
                                   now - received_);
        }
        is_waiting_ = false;
        record_started(now);
    }
    return is_started;
}

double forwarded_request::expected_output_tokens() const
{
    model_profile const& model = *service_entry_->model_;
    double const usual =
        model.mean_output_tokens_ > 0 ? model.mean_output_tokens_ : 1;
    double expected =
        caller_request_.estimated_output_tokens_
            ? static_cast<double>(*caller_request_.estimated_output_tokens_) *
                  estimate_margin
            : usual;
    if (caller_request_.max_output_tokens_ > 0)
    {
        expected = std::min(
            expected, static_cast<double>(caller_request_.max_output_tokens_));
    }
    double const delivered = static_cast<double>(event_count_) *
                             static_cast<double>(model.steps_per_event_);
    return std::max(expected - delivered, usual / 4);
}

path_demand forwarded_request::make_demand(time_point now) const
{
    model_profile const& model = *service_entry_->model_;
    path_demand demand;
    demand.prompt_tokens_ =
        static_cast<double>(caller_request_.prompt_tokens_) +
        static_cast<double>(event_count_) *
            static_cast<double>(model.steps_per_event_);
    demand.answer_tokens_ = expected_output_tokens();
    demand.max_kv_share_ = kv_overcommit;
    demand.data_centre_ = core_.options_.data_centre_;
    demand.may_cross_ = may_cross(core_.services_[service_name_].links_, model,
                                  core_.live_router_count_, now);
    if (may_only_return())
    {
        demand.allowed_first_ids_ = sent_to_.ids_;
    }
    return demand;
}

std::optional<path_choice>
forwarded_request::find_path(path_demand const& demand,
                             std::string const& excluded_first_id,
                             time_point now) const
{
    return choose_path(engines_after(excluded_first_id, now),
                       *service_entry_->model_, demand);
}

std::vector<path_engine>
forwarded_request::engines_after(std::string const& excluded_first_id,
                                 time_point now) const
{
    std::vector<path_engine> engines = known_engines(now);
    for (path_engine& engine : engines)
    {
        engine.may_be_first_ =
            engine.may_be_first_ && engine.id_ != excluded_first_id;
    }
    return engines;
}

std::optional<path_choice>
forwarded_request::find_bounded_path(path_demand const& demand, time_point now)
{
    if (!core_.options_.bounds_prefill_)
    {
        return find_path(demand, superseded_endpoint(), now);
    }
    service_runtime& runtime = service();
    prefill_targets targets;
    targets.shortest_ = shortest_target();
    targets.own_ = received_ + route_->latency_target_ - now;
    // The caller of a request that may have run waits for an attempt that has
    // failed, maybe in the middle of a response.
    targets.is_bounded_ =
        !may_have_run_ && event_count_ == 0 && superseded_ == nullptr &&
        now < hold_end(received_, make_queue_entry(now).expires_at_) &&
        expects_short(runtime.prompts_, targets.shortest_, now);
    // In one pass over the queue, which has one time, no search is repeated for
    // prompts as long as one that is held.
    bool const is_known_held = targets.is_bounded_ && runtime.held_at_ == now &&
                               demand.prompt_tokens_ >= runtime.held_tokens_;
    if (is_known_held)
    {
        record_held();
        return std::nullopt;
    }
    prefill_choice choice =
        choose_bounded_path(engines_after(superseded_endpoint(), now),
                            *service_entry_->model_, demand, targets);
    if (choice.path_ || choice.is_held_)
    {
        is_long_ = choice.is_long_;
        record_prompt(runtime.prompts_, is_long_, now);
    }
    if (choice.is_held_)
    {
        record_held();
        // Others may have paths that begin elsewhere.
        if (demand.allowed_first_ids_.empty())
        {
            runtime.held_at_ = now;
            runtime.held_tokens_ = demand.prompt_tokens_;
        }
    }
    return std::move(choice.path_);
}

milliseconds forwarded_request::shortest_target()
{
    service_runtime& runtime = service();
    route_table const& table = core_.routes_->table();
    if (runtime.shortest_target_version_ != table.version_)
    {
        runtime.shortest_target_version_ = table.version_;
        runtime.shortest_target_ =
            shortest_latency_target(table, service_name_);
    }
    return runtime.shortest_target_;
}

bool forwarded_request::only_held_wait(service_runtime const& runtime)
{
    return std::all_of(runtime.waiting_.begin(), runtime.waiting_.end(),
                       [](auto const& each) { return each.second->is_held_; });
}

void forwarded_request::record_held()
{
    is_long_ = true;
    is_held_ = true;
    if (!std::exchange(was_held_, true))
    {
        core_.metrics_.add("auburnlb_router_held_prompts_total",
                           "service=\"" + service_name_ + "\"");
    }
}

std::vector<path_engine> forwarded_request::known_engines(time_point now) const
{
    capacity_use use;
    set_demand(core_, service_name_, use, now);
    std::vector<path_engine> engines;
    for (endpoint_ptr const& each :
         endpoints_of(core_.directory_, service_name_))
    {
        engines.push_back(to_path_engine(*each, *service_entry_->model_, now));
        if (core_.options_.shares_capacity_)
        {
            path_engine& engine = engines.back();
            engine.compared_kv_reserved_ =
                compared_reservation(each->load_.kv_reserved_,
                                     engine.kv_reserved_, demand_ratio(use));
        }
    }
    return engines;
}

bool forwarded_request::has_capacity_share(path_demand const& demand,
                                           time_point now) const
{
    // The caller of a request that may have run waits for its response.
    if (!core_.options_.shares_capacity_ || has_begun())
    {
        return true;
    }
    return has_share_for(
        recent_capacity(core_, service_name_, *service_entry_->model_, now),
        demand.prompt_tokens_ + demand.answer_tokens_);
}

void forwarded_request::record_held_by_share()
{
    if (!std::exchange(was_held_by_share_, true))
    {
        core_.metrics_.add("auburnlb_router_held_by_share_total",
                           "service=\"" + service_name_ + "\"");
    }
}

void forwarded_request::begin_attempt(path_choice path)
{
    time_point const last_progress_at = attempt_->last_progress_at_;
    attempt_ = std::make_unique<endpoint_attempt>(*core_.memory_);
    attempt_->last_progress_at_ = last_progress_at;
    attempt_->path_ = std::move(path);
}

bool forwarded_request::start_on_path(time_point now)
{
    path_demand const demand = make_demand(now);
    if (!has_capacity_share(demand, now))
    {
        record_held_by_share();
        return false;
    }
    auto path = find_bounded_path(demand, now);
    if (!path)
    {
        return false;
    }
    begin_attempt(std::move(*path));
    if (core_.is_stopping_ && !can_finish_before_stop(now))
    {
        refuse_for_stop();
        return true;
    }
    service().capacity_.use_.own_reserved_ +=
        demand.prompt_tokens_ + demand.answer_tokens_;
    consume_crossings(service().links_, *service_entry_->model_, demand,
                      attempt_->path_.crossings_);
    for (path_part const& part : attempt_->path_.path_.parts_)
    {
        auto const layers =
            static_cast<double>(part.layers_.end_ - part.layers_.first_);
        endpoint_load const load{1, kv_demand(demand, part.layers_),
                                 demand.prompt_tokens_ * layers};
        endpoint_ptr const& endpoint =
            core_.directory_.endpoints_[part.endpoint_id_];
        add_load(*endpoint, load);
        attempt_->reservations_.push_back({endpoint, load});
    }
    send(attempt_->reservations_.front().endpoint_,
         attempt_->path_.path_.parts_, now);
    return true;
}

endpoint_ptr forwarded_request::find_endpoint(std::vector<std::string> busy_ids,
                                              time_point now) const
{
    next_attempt next;
    next.attempted_ = sent_to_;
    next.max_endpoints_ = route_->max_attempts_;
    next.may_return_ = is_stream();
    next.busy_ids_ = std::move(busy_ids);
    return choose_next_endpoint(endpoints_of(core_.directory_, service_name_),
                                core_.options_.data_centre_, next, now);
}

bool forwarded_request::start_on_endpoint(time_point now)
{
    endpoint_ptr const endpoint = find_endpoint({superseded_endpoint()}, now);
    if (endpoint == nullptr)
    {
        return false;
    }
    begin_attempt({});
    if (core_.is_stopping_ && !can_finish_before_stop(now))
    {
        refuse_for_stop();
        return true;
    }
    endpoint_load const load{1, 0, 0};
    add_load(*endpoint, load);
    attempt_->reservations_.push_back({endpoint, load});
    send(endpoint, {}, now);
    return true;
}

bool forwarded_request::is_model() const
{
    return service_entry_ != nullptr && service_entry_->model_ &&
           service_entry_->model_->layers_ > 1;
}

bool forwarded_request::is_retryable() const
{
    return route_->kind_ == route_kind::idempotent ||
           (is_stream() && route_->is_resumable_);
}

std::uint32_t forwarded_request::urgency() const
{
    if (core_.options_.controls_overload_)
    {
        return urgency_of(workspace_priority(), route_->priority_);
    }
    return static_cast<std::uint32_t>(
        std::clamp(priority() + default_urgency_offset, 0, lowest_urgency));
}

void forwarded_request::send(endpoint_ptr const& first,
                             std::vector<path_part> const& path, time_point now)
{
    endpoint_request request;
    request.endpoint_id_ = first->record_.id_;
    request.path_ = path;
    request.time_left_ =
        std::chrono::duration_cast<milliseconds>(deadline_ - now);
    if (workspace_ != nullptr)
    {
        request.workspace_ = workspace_->name_;
    }
    if (is_stream())
    {
        request.last_event_id_ = events_.last_id();
        request.urgency_ = urgency();
    }
    milliseconds const max_idle = max_idle_time(request.endpoint_id_);
    record_send(first->rate_limit_, now);
    ++send_count_;
    record_attempt(sent_to_, request.endpoint_id_);
    attempt_->sent_at_ = now;
    attempt_->last_progress_at_ = now;
    events_.discard_partial_event();
    attempt_->connection_ =
        core_.pool_.acquire(first->record_.address_, max_idle);
    attempt_->is_connection_reused_ = attempt_->connection_->is_reused();
    attempt_->connection_->begin(
        core_.protocol_.write_request_(head_, body_, request), *this,
        head_.method_ == "HEAD");
}

milliseconds
forwarded_request::max_idle_time(std::string const& endpoint_id) const
{
    // A response that the endpoint repeats could not be told from that of this
    // attempt.
    bool const was_sent_there =
        std::find(sent_to_.ids_.begin(), sent_to_.ids_.end(), endpoint_id) !=
        sent_to_.ids_.end();
    if (was_sent_there)
    {
        return milliseconds(0);
    }
    return is_retryable() ? max_idle_retryable : max_idle_at_most_once;
}

bool forwarded_request::has_alternative(time_point now) const
{
    if (is_model())
    {
        return find_path(make_demand(now), superseded_endpoint(), now)
            .has_value();
    }
    std::string const& current =
        attempt_->reservations_.front().endpoint_->record_.id_;
    return find_endpoint({superseded_endpoint(), current}, now) != nullptr;
}

bool forwarded_request::has_separate_alternative(time_point now) const
{
    if (!is_model() || superseded_ != nullptr)
    {
        return has_alternative(now);
    }
    std::string const& first =
        attempt_->reservations_.front().endpoint_->record_.id_;
    return find_path(make_demand(now), first, now).has_value();
}

} // namespace auburnlb
