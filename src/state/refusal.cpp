// Names and lists of refusal and retry reasons.
#include "auburnlb/state/refusal.hpp"

#include <array>

namespace auburnlb
{

namespace
{

constexpr std::array refusal_reasons = {
    refusal_reason::malformed_request,
    refusal_reason::body_too_large,
    refusal_reason::unauthorized,
    refusal_reason::unknown_service,
    refusal_reason::unknown_path,
    refusal_reason::invalid_field,
    refusal_reason::workspace_rate_limit,
    refusal_reason::workspace_in_flight_limit,
    refusal_reason::overloaded,
    refusal_reason::deadline_unreachable,
    refusal_reason::entry_stopping,
    refusal_reason::no_chain,
    refusal_reason::no_endpoint,
    refusal_reason::retry_budget_exhausted,
    refusal_reason::suspected_crash,
    refusal_reason::deadline_passed,
    refusal_reason::stream_lost,
    refusal_reason::endpoint_leaving,
    refusal_reason::stale_incarnation,
    refusal_reason::stale_attempt,
    refusal_reason::wrong_position,
    refusal_reason::wrong_layer,
    refusal_reason::stale_version,
    refusal_reason::engine_failed,
    refusal_reason::engine_full,
    refusal_reason::claim_store_unavailable,
    refusal_reason::key_in_progress,
    refusal_reason::key_outcome_unknown,
    refusal_reason::key_body_mismatch,
    refusal_reason::not_shard_home,
    refusal_reason::stale_fencing_number,
    refusal_reason::key_required,
    refusal_reason::call_outcome_unknown,
};

constexpr std::array retry_reasons = {
    retry_reason::stage_died,       retry_reason::stage_silent,
    retry_reason::stage_refused,    retry_reason::engine_failed,
    retry_reason::link_degraded,    retry_reason::endpoint_leaving,
    retry_reason::endpoint_refused, retry_reason::wrong_home,
};

} // namespace

char const* to_string(run_state state)
{
    switch (state)
    {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        return "unknown";
    }
    return "unknown";
}

char const* to_string(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::malformed_request:
        return "malformed_request";
    case refusal_reason::body_too_large:
        return "body_too_large";
    case refusal_reason::unauthorized:
        return "unauthorized";
    case refusal_reason::unknown_service:
        return "unknown_service";
    case refusal_reason::unknown_path:
        return "unknown_path";
    case refusal_reason::invalid_field:
        return "invalid_field";
    case refusal_reason::workspace_rate_limit:
        return "workspace_rate_limit";
    case refusal_reason::workspace_in_flight_limit:
        return "workspace_in_flight_limit";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::deadline_unreachable:
        return "deadline_unreachable";
    case refusal_reason::entry_stopping:
        return "entry_stopping";
    case refusal_reason::no_chain:
        return "no_chain";
    case refusal_reason::no_endpoint:
        return "no_endpoint";
    case refusal_reason::retry_budget_exhausted:
        return "retry_budget_exhausted";
    case refusal_reason::suspected_crash:
        return "suspected_crash";
    case refusal_reason::deadline_passed:
        return "deadline_passed";
    case refusal_reason::stream_lost:
        return "stream_lost";
    case refusal_reason::endpoint_leaving:
        return "endpoint_leaving";
    case refusal_reason::stale_incarnation:
        return "stale_incarnation";
    case refusal_reason::stale_attempt:
        return "stale_attempt";
    case refusal_reason::wrong_position:
        return "wrong_position";
    case refusal_reason::wrong_layer:
        return "wrong_layer";
    case refusal_reason::stale_version:
        return "stale_version";
    case refusal_reason::engine_failed:
        return "engine_failed";
    case refusal_reason::engine_full:
        return "engine_full";
    case refusal_reason::claim_store_unavailable:
        return "claim_store_unavailable";
    case refusal_reason::key_in_progress:
        return "key_in_progress";
    case refusal_reason::key_outcome_unknown:
        return "key_outcome_unknown";
    case refusal_reason::key_body_mismatch:
        return "key_body_mismatch";
    case refusal_reason::not_shard_home:
        return "not_shard_home";
    case refusal_reason::stale_fencing_number:
        return "stale_fencing_number";
    case refusal_reason::key_required:
        return "key_required";
    case refusal_reason::call_outcome_unknown:
        return "call_outcome_unknown";
    }
    return "unknown";
}

char const* to_string(retry_reason reason)
{
    switch (reason)
    {
    case retry_reason::stage_died:
        return "stage_died";
    case retry_reason::stage_silent:
        return "stage_silent";
    case retry_reason::stage_refused:
        return "stage_refused";
    case retry_reason::engine_failed:
        return "engine_failed";
    case retry_reason::link_degraded:
        return "link_degraded";
    case retry_reason::endpoint_leaving:
        return "endpoint_leaving";
    case retry_reason::endpoint_refused:
        return "endpoint_refused";
    case retry_reason::wrong_home:
        return "wrong_home";
    }
    return "unknown";
}

std::span<refusal_reason const> all_refusal_reasons()
{
    return refusal_reasons;
}

std::span<retry_reason const> all_retry_reasons()
{
    return retry_reasons;
}

} // namespace auburnlb
