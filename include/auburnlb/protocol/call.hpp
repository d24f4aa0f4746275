// The entry's state machine for one call of a plain service.
#ifndef AUBURNLB_PROTOCOL_CALL_HPP
#define AUBURNLB_PROTOCOL_CALL_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "auburnlb/protocol/messages.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/service_config.hpp"

namespace auburnlb
{

/// How often a call may run, and hence when it may be sent again.
enum class call_kind
{
    /// May run any number of times.
    idempotent,
    /// May run once and has no key: sent again only if it provably did not run.
    unkeyed,
    /// May run once and has a key: the key's owner prevents a second run, so
    /// the call may be sent any number of times.
    keyed,
};

/// Retry limits of one call.
struct call_limits
{
    /// Delay before a keyed call is sent again; doubles up to resend_max_.
    milliseconds resend_min_{50};
    milliseconds resend_max_{1'000};
    /// Maximum number of attempts of a call that is not keyed.
    std::uint32_t max_attempts_ = 4;
    /// A call without a key waits this long for a silent endpoint to go on, if
    /// no other one can take the call.
    milliseconds silence_patience_{2'000};
};

/// State of one call at its entry.
struct call_state
{
    call_kind kind_ = call_kind::unkeyed;
    call_limits limits_;
    request_id request_;
    time_point deadline_{};
    std::uint32_t attempts_ = 0;
    /// Address to which the current attempt was sent; empty between attempts.
    std::string peer_;
    incarnation_id incarnation_ = 0;
    /// Endpoints that later attempts avoid. Unused by keyed calls, which always
    /// go to the key's owner.
    std::set<std::string> excluded_;
    /// An attempt was sent and may have had an effect.
    /// Invariant: while it is set, not_run is never reported to the caller.
    bool may_have_run_ = false;
    /// The last transient refusal of a keyed call.
    std::optional<refusal_reason> last_reason_;
    /// When the endpoint of an unkeyed call fell silent, or since when an
    /// idempotent call has found no endpoint to be repeated at.
    std::optional<time_point> silent_since_;
    std::optional<time_point> resend_at_;
    milliseconds resend_wait_{0};
    bool is_ended_ = false;
};

/// Choose an endpoint or the key's owner, send the call to it, and call
/// on_call_sent().
struct route_call
{
    /// Reason for the retry; absent for the first attempt.
    std::optional<retry_reason> reason_;

    bool operator==(route_call const&) const = default;
};

/// Return the endpoint's reply to the caller.
struct finish_call
{
    call_reply reply_;

    bool operator==(finish_call const&) const = default;
};

/// Report the failure of the call to the caller.
struct fail_call
{
    refusal_reason reason_ = refusal_reason::no_endpoint;
    run_state run_state_ = run_state::unknown;

    bool operator==(fail_call const&) const = default;
};

using call_action = std::variant<route_call, finish_call, fail_call>;
using call_actions = std::vector<call_action>;

/// Returns the kind of a call by the service's rules. The first matching rule
/// decides; without one the call is non-idempotent.
call_kind classify_call(service_config const& config, std::string const& method,
                        std::string const& path, bool has_key);

/// Returns whether the service's rules require a key and the call has none.
bool is_key_missing(service_config const& config, std::string const& method,
                    std::string const& path, bool has_key);

call_actions begin_call(call_state& state);

/// Records that the attempt was written to the peer's connection.
void on_call_sent(call_state& state, std::string const& peer,
                  incarnation_id incarnation);

/// Handles an attempt of which nothing was sent. peer is empty if no endpoint
/// was available.
call_actions on_call_not_sent(call_state& state, std::string const& peer,
                              time_point now);

call_actions on_call_reply(call_state& state, call_reply const& reply,
                           time_point now);

/// Handles the loss of the incarnation that the attempt was sent to: it is
/// gone, or does not respond if the reason is stage_silent.
call_actions on_call_peer_lost(call_state& state, std::string const& peer,
                               incarnation_id incarnation, retry_reason reason,
                               time_point now);

/// Handles a sign of life of an endpoint that may have been silent.
call_actions on_call_peer_answered(call_state& state, std::string const& peer,
                                   incarnation_id incarnation, time_point now);

/// Checks the deadline, and whether a keyed call is due to be sent again.
call_actions on_call_tick(call_state& state, time_point now);

} // namespace auburnlb

#endif
