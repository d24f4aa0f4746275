// The configuration of one service, as generated from its questionnaire.
#ifndef AUBURNLB_STATE_SERVICE_CONFIG_HPP
#define AUBURNLB_STATE_SERVICE_CONFIG_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnlb
{

/// A model service returns generated tokens, a plain service HTTP responses.
enum class service_kind
{
    model,
    plain,
};

/// Limits of one workspace at one service. Zero means no limit.
struct workspace_limits
{
    std::string name_;
    /// Lower-case hexadecimal SHA-256 of the bearer key of its callers.
    std::string key_sha256_;
    /// Weight in fair sharing under overload, at least 1.
    std::uint32_t weight_ = 1;
    /// Tokens per second, summed over all entry hosts.
    double tokens_per_second_ = 0;
    /// Requests in progress, summed over all entry hosts.
    std::uint32_t max_in_flight_ = 0;

    bool operator==(workspace_limits const&) const = default;
};

/// Whether calls of a plain service are idempotent. The first rule with a
/// matching method ("*" for any) and path prefix applies. A call without a
/// matching rule is non-idempotent.
struct operation_rule
{
    std::string method_;
    std::string path_prefix_;
    bool is_idempotent_ = false;
    /// Whether calls without an Idempotency-Key header are refused.
    bool is_key_required_ = false;

    bool operator==(operation_rule const&) const = default;
};

/// Configuration of one service. Immutable once published.
struct service_config
{
    std::string name_;
    service_kind kind_ = service_kind::model;
    /// Version of the object on the platform. Increases with each change.
    std::uint64_t version_ = 0;
    /// Number of layers of the model; zero for a plain service.
    std::uint32_t layers_ = 0;
    std::vector<workspace_limits> workspaces_;
    std::vector<operation_rule> operations_;
    std::chrono::milliseconds default_deadline_{60'000};
    std::chrono::milliseconds first_token_target_{940};
    std::chrono::milliseconds token_interval_target_{44};
    /// How long the outcome of a call is stored under its idempotency key.
    std::chrono::seconds key_lifetime_{3'600};
    std::uint32_t claim_shards_ = 64;
    std::uint64_t max_body_bytes_ = 1U << 20U;
    std::uint32_t max_tokens_ = 1'024;
    /// Maximum ratio of retries to requests.
    double retry_ratio_ = 0.1;
    bool endpoints_check_fencing_ = false;

    bool operator==(service_config const&) const = default;
};

} // namespace auburnlb

#endif
