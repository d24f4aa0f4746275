// The way of one request: checks, waiting, attempts, and its end.
#include "auburnlb/router/forwarded_request.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;
constexpr unsigned first_error_status = 400;
constexpr unsigned first_server_error = 500;
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;

/// A router without a configuration expects one from the platform or from
/// another router soon.
constexpr milliseconds retry_without_configuration{500};

/// Time that a stopping router needs for a request that it begins: most
/// streams end within it.
constexpr milliseconds time_for_stream{5'000};
constexpr milliseconds time_for_call{1'000};
/// A caller that returns reaches another router.
constexpr milliseconds retry_at_other_router{100};

/// Part of a caller's patience after which a waiting request is given up: the
/// rest is needed to make the first event.
constexpr double waiting_share = 0.7;

/// Time that an answer of a plain service needs at least.
constexpr milliseconds least_plain_time{20};

/// Time that a request needs on its way at least; an attempt with less left
/// would be in vain.
constexpr milliseconds least_attempt_time{30};

/// How old an idle connection may be for a request that must not be sent twice:
/// on an older one it is more likely to meet the endpoint's close.
constexpr milliseconds max_idle_at_most_once{1'000};
constexpr milliseconds max_idle_repeatable{10'000};

/// Largest answer of a plain service, which is kept whole.
constexpr std::size_t max_plain_answer_bytes = 32 * 1024 * 1024;

/// Silence of a stream, in expected gaps, that is taken for a fault, and its
/// bounds.
constexpr double silent_gaps = 4;
constexpr milliseconds min_event_silence{120};
constexpr milliseconds max_event_silence{700};
/// The same before the first event, in expected times.
constexpr double silent_first_events = 3;
constexpr milliseconds min_first_silence{200};
constexpr milliseconds max_first_silence{900};

/// An idempotent call is repeated elsewhere after this many latency targets.
constexpr double silent_targets = 1.5;

/// Silences after which an attempt is given up whose engines all answer.
constexpr int slow_patience = 4;

/// Weight of the newest gap in the moving mean.
constexpr double gap_weight = 0.2;

/// How long an engine that refused for want of layers is not asked again, if
/// its record does not change.
constexpr milliseconds lost_layers_lifetime{1'500};

/// Answers are estimated at the median, so that this factor covers most.
constexpr double estimate_margin = 1.3;

/// Sends of one request, the first included, however many are allowed
/// otherwise.
constexpr std::uint32_t max_sends = 5;

/// A stream that has begun goes before all that have not.
constexpr std::int32_t begun_priority = -1;

/// What a refused caller of a plain service is told.
constexpr milliseconds short_return{30};

/// Ranks of requests at an engine, of which 0 is the most urgent; the usual
/// priority has the middle rank.
constexpr std::int32_t usual_urgency_offset = 4;
constexpr std::int32_t last_urgency = 9;

std::string ms_text(nanoseconds value)
{
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(value).count());
}

bool is_success(unsigned status)
{
    return status >= first_success && status < first_redirect;
}

std::string path_text(std::vector<path_part> const& parts)
{
    std::string text;
    for (path_part const& part : parts)
    {
        text += (text.empty() ? "" : ",") + part.endpoint_id_ + "=" +
                std::to_string(part.layers_.first_) + "-" +
                std::to_string(part.layers_.end_);
    }
    return text;
}

char const* to_string(attempt_end end)
{
    switch (end)
    {
    case attempt_end::not_sent:
        return "not_sent";
    case attempt_end::refused:
        return "refused";
    case attempt_end::failed:
        return "failed";
    case attempt_end::broken:
        return "broken";
    case attempt_end::silent:
        return "silent";
    }
    return "broken";
}

milliseconds clamp_ms(double value, milliseconds low, milliseconds high)
{
    return std::clamp(milliseconds(static_cast<std::int64_t>(value)), low,
                      high);
}

} // namespace

void forwarded_request::begin(router_core& core,
                              std::shared_ptr<caller_connection> caller,
                              http_head head, std::string body,
                              time_point received)
{
    auto const request = std::make_shared<forwarded_request>(
        core, std::move(caller), std::move(head), std::move(body), received);
    request->caller_->set_owner(request.get());
    core.active_.insert(request);
    if (!request->accept())
    {
        return;
    }
    service_runtime& runtime = request->service();
    runtime.retries_.began_ = core.started_;
    note_request(runtime.retries_, core.options_.retries_, received);
    if (runtime.queue_.waiting_.empty() && request->try_start(received))
    {
        return;
    }
    request->enqueue(received);
}

forwarded_request::forwarded_request(router_core& core,
                                     std::shared_ptr<caller_connection> caller,
                                     http_head head, std::string body,
                                     time_point received)
    : core_(core)
    , caller_(std::move(caller))
    , head_(std::move(head))
    , body_(std::move(body))
    , received_(received)
    , routes_(core.routes_)
    , ticket_(++core.last_ticket_)
{
}

bool forwarded_request::accept()
{
    if (routes_ == nullptr)
    {
        reply(status_unavailable, refusal_reason::no_endpoint,
              retry_without_configuration);
        return false;
    }
    if (!find_route() || !read_facts() || !find_workspace())
    {
        return false;
    }
    if (is_too_late_to_begin())
    {
        reply(status_unavailable, refusal_reason::entry_stopping,
              retry_at_other_router);
        return false;
    }
    fingerprint_ =
        fingerprint_of(workspace_ == nullptr ? "" : workspace_->name_,
                       head_.method_ + head_.target_, body_);
    if (crashes_of(core_.crashes_, fingerprint_, received_) >= refused_crashes)
    {
        reply(status_unavailable, refusal_reason::suspected_crash,
              std::nullopt);
        return false;
    }
    return true;
}

bool forwarded_request::is_too_late_to_begin() const
{
    if (!core_.is_stopping_)
    {
        return false;
    }
    auto const left =
        core_.stop_began_ + core_.options_.stop_limit_ - received_;
    return left < (is_stream() ? time_for_stream : time_for_call);
}

bool forwarded_request::find_route()
{
    std::string const* const host = head_.find("host");
    route_ =
        host == nullptr ? nullptr : routes_->find_route(*host, head_.target_);
    if (route_ == nullptr)
    {
        reply(status_not_found, refusal_reason::unknown_path, std::nullopt);
        return false;
    }
    return true;
}

bool forwarded_request::read_facts()
{
    auto facts = core_.protocol_.read_request_(head_);
    if (!facts)
    {
        log(log_level::info, log_event::request_refused,
            {{"detail", facts.error().detail_}}, "the request is malformed");
        reply(status_bad_request, refusal_reason::invalid_field, std::nullopt);
        return false;
    }
    facts_ = std::move(facts).value();
    if (facts_.last_event_id_)
    {
        events_.set_last_id(*facts_.last_event_id_);
    }
    milliseconds const wait =
        std::min(facts_.deadline_.value_or(route_->timeout_), route_->timeout_);
    deadline_ = received_ + wait;
    service_name_ =
        pick_service(*route_, XXH64(facts_.id_.data(), facts_.id_.size(), 0));
    service_entry_ = routes_->find_service(service_name_);
    return true;
}

bool forwarded_request::find_workspace()
{
    if (routes_->table().workspaces_.empty() || route_->is_public_)
    {
        return true;
    }
    workspace_ =
        facts_.api_key_ ? routes_->find_workspace(*facts_.api_key_) : nullptr;
    if (workspace_ == nullptr)
    {
        reply(status_unauthorized, refusal_reason::unauthorized, std::nullopt);
        return false;
    }
    return true;
}

std::int32_t forwarded_request::priority() const
{
    return workspace_ != nullptr
               ? workspace_->priority_.value_or(route_->priority_)
               : route_->priority_;
}

waiting_request forwarded_request::make_waiting(time_point now)
{
    waiting_request entry;
    entry.ticket_ = ticket_;
    entry.priority_ = priority();
    entry.arrived_ = now;
    entry.on_time_until_ = received_ + route_->latency_target_ * 2 / 3;
    entry.give_up_at_ = deadline_ - least_plain_time;
    if (!is_stream())
    {
        return entry;
    }
    // The caller of a begun stream counts from the last event.
    time_point const since = event_count_ > 0 ? progress_at_ : received_;
    if (event_count_ > 0)
    {
        entry.priority_ = begun_priority;
        entry.on_time_until_ = since + route_->max_event_gap_;
    }
    auto const patience = std::chrono::duration_cast<milliseconds>(
        route_->caller_patience_ * waiting_share);
    entry.give_up_at_ = std::min(entry.give_up_at_, since + patience);
    return entry;
}

void forwarded_request::enqueue(time_point now)
{
    waiting_request const entry = make_waiting(now);
    service_runtime& runtime = service();
    if (is_hopeless(runtime.queue_, entry))
    {
        refuse_waiting(now);
        return;
    }
    is_waiting_ = true;
    add_waiting(runtime.queue_, entry);
    runtime.waiting_[ticket_] = shared_from_this();
}

void forwarded_request::refuse_waiting(time_point)
{
    is_waiting_ = false;
    if (caller_->has_begun_answer())
    {
        caller_->abort_answer();
        settle("broken_off", 0);
        return;
    }
    if (may_have_run_)
    {
        reply(status_bad_gateway, refusal_reason::call_outcome_unknown,
              std::nullopt);
        return;
    }
    reply(status_unavailable, refusal_reason::overloaded, return_time());
}

milliseconds forwarded_request::return_time()
{
    // A short call meets another endpoint at once; a stream needs room.
    return is_stream() ? retry_after(service().queue_) : short_return;
}

bool forwarded_request::try_start(time_point now)
{
    bool const is_model = service_entry_ != nullptr && service_entry_->model_ &&
                          service_entry_->model_->layers_ > 1;
    bool const is_started =
        is_model ? start_on_path(now) : start_on_endpoint(now);
    if (is_started)
    {
        is_waiting_ = false;
        note_start(service().queue_, now);
    }
    return is_started;
}

double forwarded_request::expected_answer_tokens() const
{
    model_profile const& model = *service_entry_->model_;
    double const usual = model.usual_answer_ > 0 ? model.usual_answer_ : 1;
    double expected =
        facts_.estimated_answer_tokens_
            ? static_cast<double>(*facts_.estimated_answer_tokens_) *
                  estimate_margin
            : usual;
    if (facts_.max_answer_tokens_ > 0)
    {
        expected =
            std::min(expected, static_cast<double>(facts_.max_answer_tokens_));
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
                                  core_.routers_, now);
    if (sent_to_.size() >= route_->max_attempts_)
    {
        demand.allowed_first_ids_ = sent_to_;
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

bool forwarded_request::start_on_path(time_point now)
{
    path_demand const demand = make_demand(now);
    auto path = find_path(demand, now);
    if (!path)
    {
        return false;
    }
    path_ = std::move(*path);
    take_crossings(service().links_, *service_entry_->model_, demand,
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
                        core_.options_.data_centre_, sent_to_, now);
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
    if (std::find(sent_to_.begin(), sent_to_.end(), request.endpoint_id_) ==
        sent_to_.end())
    {
        sent_to_.push_back(request.endpoint_id_);
    }
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

bool forwarded_request::is_own_answer(http_head const& head)
{
    std::string const id = core_.protocol_.read_answer_(head).request_id_;
    return id.empty() || id == facts_.id_;
}

void forwarded_request::on_answer_head(http_head const& head)
{
    answer_head_ = head;
    answer_ = core_.protocol_.read_answer_(head);
    is_streaming_ =
        is_stream() && is_success(head.status_) && answer_.is_signed_;
    if (is_streaming_ && !caller_->has_begun_answer())
    {
        caller_->begin_answer(head);
    }
}

void forwarded_request::on_answer_body(std::string_view piece)
{
    if (is_streaming_)
    {
        on_events(piece);
        return;
    }
    if (answer_body_.size() + piece.size() > max_plain_answer_bytes)
    {
        end_attempt(attempt_end::broken, "the answer is too large");
        return;
    }
    answer_body_.append(piece);
}

void forwarded_request::on_events(std::string_view piece)
{
    event_batch const batch = events_.feed(piece);
    if (batch.events_ == 0 && !batch.is_out_of_order_)
    {
        return;
    }
    time_point const now = core_.clock_.now();
    if (!batch.bytes_.empty())
    {
        if (!first_event_at_)
        {
            first_event_at_ = now;
        }
        if (event_count_ > 0)
        {
            longest_gap_ = std::max(longest_gap_, now - progress_at_);
        }
        if (is_settled_)
        {
            return;
        }
        nanoseconds const gap = now - progress_at_;
        event_gap_ = event_gap_ == nanoseconds(0)
                         ? gap
                         : event_gap_ + std::chrono::duration_cast<nanoseconds>(
                                            (gap - event_gap_) * gap_weight);
        on_first_event(now);
        progress_at_ = now;
        event_count_ += batch.events_;
        for (reservation const& each : reservations_)
        {
            each.endpoint_->last_progress_ = now;
        }
        caller_->add_body(batch.bytes_);
    }
    if (batch.is_out_of_order_ && !is_settled_)
    {
        end_attempt(attempt_end::broken, "an event is out of order");
    }
}

void forwarded_request::on_first_event(time_point now)
{
    for (reservation& each : reservations_)
    {
        if (each.load_.prefill_backlog_ > 0)
        {
            subtract_load(*each.endpoint_, {0, 0, each.load_.prefill_backlog_});
            each.load_.prefill_backlog_ = 0;
            note_evidence(each.endpoint_->health_, health_evidence::success,
                          now);
        }
    }
}

void forwarded_request::on_answer_end()
{
    connection_.reset();
    if (is_streaming_)
    {
        finish_stream();
        return;
    }
    finish_answer();
}

void forwarded_request::finish_stream()
{
    if (events_.is_inside_event())
    {
        end_attempt(attempt_end::broken, "the stream ended within an event");
        return;
    }
    clear_crashes(core_.crashes_, fingerprint_);
    caller_->end_answer();
    settle("complete", answer_head_.status_);
}

attempt_end forwarded_request::judge_answer() const
{
    if (answer_.is_not_run_)
    {
        return attempt_end::refused;
    }
    return answer_.is_signed_ ? attempt_end::failed : attempt_end::broken;
}

void forwarded_request::finish_answer()
{
    bool const is_usable = answer_.is_signed_ && !answer_.is_not_run_ &&
                           answer_head_.status_ < first_server_error;
    if (!is_usable)
    {
        end_attempt(judge_answer(), "the endpoint answered with an error");
        return;
    }
    time_point const now = core_.clock_.now();
    for (reservation const& each : reservations_)
    {
        note_evidence(each.endpoint_->health_, health_evidence::success, now);
    }
    clear_crashes(core_.crashes_, fingerprint_);
    caller_->answer(answer_head_, answer_body_);
    settle("complete", answer_head_.status_);
}

void forwarded_request::on_exchange_failed(exchange_failure failure)
{
    connection_.reset();
    switch (failure)
    {
    case exchange_failure::not_connected:
        end_attempt(attempt_end::not_sent, "no connection");
        return;
    case exchange_failure::broken:
        end_attempt(attempt_end::broken, "the connection broke");
        return;
    case exchange_failure::malformed:
        end_attempt(attempt_end::broken, "the answer is malformed");
        return;
    }
}

attempt_limits forwarded_request::limits_now(attempt_end end,
                                             time_point now) const
{
    attempt_limits limits;
    limits.may_repeat_ = may_repeat();
    // A request that was sent to all the endpoints it may be sent to can still
    // go to one of them again, over another path.
    limits.max_endpoints_ =
        is_stream() ? max_sends : std::min(route_->max_attempts_, max_sends);
    limits.endpoints_ = sends_;
    limits.has_time_ = deadline_ - now > least_attempt_time;
    limits.may_have_run_ = may_have_run_;
    limits.is_suspect_ =
        crashes_of(core_.crashes_, fingerprint_, now) >= suspect_crashes;
    limits.has_delivered_ = caller_->has_begun_answer();
    auto& runtime = core_.services_[service_name_];
    double const left = repeats_left(runtime.retries_, core_.options_.retries_,
                                     core_.routers_, now);
    limits.has_budget_ = end == attempt_end::not_sent || left >= 1;
    return limits;
}

void forwarded_request::note_attempt(attempt_end end, time_point now)
{
    if (end == attempt_end::not_sent)
    {
        --sends_;
        sent_to_.pop_back();
    }
    else if (end != attempt_end::refused)
    {
        may_have_run_ = true;
    }
    blame(end, now);
}

void forwarded_request::end_attempt(attempt_end end, char const* why)
{
    auto const keep_alive = shared_from_this();
    time_point const now = core_.clock_.now();
    if (connection_ != nullptr)
    {
        connection_->cancel();
        connection_.reset();
    }
    note_attempt(end, now);
    release();
    switch (decide_after(end, limits_now(end, now)))
    {
    case attempt_decision::repeat:
        repeat(end, why, now);
        return;
    case attempt_decision::answer_not_run:
        reply(status_unavailable, refusal_reason::engine_failed, return_time());
        return;
    case attempt_decision::answer_unknown:
        reply(status_bad_gateway, refusal_reason::call_outcome_unknown,
              std::nullopt);
        return;
    case attempt_decision::pass_on_error:
        caller_->answer(answer_head_, answer_body_);
        settle("endpoint_error", answer_head_.status_);
        return;
    case attempt_decision::break_off:
        caller_->abort_answer();
        settle("broken_off", 0);
        return;
    }
}

void forwarded_request::repeat(attempt_end end, char const* why, time_point now)
{
    if (end != attempt_end::not_sent)
    {
        try_repeat(service().retries_, core_.options_.retries_, core_.routers_,
                   now);
    }
    core_.metrics_.add("auburnlb_router_repeats_total",
                       std::string("reason=\"") + to_string(end) + "\"");
    log(log_level::info, log_event::stream_resumed,
        {{"request", facts_.id_},
         {"peer", sent_to_.empty() ? "" : sent_to_.back()},
         {"reason", to_string(end)},
         {"events", std::to_string(event_count_)},
         {"path", path_text(path_.path_.parts_)}},
        why);
    if (!try_start(now))
    {
        enqueue(now);
    }
}

void forwarded_request::blame(attempt_end end, time_point now)
{
    if (reservations_.empty())
    {
        return;
    }
    endpoint_health& first = reservations_.front().endpoint_->health_;
    switch (end)
    {
    case attempt_end::not_sent:
        note_evidence(first, health_evidence::unreachable, now);
        return;
    case attempt_end::refused:
        blame_refusing(now);
        return;
    case attempt_end::failed:
        note_evidence(first, health_evidence::failure, now);
        return;
    case attempt_end::broken:
        note_evidence(first, health_evidence::failure, now);
        note_broken_run(core_.crashes_,
                        reservations_.front().endpoint_->record_.address_,
                        fingerprint_, now);
        core_.prober_.probe(reservations_.front().endpoint_);
        return;
    case attempt_end::silent:
        // Engines were blamed when the silence was noticed.
        return;
    }
}

void forwarded_request::blame_refusing(time_point now)
{
    constexpr unsigned misdirected = 421;
    known_endpoint* culprit = reservations_.front().endpoint_.get();
    for (reservation const& each : reservations_)
    {
        if (each.endpoint_->record_.address_ == answer_.faulty_address_)
        {
            culprit = each.endpoint_.get();
        }
    }
    if (answer_head_.status_ == misdirected)
    {
        culprit->layers_lost_until_ = now + lost_layers_lifetime;
    }
    note_evidence(culprit->health_, health_evidence::refusal, now);
}

bool forwarded_request::blame_silent(time_point now)
{
    bool is_found = false;
    for (reservation const& each : reservations_)
    {
        known_endpoint& endpoint = *each.endpoint_;
        if (is_dead_since(endpoint, progress_at_))
        {
            note_evidence(endpoint.health_, health_evidence::silence, now);
            is_found = true;
        }
    }
    return is_found;
}

void forwarded_request::probe_silent(time_point since)
{
    for (reservation const& each : reservations_)
    {
        if (!is_alive_since(*each.endpoint_, since))
        {
            core_.prober_.probe(each.endpoint_);
        }
    }
}

milliseconds forwarded_request::silence_limit() const
{
    if (!is_stream())
    {
        return std::chrono::duration_cast<milliseconds>(
            route_->latency_target_ * silent_targets);
    }
    if (!is_streaming_ || event_gap_ == nanoseconds(0))
    {
        return clamp_ms(silent_first_events * path_.first_event_ms_,
                        min_first_silence, max_first_silence);
    }
    double const observed =
        std::chrono::duration<double, std::milli>(event_gap_).count();
    return clamp_ms(silent_gaps * std::max(observed, path_.event_gap_ms_),
                    min_event_silence, max_event_silence);
}

bool forwarded_request::can_go_elsewhere(time_point now) const
{
    if (service_entry_ != nullptr && service_entry_->model_)
    {
        return find_path(make_demand(now), now).has_value();
    }
    return choose_endpoint(endpoints_of(core_.directory_, service_name_),
                           core_.options_.data_centre_, sent_to_,
                           now) != nullptr;
}

void forwarded_request::check_silence(time_point now)
{
    if (!may_repeat())
    {
        return;
    }
    milliseconds const limit = silence_limit();
    auto const silence = now - progress_at_;
    bool const is_model = !path_.path_.parts_.empty();
    if (is_model && silence >= limit / 2)
    {
        probe_silent(now - limit / 2);
    }
    if (silence < limit + extra_patience_)
    {
        return;
    }
    // Engines that answer are slow rather than lost; what they run is waited
    // for, unless it takes far too long.
    bool const is_lost = blame_silent(now);
    if (is_model && !is_lost && silence < slow_patience * limit)
    {
        return;
    }
    attempt_limits const limits = limits_now(attempt_end::silent, now);
    if (decide_after(attempt_end::silent, limits) == attempt_decision::repeat &&
        can_go_elsewhere(now))
    {
        end_attempt(attempt_end::silent,
                    is_lost ? "an engine is lost" : "no progress");
        return;
    }
    // Nowhere to go: the endpoint may still go on.
    extra_patience_ += limit;
}

void forwarded_request::on_tick(time_point now)
{
    auto const keep_alive = shared_from_this();
    if (now < deadline_)
    {
        if (connection_ != nullptr)
        {
            check_silence(now);
        }
        return;
    }
    if (is_waiting_)
    {
        remove_waiting(service().queue_, ticket_);
        service().waiting_.erase(ticket_);
        refuse_waiting(now);
        return;
    }
    if (connection_ != nullptr)
    {
        connection_->cancel();
        connection_.reset();
    }
    if (caller_->has_begun_answer())
    {
        caller_->abort_answer();
        settle("timeout", 0);
        return;
    }
    reply(status_gateway_timeout, refusal_reason::deadline_passed,
          std::nullopt);
}

void forwarded_request::on_caller_left()
{
    auto const keep_alive = shared_from_this();
    if (connection_ != nullptr)
    {
        connection_->cancel();
        connection_.reset();
    }
    if (is_waiting_)
    {
        remove_waiting(service().queue_, ticket_);
        service().waiting_.erase(ticket_);
    }
    settle("caller_left", 0);
}

void forwarded_request::reply(unsigned status, refusal_reason reason,
                              std::optional<milliseconds> retry_after)
{
    http_head head;
    head.status_ = status;
    head.fields_.push_back({"Content-Type", "application/json"});
    if (retry_after)
    {
        constexpr double ms_per_s = 1'000;
        std::string text = std::to_string(
            static_cast<double>(retry_after->count()) / ms_per_s);
        head.fields_.push_back({"Retry-After", text});
    }
    nlohmann::json const body{{"error", auburnlb::to_string(reason)},
                              {"code", static_cast<int>(reason)}};
    core_.metrics_.count_refusal(reason);
    caller_->answer(head, body.dump());
    settle(auburnlb::to_string(reason), status);
}

void forwarded_request::release()
{
    for (reservation const& each : reservations_)
    {
        subtract_load(*each.endpoint_, each.load_);
    }
    reservations_.clear();
}

void forwarded_request::settle(char const* outcome, unsigned status)
{
    if (std::exchange(is_settled_, true))
    {
        return;
    }
    auto const keep_alive = shared_from_this();
    time_point const now = core_.clock_.now();
    release();
    caller_->set_owner(nullptr);
    core_.active_.erase(keep_alive);
    log(log_level::info, log_event::request_ended,
        {{"request", facts_.id_},
         {"route", route_ == nullptr ? "" : route_->name_},
         {"version",
          routes_ == nullptr ? "0" : std::to_string(routes_->table().version_)},
         {"outcome", outcome},
         {"status", std::to_string(status)},
         {"sends", std::to_string(sends_)},
         {"peer", sent_to_.empty() ? "" : sent_to_.back()},
         {"events", std::to_string(event_count_)},
         {"first_ms",
          first_event_at_ ? ms_text(*first_event_at_ - received_) : ""},
         {"gap_ms", ms_text(longest_gap_)},
         {"total_ms", ms_text(now - received_)},
         {"path", path_text(path_.path_.parts_)}},
        "the request has ended");
}

} // namespace auburnlb
