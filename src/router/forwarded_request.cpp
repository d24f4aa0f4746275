// Validation, timeouts and completion of a request.
#include "superseded_attempt.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "auburnlb/coordination/start_order.hpp"
#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/json_text.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// Retry-After while the router has no configuration: it gets one soon from the
/// platform or from another router.
constexpr milliseconds unconfigured_retry_delay{500};

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
    if (!request->admit())
    {
        return;
    }
    service_runtime& runtime = request->service();
    record_request(retries_of(core, request->service_name_),
                   core.options_.retries_, received);
    if (request->is_model())
    {
        path_demand const demand = request->make_demand(received);
        record_demand(runtime.demand_,
                      demand.prompt_tokens_ + demand.answer_tokens_, received);
    }
    if (core.options_.controls_overload_)
    {
        request->earlier_refusal_ = take_refused_caller(
            runtime.refused_callers_, request->fingerprint_, received);
        record_arrival(runtime.queue_, request->make_queue_entry(received),
                       received);
    }
    if (only_held_wait(runtime) && request->try_start(received))
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
    , attempt_(std::make_unique<endpoint_attempt>(*core.memory_))
{
}

bool forwarded_request::admit()
{
    if (routes_ == nullptr)
    {
        send_error(status_unavailable, refusal_reason::no_endpoint,
                   unconfigured_retry_delay);
        return false;
    }
    if (!find_route() || !read_caller_request() || !find_workspace())
    {
        return false;
    }
    if (is_too_late_to_begin())
    {
        refuse_for_stop();
        return false;
    }
    fingerprint_ =
        fingerprint_of(workspace_ == nullptr ? "" : workspace_->name_,
                       head_.method_ + head_.target_, body_);
    prompt_traits_ =
        prompt_traits(service_name_, caller_request_.shared_prompt_parts_);
    traits_ = all_traits(fingerprint_, prompt_traits_);
    if (is_known_to_crash())
    {
        refuse_crashing();
        return false;
    }
    if (must_follow_copy())
    {
        refuse_copy();
        return false;
    }
    return true;
}

bool forwarded_request::find_route()
{
    std::string const* const host = head_.find("host");
    route_ =
        host == nullptr ? nullptr : routes_->find_route(*host, head_.target_);
    if (route_ == nullptr)
    {
        send_error(status_not_found, refusal_reason::unknown_path,
                   std::nullopt);
        return false;
    }
    return true;
}

bool forwarded_request::read_caller_request()
{
    auto parsed = core_.protocol_.read_request_(head_);
    if (!parsed)
    {
        log(log_level::info, log_event::request_refused,
            {{"detail", parsed.error().detail_}}, "the request is malformed");
        send_error(status_bad_request, refusal_reason::invalid_field,
                   std::nullopt, parsed.error().detail_);
        return false;
    }
    caller_request_ = std::move(parsed).value();
    if (caller_request_.last_event_id_)
    {
        events_.set_last_id(*caller_request_.last_event_id_);
    }
    milliseconds const wait = std::min(
        caller_request_.deadline_.value_or(route_->timeout_), route_->timeout_);
    deadline_ = received_ + wait;
    service_name_ = pick_service(*route_, XXH64(caller_request_.id_.data(),
                                                caller_request_.id_.size(), 0));
    service_entry_ = routes_->find_service(service_name_);
    return true;
}

bool forwarded_request::find_workspace()
{
    if (routes_->table().workspaces_.empty() || route_->is_public_)
    {
        return true;
    }
    workspace_ = caller_request_.api_key_
                     ? routes_->find_workspace(*caller_request_.api_key_)
                     : nullptr;
    if (workspace_ == nullptr)
    {
        send_error(status_unauthorized, refusal_reason::unauthorized,
                   std::nullopt);
        return false;
    }
    return true;
}

bool forwarded_request::end_if_begun()
{
    if (caller_->has_begun_response())
    {
        caller_->abort_response();
        end_request("broken_off", 0);
        return true;
    }
    if (may_have_run_)
    {
        send_error(status_bad_gateway, refusal_reason::call_outcome_unknown,
                   std::nullopt);
        return true;
    }
    return false;
}

void forwarded_request::on_tick(time_point now)
{
    auto const keep_alive = shared_from_this();
    if (now < deadline_)
    {
        if (is_waiting_ && has_no_endpoint_left())
        {
            stop_waiting();
            refuse_waiting(now);
        }
        else if (awaited_retry_)
        {
            check_awaited_retry(now);
        }
        else if (attempt_->connection_ != nullptr && !is_held_back(now))
        {
            check_stall(now);
        }
        return;
    }
    drop_superseded("ended");
    if (is_waiting_)
    {
        stop_waiting();
        refuse_waiting(now);
        return;
    }
    close_connection(*attempt_);
    if (caller_->has_begun_response())
    {
        caller_->abort_response();
        end_request("timeout", 0);
        return;
    }
    send_error(status_gateway_timeout, refusal_reason::deadline_passed,
               std::nullopt);
}

void forwarded_request::stop_waiting()
{
    if (std::exchange(is_waiting_, false))
    {
        remove_waiting(service().queue_, ticket_);
        service().waiting_.erase(ticket_);
    }
}

void forwarded_request::on_caller_left()
{
    auto const keep_alive = shared_from_this();
    close_connection(*attempt_);
    stop_waiting();
    end_request("caller_left", 0);
}

void forwarded_request::send_error(unsigned status, refusal_reason reason,
                                   std::optional<milliseconds> retry_after,
                                   std::string const& message)
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
    nlohmann::json body{{"error", to_string(reason)},
                        {"code", static_cast<int>(reason)}};
    if (!message.empty())
    {
        body["message"] = message;
    }
    core_.metrics_.count_refusal(reason);
    caller_->send_response(head, dump_text(body));
    end_request(to_string(reason), status);
}

void forwarded_request::record_metrics(char const* outcome, time_point now)
{
    metrics_registry& metrics = core_.metrics_;
    metrics.add("auburnlb_router_requests_total",
                "outcome=\"" + std::string(outcome) + "\"");
    if (send_count_ == 0)
    {
        return;
    }
    std::string const service = "service=\"" + service_name_ + "\"";
    metrics.add("auburnlb_router_sends_total", service, send_count_);
    metrics.observe("auburnlb_router_request_seconds", service,
                    now - received_);
    if (first_event_at_)
    {
        metrics.observe("auburnlb_router_first_event_seconds", service,
                        *first_event_at_ - received_);
        metrics.observe("auburnlb_router_event_gap_seconds", service,
                        longest_event_gap_);
    }
}

void forwarded_request::record_return(char const* outcome)
{
    if (earlier_refusal_)
    {
        core_.metrics_.add("auburnlb_router_returning_callers_total",
                           "outcome=\"" + std::string(outcome) + "\"");
    }
}

void forwarded_request::end_request(char const* outcome, unsigned status)
{
    if (std::exchange(has_ended_, true))
    {
        return;
    }
    auto const keep_alive = shared_from_this();
    time_point const now = core_.clock_.now();
    release_reservations(*attempt_);
    drop_superseded("ended");
    stop_awaiting_retry();
    caller_->remove_disconnect_handler(*this);
    core_.active_.erase(keep_alive);
    record_metrics(outcome, now);
    record_return(send_count_ > 0 ? "started" : outcome);
    log(log_level::info, log_event::request_ended,
        {{"request", caller_request_.id_},
         {"route", route_ == nullptr ? "" : route_->name_},
         {"version",
          routes_ == nullptr ? "0" : std::to_string(routes_->table().version_)},
         {"outcome", outcome},
         {"status", std::to_string(status)},
         {"sends", std::to_string(send_count_)},
         {"peer", sent_to_.last_id_},
         {"denied_by", to_string(last_denial_)},
         {"last_failure", last_failure_},
         {"events", std::to_string(event_count_)},
         {"prompt_tokens", std::to_string(caller_request_.prompt_tokens_)},
         {"priority", route_ == nullptr ? "" : std::to_string(priority())},
         {"returned_after_ms",
          earlier_refusal_ ? ms_text(time_since_refusal()) : ""},
         {"expected_wait_ms", refused_wait_ ? ms_text(*refused_wait_) : ""},
         {"max_tokens", std::to_string(caller_request_.max_output_tokens_)},
         {"fingerprint", to_hex(fingerprint_)},
         {"parts", to_string(prompt_traits_)},
         {"first_ms",
          first_event_at_ ? ms_text(*first_event_at_ - received_) : ""},
         {"gap_ms", ms_text(longest_event_gap_)},
         {"total_ms", ms_text(now - received_)},
         {"held", was_held_ ? "1" : ""},
         {"path", to_string(attempt_->path_.path_)}},
        "the request has ended");
}

} // namespace auburnlb
