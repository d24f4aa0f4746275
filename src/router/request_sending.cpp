// Sending a request: the choice of endpoints and what is reserved there.
#include "auburnlb/router/forwarded_request.hpp"

#include <algorithm>
#include <utility>

namespace auburnlb
{

namespace
{

/// How long after the signal to stop callers may not know of it.
constexpr milliseconds stop_notice_time{3'000};
/// What the process keeps of its time to stop for its own end.
constexpr milliseconds stop_margin{500};
/// The longest answer is taken to need this many times what is expected.
constexpr double late_stream_margin = 1.5;

/// How old an idle connection may be for a request that must not be sent twice:
/// on an older one it is more likely to meet the endpoint's close.
constexpr milliseconds max_idle_at_most_once{1'000};

constexpr milliseconds max_idle_repeatable{10'000};

/// Answers are estimated at the median, so that this factor covers most.
constexpr double estimate_margin = 1.3;

/// Ranks of requests at an engine, of which 0 is the most urgent; the usual
/// priority has the middle rank.
constexpr std::int32_t usual_urgency_offset = 4;

constexpr std::int32_t last_urgency = 9;

} // namespace

bool forwarded_request::try_start(time_point now)
{
    bool const is_model = service_entry_ != nullptr && service_entry_->model_ &&
                          service_entry_->model_->layers_ > 1;
    bool const is_started =
        is_model ? start_on_path(now) : start_on_endpoint(now);
    if (is_started)
    {
        core_.metrics_.observe("auburnlb_router_wait_seconds",
                               "service=\"" + service_name_ + "\"",
                               now - received_);
        is_waiting_ = false;
        record_start(service().queue_, now);
    }
    return is_started;
}

double forwarded_request::expected_answer_tokens() const
{
    model_profile const& model = *service_entry_->model_;
    double const usual =
        model.mean_output_tokens_ > 0 ? model.mean_output_tokens_ : 1;
    double expected =
        facts_.estimated_output_tokens_
            ? static_cast<double>(*facts_.estimated_output_tokens_) *
                  estimate_margin
            : usual;
    if (facts_.max_output_tokens_ > 0)
    {
        expected =
            std::min(expected, static_cast<double>(facts_.max_output_tokens_));
    }
    double const delivered = static_cast<double>(event_count_) *
                             static_cast<double>(model.steps_per_event_);
    return std::max(expected - delivered, usual / 4);
}

path_demand forwarded_request::make_demand(time_point now) const
{
    model_profile const& model = *service_entry_->model_;
    path_demand demand;
    demand.prompt_tokens_ = static_cast<double>(facts_.prompt_tokens_) +
                            static_cast<double>(event_count_) *
                                static_cast<double>(model.steps_per_event_);
    demand.answer_tokens_ = expected_answer_tokens();
    demand.data_centre_ = core_.options_.data_centre_;
    demand.may_cross_ = may_cross(core_.services_[service_name_].links_, model,
                                  core_.live_routers_, now);
    if (sent_to_.ids_.size() >= route_->max_attempts_)
    {
        demand.allowed_first_ids_ = sent_to_.ids_;
    }
    return demand;
}

std::optional<path_choice>
forwarded_request::find_path(path_demand const& demand, time_point now) const
{
    model_profile const& model = *service_entry_->model_;
    std::vector<path_engine> engines;
    for (endpoint_ptr const& each :
         endpoints_of(core_.directory_, service_name_))
    {
        engines.push_back(to_path_engine(*each, model, now));
    }
    return choose_path(engines, model, demand);
}

bool forwarded_request::fits_before_stop(time_point now) const
{
    // What comes this soon after the signal may be cut at the end: the balancer
    // has not turned it away yet.
    if (event_count_ > 0 || received_ - core_.stop_began_ < stop_notice_time)
    {
        return true;
    }
    double const events =
        static_cast<double>(facts_.max_output_tokens_) /
        std::max(1U, service_entry_->model_->steps_per_event_);
    double const longest_ms =
        (path_.first_event_ms_ + events * path_.event_gap_ms_) *
        late_stream_margin;
    auto const left =
        core_.stop_began_ + core_.options_.stop_limit_ - stop_margin - now;
    return milliseconds(static_cast<std::int64_t>(longest_ms)) < left;
}

bool forwarded_request::start_on_path(time_point now)
{
    path_demand const demand = make_demand(now);
    auto path = find_path(demand, now);
    if (!path)
    {
        return false;
    }
    path_ = std::move(*path);
    if (core_.is_stopping_ && !fits_before_stop(now))
    {
        refuse_stopping();
        return true;
    }
    consume_crossings(service().links_, *service_entry_->model_, demand,
                      path_.crossings_);
    for (path_part const& part : path_.path_.parts_)
    {
        auto const layers =
            static_cast<double>(part.layers_.end_ - part.layers_.first_);
        endpoint_load const load{1, kv_demand(demand, part.layers_),
                                 demand.prompt_tokens_ * layers};
        endpoint_ptr const& endpoint =
            core_.directory_.endpoints_[part.endpoint_id_];
        add_load(*endpoint, load);
        reservations_.push_back({endpoint, load});
    }
    send(reservations_.front().endpoint_, path_.path_.parts_, now);
    return true;
}

bool forwarded_request::start_on_endpoint(time_point now)
{
    endpoint_ptr const endpoint =
        choose_endpoint(endpoints_of(core_.directory_, service_name_),
                        core_.options_.data_centre_, sent_to_.ids_, now);
    if (endpoint == nullptr)
    {
        return false;
    }
    endpoint_load const load{1, 0, 0};
    add_load(*endpoint, load);
    reservations_.push_back({endpoint, load});
    path_ = {};
    send(endpoint, {}, now);
    return true;
}

bool forwarded_request::may_repeat() const
{
    return route_->kind_ == route_kind::idempotent ||
           (is_stream() && route_->is_resumable_);
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
        request.urgency_ = static_cast<std::uint32_t>(
            std::clamp(priority() + usual_urgency_offset, 0, last_urgency));
    }
    ++sends_;
    record_attempt(sent_to_, request.endpoint_id_);
    sent_at_ = now;
    progress_at_ = now;
    event_gap_ = nanoseconds(0);
    extra_patience_ = milliseconds(0);
    is_streaming_ = false;
    answer_head_ = {};
    answer_ = {};
    answer_body_.clear();
    events_.restart();
    connection_ = core_.pool_.acquire(first->record_.address_,
                                      may_repeat() ? max_idle_repeatable
                                                   : max_idle_at_most_once);
    connection_->begin(core_.protocol_.write_request_(head_, body_, request),
                       *this, head_.method_ == "HEAD");
}

bool forwarded_request::can_go_elsewhere(time_point now) const
{
    if (service_entry_ != nullptr && service_entry_->model_)
    {
        return find_path(make_demand(now), now).has_value();
    }
    return choose_endpoint(endpoints_of(core_.directory_, service_name_),
                           core_.options_.data_centre_, sent_to_.ids_,
                           now) != nullptr;
}

} // namespace auburnlb
