// The entry's side of one call of a plain service: where it may be sent, when
// it may be sent again, and what the caller is told about whether it ran.
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

/// What may be done with a call whose answer does not come.
enum class call_kind
{
    /// May run any number of times.
    idempotent,
    /// May run once and carries no key: it is sent to one endpoint only.
    unkeyed,
    /// May run once and carries a key: its home decides, so that it may be
    /// asked again and again.
    keyed,
};

/// Limits of one call.
struct call_limits
{
    /// Wait before a keyed call is sent again; doubled up to the maximum.
    milliseconds resend_min_{50};
    milliseconds resend_max_{1'000};
    /// Endpoints tried at most by a call that is not keyed.
    std::uint32_t max_attempts_ = 4;
};

/// State of one call at its entry.
struct call_state
{
    call_kind kind_ = call_kind::unkeyed;
    call_limits limits_;
    request_id request_;
    time_point deadline_{};
    std::uint32_t attempts_ = 0;
    /// Where the current attempt went; empty between attempts.
    std::string peer_;
    incarnation_id incarnation_ = 0;
    /// Endpoints that later attempts avoid; unused by keyed calls, whose home
    /// is not a matter of choice.
    std::set<std::string> excluded_;
    /// An attempt left and was not proved to have done nothing.
    /// Invariant: while it is set, the caller is never told not_run.
    bool may_have_run_ = false;
    /// The last answer to a keyed call that proved nothing.
    std::optional<refusal_reason> last_reason_;
    std::optional<time_point> resend_at_;
    milliseconds resend_wait_{0};
    bool is_ended_ = false;
};

/// Choose an endpoint or the key's home, send, and call on_sent().
struct route_call
{
    /// Absent for the first attempt.
    std::optional<retry_reason> reason_;

    bool operator==(route_call const&) const = default;
};

/// Hand the endpoint's answer to the caller.
struct finish_call
{
    call_reply reply_;

    bool operator==(finish_call const&) const = default;
};

/// Tell the caller that there is no answer.
struct fail_call
{
    refusal_reason reason_ = refusal_reason::no_endpoint;
    run_state run_state_ = run_state::unknown;

    bool operator==(fail_call const&) const = default;
};

using call_action = std::variant<route_call, finish_call, fail_call>;
using call_actions = std::vector<call_action>;

/// Kind of a call by the service's rules: the first rule that matches decides,
/// and without one the call is non-idempotent.
call_kind classify_call(service_config const& config, std::string const& method,
                        std::string const& path, bool has_key);

/// Whether the rules refuse the call for want of a key.
bool is_key_missing(service_config const& config, std::string const& method,
                    std::string const& path, bool has_key);

call_actions begin_call(call_state& state);

/// The attempt was handed to the connection of the peer.
void on_call_sent(call_state& state, std::string const& peer,
                  incarnation_id incarnation);

/// Nothing left for the peer, or there is no peer to send to (empty).
call_actions on_call_not_sent(call_state& state, std::string const& peer,
                              time_point now);

call_actions on_call_reply(call_state& state, call_reply const& reply,
                           time_point now);

/// The incarnation that the attempt went to is gone or silent.
call_actions on_call_peer_lost(call_state& state, std::string const& peer,
                               incarnation_id incarnation, time_point now);

/// Checks the deadline and sends keyed calls again.
call_actions on_call_tick(call_state& state, time_point now);

} // namespace auburnlb

#endif
