// Decides what a stopping router may still send, and how it ends what is left
// when its time is over. No other code makes these decisions.
#ifndef AUBURNLB_COORDINATION_PLANNED_STOP_HPP
#define AUBURNLB_COORDINATION_PLANNED_STOP_HPP

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// How long a stopping router keeps accepting connections: the load balancer
/// stops sending callers after two failed probes, one second apart.
inline constexpr milliseconds balancer_notice_time{3'000};

/// A request is sent only if this much time is left, however short it is.
inline constexpr milliseconds min_request_time{1'000};

/// A sound engine may fall silent for about this long and go on.
inline constexpr milliseconds engine_silence{1'200};

/// A planned stop that has begun.
struct planned_stop
{
    time_point began_at_{};
    /// Time between the stop signal and the forced kill.
    milliseconds limit_{0};
};

/// Returns when the requests that are still in progress get their last answer.
time_point answers_end(planned_stop const& stop);

/// Returns when the process ends, whether or not those answers were written.
time_point process_end(planned_stop const& stop);

/// Returns whether the load balancer no longer sends callers here.
bool is_notice_over(planned_stop const& stop, time_point now);

/// What decides whether a request may still be sent.
struct stopping_request
{
    time_point received_{};
    /// When its caller gets an answer in any case.
    time_point deadline_{};
    /// How long it takes, as far as can be expected, at an engine that is never
    /// silent.
    milliseconds expected_time_{0};
    /// How long it may take there without its deadline.
    milliseconds longest_time_{0};
    /// Whether an earlier attempt may have run it, or a response has begun.
    bool may_have_run_ = false;
};

/// Returns whether the request may be sent now. One that may not can be refused
/// as not run: for one that may have run, another attempt is never worse than
/// its end.
bool may_send(planned_stop const& stop, stopping_request const& request,
              time_point now);

/// How a request ends with the process.
enum class stop_ending
{
    /// The request has not run and will not run.
    refuse,
    /// The request may have run; no response has begun.
    respond_unknown,
    /// The response has begun; it must not look complete.
    abort_response,
};

/// Returns the enumerator's name.
char const* to_string(stop_ending ending);

/// @param was_sent whether the request is at an endpoint, or may have run at
/// one
stop_ending ending_of(bool has_begun_response, bool was_sent);

/// Returns when a request that is still in progress is ended in this way. A
/// response that has begun needs no other answer, and may go on up to the end
/// of the process.
time_point end_of_request(planned_stop const& stop, stop_ending ending);

} // namespace auburnlb

#endif
