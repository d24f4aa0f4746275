// Parsing and rendering of questionnaires, and checks for contradictions.
#include "auburnlb/state/questionnaire.hpp"

#include <map>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "auburnlb/state/json_schema.hpp"

namespace auburnlb
{

namespace
{

using nlohmann::ordered_json;

caller_answers read_caller(ordered_json const& json)
{
    caller_answers caller;
    caller.workspace_ = json.at("workspace");
    caller.key_sha256_ = json.at("key_sha256");
    caller.size_ = json.at("size") == "large" ? workspace_size::large
                                              : workspace_size::small;
    caller.tokens_per_second_ = json.value("tokens_per_second", 0.0);
    caller.max_in_flight_ = json.value("max_in_flight", 0U);
    return caller;
}

request_answers read_requests(ordered_json const& json)
{
    request_answers requests;
    requests.prompt_tokens_ = json.value("prompt_tokens", 0U);
    requests.answer_tokens_ = json.value("answer_tokens", 0U);
    requests.peak_requests_per_second_ = json.at("peak_requests_per_second");
    requests.deadline_ms_ = json.at("deadline_ms");
    requests.first_token_ms_ = json.value("first_token_ms", std::uint64_t{0});
    requests.token_interval_ms_ =
        json.value("token_interval_ms", std::uint64_t{0});
    requests.max_body_bytes_ = json.value("max_body_bytes", std::uint64_t{0});
    return requests;
}

operation_answers read_operation(ordered_json const& json)
{
    return {json.at("method"), json.at("path"), json.at("may_repeat"),
            json.value("needs_key", false)};
}

questionnaire read_answers(ordered_json const& json)
{
    questionnaire answers;
    answers.service_ = json.at("service");
    answers.kind_ =
        json.at("kind") == "model" ? service_kind::model : service_kind::plain;
    answers.data_centres_ = json.at("places").get<std::vector<std::string>>();
    if (json.contains("model"))
    {
        answers.model_layers_ = json.at("model").at("layers");
    }
    answers.endpoint_count_ = json.at("endpoints").at("count");
    answers.endpoints_check_fencing_ = json.at("endpoints").at("check_fencing");
    for (auto const& caller : json.at("callers"))
    {
        answers.callers_.push_back(read_caller(caller));
    }
    answers.requests_ = read_requests(json.at("requests"));
    for (auto const& rule : json.value("operations", ordered_json::array()))
    {
        answers.operations_.push_back(read_operation(rule));
    }
    answers.key_lifetime_s_ = json.value("key_lifetime_s", std::uint64_t{0});
    return answers;
}

template <class Value>
void write_if_answered(ordered_json& json, char const* key, Value value)
{
    if (value != Value{})
    {
        json[key] = value;
    }
}

ordered_json write_caller(caller_answers const& caller)
{
    ordered_json json;
    json["workspace"] = caller.workspace_;
    json["key_sha256"] = caller.key_sha256_;
    json["size"] = caller.size_ == workspace_size::large ? "large" : "small";
    write_if_answered(json, "tokens_per_second", caller.tokens_per_second_);
    write_if_answered(json, "max_in_flight", caller.max_in_flight_);
    return json;
}

ordered_json write_requests(request_answers const& requests)
{
    ordered_json json;
    write_if_answered(json, "prompt_tokens", requests.prompt_tokens_);
    write_if_answered(json, "answer_tokens", requests.answer_tokens_);
    json["peak_requests_per_second"] = requests.peak_requests_per_second_;
    json["deadline_ms"] = requests.deadline_ms_;
    write_if_answered(json, "first_token_ms", requests.first_token_ms_);
    write_if_answered(json, "token_interval_ms", requests.token_interval_ms_);
    write_if_answered(json, "max_body_bytes", requests.max_body_bytes_);
    return json;
}

// Collects contradictions as errors with uniform messages.
class contradiction_list
{
public:
    template <class Value>
    void add(std::string const& field, Value const& value,
             std::string const& allowed)
    {
        errors_.push_back({error_code::invalid_input, "check questionnaire", "",
                           "field " + field + " has the value " +
                               ordered_json(value).dump() +
                               "; allowed is: " + allowed});
    }

    std::vector<error> take() { return std::move(errors_); }

private:
    std::vector<error> errors_;
};

std::string element_field(std::string const& list, std::size_t index,
                          std::string const& key)
{
    return list + "[" + std::to_string(index) + "]." + key;
}

void check_kind(questionnaire const& answers,
                contradiction_list& contradictions)
{
    bool const is_model = answers.kind_ == service_kind::model;
    if (is_model && answers.model_layers_ == 0)
    {
        contradictions.add("model.layers", answers.model_layers_,
                           "at least 1, because kind is model");
    }
    if (!is_model && answers.model_layers_ != 0)
    {
        contradictions.add("model.layers", answers.model_layers_,
                           "no value, because kind is plain");
    }
    if (is_model && !answers.operations_.empty())
    {
        contradictions.add("operations", answers.operations_.size(),
                           "no entries, because kind is model");
    }
    if (is_model && answers.requests_.answer_tokens_ == 0)
    {
        contradictions.add("requests.answer_tokens",
                           answers.requests_.answer_tokens_,
                           "at least 1, because kind is model");
    }
}

void check_callers(questionnaire const& answers,
                   contradiction_list& contradictions)
{
    std::set<std::string> names;
    std::map<std::string, std::string> owners;
    for (std::size_t index = 0; index < answers.callers_.size(); ++index)
    {
        caller_answers const& caller = answers.callers_[index];
        if (!names.insert(caller.workspace_).second)
        {
            contradictions.add(element_field("callers", index, "workspace"),
                               caller.workspace_,
                               "a name that no other workspace has");
        }
        auto const [owner, is_new] =
            owners.emplace(caller.key_sha256_, caller.workspace_);
        if (!is_new)
        {
            contradictions.add(element_field("callers", index, "key_sha256"),
                               caller.key_sha256_,
                               "a key that no other workspace has; " +
                                   owner->second + " has the same");
        }
    }
}

void check_times(questionnaire const& answers,
                 contradiction_list& contradictions)
{
    request_answers const& requests = answers.requests_;
    if (requests.deadline_ms_ < requests.first_token_ms_)
    {
        contradictions.add("requests.deadline_ms", requests.deadline_ms_,
                           "at least requests.first_token_ms, which is " +
                               std::to_string(requests.first_token_ms_));
    }
    std::uint64_t const usual_response_ms =
        requests.first_token_ms_ +
        requests.answer_tokens_ * requests.token_interval_ms_;
    if (requests.deadline_ms_ >= requests.first_token_ms_ &&
        requests.deadline_ms_ < usual_response_ms)
    {
        contradictions.add("requests.deadline_ms", requests.deadline_ms_,
                           "at least the time of a usual answer, which is " +
                               std::to_string(usual_response_ms));
    }
    if (answers.key_lifetime_s_ != 0 &&
        answers.key_lifetime_s_ * 1'000 < requests.deadline_ms_)
    {
        contradictions.add("key_lifetime_s", answers.key_lifetime_s_,
                           "at least requests.deadline_ms, which is " +
                               std::to_string(requests.deadline_ms_) +
                               " ms, because callers retry until then");
    }
}

void check_operations(questionnaire const& answers,
                      contradiction_list& contradictions)
{
    std::map<std::pair<std::string, std::string>, bool> operations;
    for (std::size_t index = 0; index < answers.operations_.size(); ++index)
    {
        operation_answers const& rule = answers.operations_[index];
        auto const [earlier, is_new] = operations.emplace(
            std::pair(rule.method_, rule.path_), rule.may_repeat_);
        if (!is_new && earlier->second != rule.may_repeat_)
        {
            contradictions.add(element_field("operations", index, "may_repeat"),
                               rule.may_repeat_,
                               "the same as in the earlier entry for " +
                                   rule.method_ + " " + rule.path_);
        }
        else if (!is_new)
        {
            contradictions.add(
                element_field("operations", index, "path"), rule.path_,
                "a path that no earlier entry has for the method " +
                    rule.method_);
        }
        if (rule.may_repeat_ && rule.needs_key_)
        {
            contradictions.add(
                element_field("operations", index, "needs_key"),
                rule.needs_key_,
                "false, because may_repeat is true and only calls that "
                "must not run twice need a key");
        }
    }
}

} // namespace

result<questionnaire> parse_questionnaire(std::string const& name,
                                          std::string const& json)
{
    auto const violations =
        check_against_schema(questionnaire_schema(), name, json);
    if (!violations)
    {
        return violations.error();
    }
    if (!violations.value().empty())
    {
        schema_violation const& first = violations.value().front();
        return error{
            error_code::invalid_input, "check questionnaire", name,
            "field " + (first.field_.empty() ? "(document)" : first.field_) +
                " has the value " + first.value_ + ": " + first.reason_};
    }
    return read_answers(ordered_json::parse(json));
}

std::string render_questionnaire(questionnaire const& answers)
{
    ordered_json json;
    json["service"] = answers.service_;
    json["kind"] = answers.kind_ == service_kind::model ? "model" : "plain";
    json["places"] = answers.data_centres_;
    if (answers.model_layers_ != 0)
    {
        json["model"]["layers"] = answers.model_layers_;
    }
    json["endpoints"]["count"] = answers.endpoint_count_;
    json["endpoints"]["check_fencing"] = answers.endpoints_check_fencing_;
    json["callers"] = ordered_json::array();
    for (caller_answers const& caller : answers.callers_)
    {
        json["callers"].push_back(write_caller(caller));
    }
    json["requests"] = write_requests(answers.requests_);
    for (operation_answers const& rule : answers.operations_)
    {
        ordered_json entry;
        entry["method"] = rule.method_;
        entry["path"] = rule.path_;
        entry["may_repeat"] = rule.may_repeat_;
        write_if_answered(entry, "needs_key", rule.needs_key_);
        json["operations"].push_back(std::move(entry));
    }
    write_if_answered(json, "key_lifetime_s", answers.key_lifetime_s_);
    return json.dump(2) + "\n";
}

std::vector<error> find_contradictions(questionnaire const& answers)
{
    contradiction_list contradictions;
    check_kind(answers, contradictions);
    check_callers(answers, contradictions);
    check_times(answers, contradictions);
    check_operations(answers, contradictions);
    return contradictions.take();
}

} // namespace auburnlb
