// The way of one request: checks, waiting, attempts, and its end.
#include "auburnlb/router/forwarded_request.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// A router without a configuration expects one from the platform or from
/// another router soon.
constexpr milliseconds retry_without_configuration{500};

/// Time that a stopping router needs for a call that it begins.
constexpr milliseconds time_for_call{1'000};

/// A caller that returns reaches another router.
constexpr milliseconds retry_at_other_router{100};
/// A process that ended is started again and has a configuration after this.
constexpr milliseconds restart_time{1'000};

/// Part of a caller's patience after which a waiting request is given up: the
/// rest is needed to make the first event.
constexpr double waiting_share = 0.7;

/// Time that an answer of a plain service needs at least.
constexpr milliseconds least_plain_time{20};

/// A stream that has begun goes before all that have not.
constexpr std::int32_t begun_priority = -1;

/// What a refused caller of a plain service is told.
constexpr milliseconds short_return{30};

std::string ms_text(nanoseconds value)
{
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(value).count());
}

} // namespace

void forwarded_request::begin(router_core& core,
                              std::shared_ptr<caller_connection> caller,
                              http_head head, std::string body,
                              time_point received)
{
    auto const request = std::make_shared<forwarded_request>(
        core, std::move(caller), std::move(head), std::move(body), received);
    request->caller_->set_disconnect_handler(request.get());
    core.active_.insert(request);
    if (!request->accept())
    {
        return;
    }
    service_runtime& runtime = request->service();
    runtime.retries_.began_ = core.started_;
    record_request(runtime.retries_, core.options_.retries_, received);
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
        refuse_stopping();
        return false;
    }
    fingerprint_ =
        fingerprint_of(workspace_ == nullptr ? "" : workspace_->name_,
                       head_.method_ + head_.target_, body_);
    if (crash_count(core_.crashes_, fingerprint_, received_) >=
        refused_crash_count)
    {
        reply(status_unavailable, refusal_reason::suspected_crash,
              std::nullopt);
        return false;
    }
    return true;
}

bool forwarded_request::is_too_late_to_begin() const
{
    auto const end = core_.stop_began_ + core_.options_.stop_limit_;
    return core_.is_stopping_ && !is_stream() &&
           end - received_ < time_for_call;
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
    entry.latest_on_time_start_ = received_ + route_->latency_target_ * 2 / 3;
    entry.expires_at_ = deadline_ - least_plain_time;
    if (!is_stream())
    {
        return entry;
    }
    // The caller of a begun stream counts from the last event.
    time_point const since = event_count_ > 0 ? progress_at_ : received_;
    if (event_count_ > 0)
    {
        entry.priority_ = begun_priority;
        entry.latest_on_time_start_ = since + route_->max_event_gap_;
    }
    auto const patience = std::chrono::duration_cast<milliseconds>(
        route_->caller_stall_timeout_ * waiting_share);
    entry.expires_at_ = std::min(entry.expires_at_, since + patience);
    return entry;
}

void forwarded_request::enqueue(time_point now)
{
    waiting_request const entry = make_waiting(now);
    service_runtime& runtime = service();
    if (would_expire(runtime.queue_, entry))
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
    if (caller_->has_begun_response())
    {
        caller_->abort_response();
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

void forwarded_request::refuse_stopping()
{
    if (core_.is_other_accepting_)
    {
        reply(status_unavailable, refusal_reason::entry_stopping,
              retry_at_other_router);
        return;
    }
    // All routers are stopping; the first one is back soon after its end.
    time_point const own_end = core_.stop_began_ + core_.options_.stop_limit_;
    time_point const end =
        std::min(core_.first_stop_end_.value_or(own_end), own_end);
    auto const left = std::chrono::duration_cast<milliseconds>(
        std::max(end - core_.clock_.now(), nanoseconds(0)));
    reply(status_unavailable, refusal_reason::entry_stopping,
          left + restart_time);
}

milliseconds forwarded_request::return_time()
{
    // A short call meets another endpoint at once; a stream needs room.
    return is_stream() ? retry_after(service().queue_) : short_return;
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
    if (caller_->has_begun_response())
    {
        caller_->abort_response();
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
    nlohmann::json const body{{"error", to_string(reason)},
                              {"code", static_cast<int>(reason)}};
    core_.metrics_.count_refusal(reason);
    caller_->answer(head, body.dump());
    settle(to_string(reason), status);
}

void forwarded_request::release()
{
    for (reservation const& each : reservations_)
    {
        subtract_load(*each.endpoint_, each.load_);
    }
    reservations_.clear();
}

void forwarded_request::note_metrics(char const* outcome, time_point now)
{
    metrics_registry& metrics = core_.metrics_;
    metrics.add("auburnlb_router_requests_total",
                "outcome=\"" + std::string(outcome) + "\"");
    if (sends_ == 0)
    {
        return;
    }
    std::string const service = "service=\"" + service_name_ + "\"";
    metrics.add("auburnlb_router_sends_total", service, sends_);
    metrics.observe("auburnlb_router_request_seconds", service,
                    now - received_);
    if (first_event_at_)
    {
        metrics.observe("auburnlb_router_first_event_seconds", service,
                        *first_event_at_ - received_);
        metrics.observe("auburnlb_router_event_gap_seconds", service,
                        longest_gap_);
    }
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
    caller_->set_disconnect_handler(nullptr);
    core_.active_.erase(keep_alive);
    note_metrics(outcome, now);
    log(log_level::info, log_event::request_ended,
        {{"request", facts_.id_},
         {"route", route_ == nullptr ? "" : route_->name_},
         {"version",
          routes_ == nullptr ? "0" : std::to_string(routes_->table().version_)},
         {"outcome", outcome},
         {"status", std::to_string(status)},
         {"sends", std::to_string(sends_)},
         {"peer", sent_to_.last_id_},
         {"events", std::to_string(event_count_)},
         {"prompt_tokens", std::to_string(facts_.prompt_tokens_)},
         {"max_tokens", std::to_string(facts_.max_output_tokens_)},
         {"first_ms",
          first_event_at_ ? ms_text(*first_event_at_ - received_) : ""},
         {"gap_ms", ms_text(longest_gap_)},
         {"total_ms", ms_text(now - received_)},
         {"path", to_string(path_.path_)}},
        "the request has ended");
}

} // namespace auburnlb
