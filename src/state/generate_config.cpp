// Generates the configuration of a service from its questionnaire.
#include <algorithm>
#include <bit>
#include <utility>

#include "auburnlb/state/questionnaire.hpp"

namespace auburnlb
{

namespace
{

constexpr std::uint32_t small_workspace_weight = 1;
constexpr std::uint32_t large_workspace_weight = 4;
constexpr std::uint64_t default_first_token_ms = 940;
constexpr std::uint64_t default_token_interval_ms = 44;
constexpr std::uint64_t default_key_lifetime_s = 3'600;
constexpr std::uint64_t max_key_lifetime_s = 2'592'000;
constexpr std::uint64_t deadlines_per_key_lifetime = 10;
constexpr std::uint64_t default_plain_body_bytes = 1U << 20U;
constexpr std::uint64_t min_model_body_bytes = 64U << 10U;
constexpr std::uint64_t max_model_body_bytes = 16U << 20U;
constexpr std::uint64_t body_bytes_per_prompt_token = 32;
constexpr std::uint64_t max_tokens_per_answer_token = 4;
constexpr std::uint64_t min_max_tokens = 256;
constexpr std::uint32_t small_service_max_endpoints = 16;
constexpr std::uint64_t small_service_claim_shards = 64;
constexpr std::uint64_t large_service_claim_shards = 1'024;
constexpr double default_retry_ratio = 0.1;

generated_value answer_or_default(std::uint64_t answer,
                                  std::string const& field,
                                  generated_value default_value)
{
    if (answer == 0)
    {
        return default_value;
    }
    return {answer, "answered in " + field};
}

void generate_durations(questionnaire const& answers, generated_fields& fields)
{
    request_answers const& requests = answers.requests_;
    fields["default_deadline_ms"] = {requests.deadline_ms_,
                                     "answered in requests.deadline_ms"};
    fields["first_token_target_ms"] =
        answer_or_default(requests.first_token_ms_, "requests.first_token_ms",
                          {default_first_token_ms, "default for all services"});
    fields["token_interval_target_ms"] = answer_or_default(
        requests.token_interval_ms_, "requests.token_interval_ms",
        {default_token_interval_ms, "default for all services"});
    std::uint64_t const lifetime =
        std::clamp(requests.deadline_ms_ * deadlines_per_key_lifetime / 1'000,
                   default_key_lifetime_s, max_key_lifetime_s);
    fields["key_lifetime_s"] = answer_or_default(
        answers.key_lifetime_s_, "key_lifetime_s",
        {lifetime, "ten deadlines, at least an hour, so that callers who send "
                   "a call again find its outcome"});
}

void generate_sizes(questionnaire const& answers, generated_fields& fields)
{
    request_answers const& requests = answers.requests_;
    bool const is_model = answers.kind_ == service_kind::model;
    fields["layers"] = {std::uint64_t{answers.model_layers_},
                        is_model ? "answered in model.layers"
                                 : "a plain service has no layers"};
    std::uint64_t const model_body_bytes = std::clamp(
        std::bit_ceil(requests.prompt_tokens_ * body_bytes_per_prompt_token),
        min_model_body_bytes, max_model_body_bytes);
    generated_value const default_body =
        is_model ? generated_value{model_body_bytes,
                                   "32 bytes for each of "
                                   "requests.prompt_tokens, rounded up to a "
                                   "power of two, 64 KiB to 16 MiB"}
                 : generated_value{default_plain_body_bytes,
                                   "default for plain services"};
    fields["max_body_bytes"] = answer_or_default(
        requests.max_body_bytes_, "requests.max_body_bytes", default_body);
    std::uint64_t const max_tokens = std::max(
        max_tokens_per_answer_token * requests.answer_tokens_, min_max_tokens);
    fields["max_tokens"] = {max_tokens,
                            is_model ? "four times requests.answer_tokens, "
                                       "at least 256"
                                     : "not used by a plain service"};
}

void generate_reliability(questionnaire const& answers,
                          generated_fields& fields)
{
    bool const is_small =
        answers.endpoint_count_ <= small_service_max_endpoints;
    fields["claim_shards"] = {
        is_small ? small_service_claim_shards : large_service_claim_shards,
        is_small ? "many more than endpoints.count, which is at most 16"
                 : "many more than endpoints.count, which is above 16"};
    fields["retry_ratio"] = {
        default_retry_ratio,
        "default for all services: one tenth more work at most "
        "when much fails at once"};
    fields["endpoints_check_fencing"] = {answers.endpoints_check_fencing_,
                                         "answered in endpoints.check_fencing"};
}

void generate_workspaces(questionnaire const& answers, generated_fields& fields)
{
    for (caller_answers const& caller : answers.callers_)
    {
        std::string const prefix = "workspaces." + caller.workspace_ + ".";
        bool const is_large = caller.size_ == workspace_size::large;
        fields[prefix + "key_sha256"] = {caller.key_sha256_,
                                         "answered in callers.key_sha256"};
        fields[prefix + "weight"] = {
            std::uint64_t{is_large ? large_workspace_weight
                                   : small_workspace_weight},
            is_large ? "a large workspace weighs as much as four small ones"
                     : "a small workspace"};
        fields[prefix + "tokens_per_second"] = {
            caller.tokens_per_second_,
            caller.tokens_per_second_ > 0
                ? "answered in callers.tokens_per_second"
                : "no limit answered"};
        fields[prefix + "max_in_flight"] = {
            std::uint64_t{caller.max_in_flight_},
            caller.max_in_flight_ > 0 ? "answered in callers.max_in_flight"
                                      : "no limit answered"};
    }
}

void generate_operations(questionnaire const& answers, generated_fields& fields)
{
    for (operation_answers const& rule : answers.operations_)
    {
        std::string const prefix =
            "operations[" + rule.method_ + " " + rule.path_ + "].";
        fields[prefix + "is_idempotent"] = {
            rule.may_repeat_, "answered in operations.may_repeat"};
        fields[prefix + "is_key_required"] = {
            rule.needs_key_, "answered in operations.needs_key"};
    }
}

// The first matching rule applies, so more specific rules are sorted first.
bool is_more_specific(operation_rule const& left, operation_rule const& right)
{
    if (left.path_prefix_.size() != right.path_prefix_.size())
    {
        return left.path_prefix_.size() > right.path_prefix_.size();
    }
    bool const is_left_any = left.method_ == "*";
    bool const is_right_any = right.method_ == "*";
    if (is_left_any != is_right_any)
    {
        return is_right_any;
    }
    return std::pair(left.path_prefix_, left.method_) <
           std::pair(right.path_prefix_, right.method_);
}

service_config make_config_without_values(questionnaire const& answers)
{
    service_config config;
    config.name_ = answers.service_;
    config.kind_ = answers.kind_;
    for (caller_answers const& caller : answers.callers_)
    {
        workspace_limits limits;
        limits.name_ = caller.workspace_;
        config.workspaces_.push_back(std::move(limits));
    }
    for (operation_answers const& rule : answers.operations_)
    {
        config.operations_.push_back({rule.method_, rule.path_, false, false});
    }
    std::sort(config.operations_.begin(), config.operations_.end(),
              is_more_specific);
    return config;
}

} // namespace

generated_fields generate_fields(questionnaire const& answers)
{
    generated_fields fields;
    generate_durations(answers, fields);
    generate_sizes(answers, fields);
    generate_reliability(answers, fields);
    generate_workspaces(answers, fields);
    generate_operations(answers, fields);
    return fields;
}

result<service_config> build_config(questionnaire const& answers,
                                    config_fields const& fields)
{
    service_config config = make_config_without_values(answers);
    if (auto failure = set_known_fields(config, fields))
    {
        return *failure;
    }
    return config;
}

} // namespace auburnlb
