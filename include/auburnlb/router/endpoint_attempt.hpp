// One attempt to get a response to a request: its connection, the load that is
// reserved for it, and what has come of the response.
#ifndef AUBURNLB_ROUTER_ENDPOINT_ATTEMPT_HPP
#define AUBURNLB_ROUTER_ENDPOINT_ATTEMPT_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/coordination/byte_budget.hpp"
#include "auburnlb/coordination/crash_causes.hpp"
#include "auburnlb/coordination/endpoint_directory.hpp"
#include "auburnlb/coordination/memory_budgets.hpp"
#include "auburnlb/coordination/path_choice.hpp"
#include "auburnlb/router/connection_pool.hpp"
#include "auburnlb/router/http_message.hpp"
#include "auburnlb/router/platform_protocol.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// An engine or endpoint of an attempt, and the load reserved there.
struct endpoint_reservation
{
    endpoint_ptr endpoint_;
    endpoint_load load_;
};

struct endpoint_attempt
{
    explicit endpoint_attempt(memory_budgets& memory)
        : buffered_bytes_(memory.responses_)
        , partial_event_bytes_(memory.events_)
    {
    }

    /// Null before the request is sent and after the exchange has ended.
    std::shared_ptr<pooled_connection> connection_;
    /// The endpoint that the request is sent to comes first.
    std::vector<endpoint_reservation> reservations_;
    /// Without parts if the service is no split model.
    path_choice path_;
    http_head response_head_;
    endpoint_response response_;
    std::string response_body_;
    /// The bytes of response_body_.
    budgeted_bytes buffered_bytes_;
    /// The first bytes that followed the response.
    std::string following_bytes_;
    /// The bytes of the stream's incomplete event.
    budgeted_bytes partial_event_bytes_;
    bool is_streaming_ = false;
    /// Set while nothing is read because the caller takes too little.
    std::optional<time_point> paused_since_;
    /// The connection has carried other requests, whose responses may come.
    bool is_connection_reused_ = false;
    time_point sent_at_{};
    time_point last_progress_at_{};
    response_progress progress_;
    bool is_prompt_success_recorded_ = false;
    /// Moving average of the time between two events.
    nanoseconds mean_event_gap_{0};
    milliseconds stall_extension_{0};
};

/// Closes the connection, which makes the endpoint cancel the request.
void close_connection(endpoint_attempt& attempt);

/// Releases the connection after a complete response, if there is one.
void finish_exchange(endpoint_attempt& attempt);

void release_reservations(endpoint_attempt& attempt);

/// Returns whether no process listens any more at an engine of the attempt.
bool has_ended_engine(endpoint_attempt const& attempt);

} // namespace auburnlb

#endif
