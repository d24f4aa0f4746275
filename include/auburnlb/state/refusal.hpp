// Numbered reasons for refusing requests, and reasons for retrying them.
#ifndef AUBURNLB_STATE_REFUSAL_HPP
#define AUBURNLB_STATE_REFUSAL_HPP

#include <span>
#include <string>

namespace auburnlb
{

/// Whether a request that ended in an error was executed. not_run is only
/// reported if that is certain.
enum class run_state
{
    not_run,
    ran,
    unknown,
};

/// Why a request is refused or ends in an error. The numbers are part of the
/// interface to callers and never change their meaning.
enum class refusal_reason
{
    malformed_request = 1001,
    body_too_large = 1002,
    unauthorized = 1003,
    unknown_service = 1004,
    unknown_path = 1005,
    invalid_field = 1006,
    workspace_rate_limit = 1101,
    workspace_in_flight_limit = 1102,
    overloaded = 1103,
    deadline_unreachable = 1104,
    entry_stopping = 1105,
    no_chain = 1201,
    no_endpoint = 1202,
    retry_budget_exhausted = 1203,
    suspected_crash = 1204,
    deadline_passed = 1205,
    stream_lost = 1206,
    endpoint_leaving = 1301,
    stale_incarnation = 1302,
    stale_attempt = 1303,
    wrong_position = 1304,
    wrong_layer = 1305,
    stale_version = 1306,
    engine_failed = 1307,
    engine_full = 1308,
    claim_store_unavailable = 1401,
    key_in_progress = 1402,
    key_outcome_unknown = 1403,
    key_body_mismatch = 1404,
    not_shard_home = 1405,
    stale_fencing_number = 1406,
    key_required = 1407,
    call_outcome_unknown = 1408,
};

/// Why a request or a step is retried. Each reason has a counter.
enum class retry_reason
{
    stage_died,
    stage_silent,
    stage_refused,
    engine_failed,
    link_degraded,
    endpoint_leaving,
    endpoint_refused,
    wrong_home,
};

/// The name of the enumerator.
char const* to_string(run_state state);
char const* to_string(refusal_reason reason);
char const* to_string(retry_reason reason);

/// All reasons, in the order of declaration.
std::span<refusal_reason const> all_refusal_reasons();
std::span<retry_reason const> all_retry_reasons();

} // namespace auburnlb

#endif
