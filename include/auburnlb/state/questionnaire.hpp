// The questionnaire that a team fills in for its service, and the generation of
// the service's configuration from it.
#ifndef AUBURNLB_STATE_QUESTIONNAIRE_HPP
#define AUBURNLB_STATE_QUESTIONNAIRE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "auburnlb/state/config_fields.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/state/service_config.hpp"

namespace auburnlb
{

enum class workspace_size
{
    small,
    large,
};

/// One workspace of callers. Limits of zero mean no limit.
struct caller_answers
{
    std::string workspace_;
    /// Lower-case hexadecimal SHA-256 of the callers' bearer key.
    std::string key_sha256_;
    workspace_size size_ = workspace_size::small;
    double tokens_per_second_ = 0;
    std::uint32_t max_in_flight_ = 0;

    bool operator==(caller_answers const&) const = default;
};

/// Properties of a typical request. Zero means that the question was not
/// answered and a default is generated. deadline_ms_ is always set.
struct request_answers
{
    std::uint32_t prompt_tokens_ = 0;
    std::uint32_t answer_tokens_ = 0;
    double peak_requests_per_second_ = 0;
    std::uint64_t deadline_ms_ = 0;
    std::uint64_t first_token_ms_ = 0;
    std::uint64_t token_interval_ms_ = 0;
    std::uint64_t max_body_bytes_ = 0;

    bool operator==(request_answers const&) const = default;
};

/// Whether calls with one method and path prefix may be retried.
struct operation_answers
{
    /// "*" matches any method.
    std::string method_;
    std::string path_;
    bool may_repeat_ = false;
    bool needs_key_ = false;

    bool operator==(operation_answers const&) const = default;
};

/// The answers for one service.
struct questionnaire
{
    std::string service_;
    service_kind kind_ = service_kind::model;
    /// Data centres that contain endpoints.
    std::vector<std::string> data_centres_;
    /// Zero for a plain service.
    std::uint32_t model_layers_ = 0;
    std::uint32_t endpoint_count_ = 1;
    bool endpoints_check_fencing_ = false;
    std::vector<caller_answers> callers_;
    request_answers requests_;
    std::vector<operation_answers> operations_;
    /// Zero if not answered; a default is generated then.
    std::uint64_t key_lifetime_s_ = 0;

    bool operator==(questionnaire const&) const = default;
};

/// Returns the JSON Schema of a questionnaire, which is the content of
/// schema/questionnaire.schema.json.
std::string questionnaire_schema();

/// Parses a questionnaire and validates it against the schema. Does not check
/// whether answers contradict each other. The name is only used in errors.
result<questionnaire> parse_questionnaire(std::string const& name,
                                          std::string const& json);

/// Renders the answers as JSON. Parsing the result returns equal answers.
std::string render_questionnaire(questionnaire const& answers);

/// Returns one error, with field and value, for each answer that contradicts
/// another one. Empty for consistent answers.
std::vector<error> find_contradictions(questionnaire const& answers);

/// A generated value and the reason for it.
struct generated_value
{
    config_value value_;
    std::string reason_;

    bool operator==(generated_value const&) const = default;
};

using generated_fields = std::map<std::string, generated_value>;

/// Generates all fields of the configuration from consistent answers.
/// Deterministic.
generated_fields generate_fields(questionnaire const& answers);

/// Builds a configuration: name, kind, workspaces and operations from the
/// answers, all values from the fields. Ignores unknown fields, because a newer
/// program may have written them.
result<service_config> build_config(questionnaire const& answers,
                                    config_fields const& fields);

} // namespace auburnlb

#endif
