// Requests that may crash their endpoints: which runs were cut off, and which
// requests are not sent because of that.
#include "superseded_attempt.hpp"

#include <algorithm>

#include "auburnlb/router/http_status.hpp"
#include "auburnlb/state/log.hpp"

namespace auburnlb
{

namespace
{

/// Retry-After while another copy of a request may be crashing its endpoint:
/// the end of an endpoint usually shows sooner.
constexpr milliseconds copy_retry_delay{1'000};

} // namespace

bool forwarded_request::must_follow_copy() const
{
    request_record const record = record_of(core_.crash_causes_, fingerprint_);
    if (send_count_ > 0 || record == request_record::sound)
    {
        return false;
    }
    return is_unresolved(core_.interrupted_runs_, fingerprint_) ||
           (record == request_record::unproven && is_copy_in_progress());
}

bool forwarded_request::is_copy_in_progress() const
{
    return std::any_of(core_.active_.begin(), core_.active_.end(),
                       [this](std::shared_ptr<forwarded_request> const& each)
                       {
                           return each.get() != this &&
                                  (each->superseded_ != nullptr ||
                                   each->attempt_->connection_ != nullptr) &&
                                  each->fingerprint_ == fingerprint_;
                       });
}

bool forwarded_request::is_known_to_crash() const
{
    return is_refused(core_.crash_causes_, traits_);
}

void forwarded_request::refuse_crashing()
{
    is_waiting_ = false;
    if (resume_superseded("suspected_crash"))
    {
        return;
    }
    if (!end_if_begun())
    {
        send_error(status_unavailable, refusal_reason::suspected_crash,
                   std::nullopt);
    }
}

void forwarded_request::refuse_copy()
{
    is_waiting_ = false;
    core_.metrics_.add("auburnlb_router_refused_copies_total");
    send_error(status_unavailable, refusal_reason::suspected_crash,
               copy_retry_delay);
}

void forwarded_request::log_interrupted_run(endpoint_attempt const& attempt,
                                            std::string const& endpoint_id,
                                            time_point now) const
{
    bool const has_begun = attempt.is_streaming_;
    core_.metrics_.add("auburnlb_router_interrupted_runs_total",
                       std::string("began=\"") +
                           (has_begun ? "true" : "false") + "\"");
    log(log_level::info, log_event::run_interrupted,
        {{"request", caller_request_.id_},
         {"peer", endpoint_id},
         {"fingerprint", to_hex(fingerprint_)},
         {"parts", to_string(prompt_traits_)},
         {"began", has_begun ? "true" : "false"},
         {"events", std::to_string(attempt.progress_.events_)},
         {"began_ms",
          has_begun ? ms_text(now - attempt.progress_.began_at_) : ""},
         {"sent_ms", ms_text(now - attempt.sent_at_)}},
        "an endpoint cut a request off");
}

void forwarded_request::record_success_of(request_traits const& traits)
{
    request_traits const cleared =
        record_success(core_.crash_causes_, traits, core_.clock_.now());
    if (!cleared.empty())
    {
        log(log_level::info, log_event::crash_cleared,
            {{"request", caller_request_.id_}, {"traits", to_string(cleared)}},
            "a request with traits that crashes name has succeeded");
    }
}

interrupted_runs::run
forwarded_request::describe_run(endpoint_attempt const& attempt,
                                endpoint_record const& record,
                                time_point now) const
{
    auto const progress =
        attempt.is_streaming_ ? std::optional(attempt.progress_) : std::nullopt;
    return {run_id_of(record), record.address_,
            possible_causes(fingerprint_, prompt_traits_, progress, now), now};
}

void forwarded_request::record_interrupted_run(endpoint_attempt const& attempt,
                                               time_point now)
{
    endpoint_record const& record =
        attempt.reservations_.front().endpoint_->record_;
    log_interrupted_run(attempt, record.id_, now);
    interrupted_runs::run const run = describe_run(attempt, record, now);
    if (auto const crash =
            auburnlb::record_interrupted_run(core_.interrupted_runs_, run))
    {
        core_.on_crash_(run.endpoint_run_, *crash);
    }
}

void forwarded_request::record_ended_engine(std::string const& endpoint_run,
                                            time_point now)
{
    record_ended_engine(*attempt_, endpoint_run, now);
    if (superseded_ != nullptr)
    {
        record_ended_engine(*superseded_->attempt_, endpoint_run, now);
    }
}

void forwarded_request::record_ended_engine(endpoint_attempt const& attempt,
                                            std::string const& endpoint_run,
                                            time_point now)
{
    for (endpoint_reservation const& each : attempt.reservations_)
    {
        endpoint_record const& record = each.endpoint_->record_;
        if (attempt.connection_ != nullptr && run_id_of(record) == endpoint_run)
        {
            log_interrupted_run(attempt, record.id_, now);
            core_.interrupted_runs_.runs_.push_back(
                describe_run(attempt, record, now));
        }
    }
}

void forwarded_request::probe_interrupted_run(endpoint_attempt const& attempt)
{
    endpoint_ptr const& endpoint = attempt.reservations_.front().endpoint_;
    if (awaits_confirmation(core_.interrupted_runs_,
                            run_id_of(endpoint->record_),
                            endpoint->probe_sent_))
    {
        core_.prober_.probe(endpoint);
    }
}

} // namespace auburnlb
