// A team's answers about its service, and the configuration generated from
// them.
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

/// What a typical request is like. Zero means "no answer", for which a default
/// is generated; deadline_ms_ is always answered.
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

/// Whether calls of one method and path may be repeated.
struct operation_answers
{
    /// "*" stands for every method.
    std::string method_;
    std::string path_;
    bool may_repeat_ = false;
    bool needs_key_ = false;

    bool operator==(operation_answers const&) const = default;
};

/// All answers of one team about one service.
struct questionnaire
{
    std::string service_;
    service_kind kind_ = service_kind::model;
    std::vector<std::string> data_centres_;
    /// Zero for a plain service.
    std::uint32_t model_layers_ = 0;
    std::uint32_t endpoint_count_ = 1;
    bool endpoints_check_fencing_ = false;
    std::vector<caller_answers> callers_;
    request_answers requests_;
    std::vector<operation_answers> operations_;
    /// Zero generates a default.
    std::uint64_t key_lifetime_s_ = 0;

    bool operator==(questionnaire const&) const = default;
};

/// JSON Schema of a questionnaire: the text of
/// schema/questionnaire.schema.json.
std::string questionnaire_schema();

/// Reads answers and checks them against the schema, not yet against each
/// other. name is used in errors only.
result<questionnaire> parse_questionnaire(std::string const& name,
                                          std::string const& json);

/// The answers as JSON, such that parsing it gives equal answers.
std::string render_questionnaire(questionnaire const& answers);

/// Answers that contradict each other: an error for each, which names the
/// field and its value. Empty for consistent answers.
std::vector<error> find_contradictions(questionnaire const& answers);

/// A value with the reason for which it was generated.
struct generated_value
{
    config_value value_;
    std::string reason_;

    bool operator==(generated_value const&) const = default;
};

using generated_fields = std::map<std::string, generated_value>;

/// Generates every field of the configuration from consistent answers. The
/// same answers always give the same fields.
generated_fields generate_fields(questionnaire const& answers);

/// The configuration that the answers give the shape of: name, kind,
/// workspaces and operations, with values taken from the fields. Fields that
/// this program does not know are passed over, because a newer program may
/// have written them.
result<service_config> build_config(questionnaire const& answers,
                                    config_fields const& fields);

} // namespace auburnlb

#endif
