// Tests of questionnaires, generated configurations and service objects.
#include <fstream>
#include <functional>
#include <sstream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/state/questionnaire.hpp"
#include "auburnlb/state/service_object.hpp"

using namespace auburnlb;

namespace
{

std::string read_source_file(std::string const& path)
{
    std::ifstream file(std::string(AUBURNLB_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string key(char digit)
{
    return std::string(64, digit);
}

questionnaire model_answers()
{
    questionnaire answers;
    answers.service_ = "kalai-writer";
    answers.data_centres_ = {"Ahmedabad"};
    answers.model_layers_ = 12;
    answers.endpoint_count_ = 6;
    answers.callers_ = {{"shop-one", key('1'), workspace_size::large},
                        {"shop-two", key('2')}};
    answers.requests_ = {300, 120, 5, 60'000, 940, 44};
    return answers;
}

questionnaire plain_answers()
{
    questionnaire answers = model_answers();
    answers.service_ = "counter-app";
    answers.kind_ = service_kind::plain;
    answers.model_layers_ = 0;
    answers.requests_ = {0, 0, 5, 5'000};
    answers.operations_ = {{"*", "/orders", true},
                           {"POST", "/orders/advance", false, true},
                           {"POST", "/orders", false, true}};
    return answers;
}

struct contradiction_case
{
    char const* field_;
    char const* value_;
    std::function<void(questionnaire&)> modify_;
};

service_object make_object(questionnaire answers)
{
    service_object object;
    object.answers_ = std::move(answers);
    object.generated_ = generate_fields(object.answers_);
    object.note_ = {"c1", "asha", "first"};
    return object;
}

} // namespace

TEST(questionnaire, rendered_answers_parse_to_equal_answers)
{
    for (questionnaire const& answers : {model_answers(), plain_answers()})
    {
        EXPECT_EQ(
            parse_questionnaire("q", render_questionnaire(answers)).value(),
            answers);
        EXPECT_TRUE(find_contradictions(answers).empty());
    }
}

TEST(questionnaire, committed_schema_matches_the_code)
{
    EXPECT_EQ(read_source_file("schema/questionnaire.schema.json"),
              questionnaire_schema());
}

TEST(questionnaire, each_contradiction_is_reported_with_field_and_value)
{
    contradiction_case const model_cases[] = {
        {"model.layers", "0",
         [](auto& q)
         {
             q.model_layers_ = 0;
         }},
        {"operations", "1",
         [](auto& q)
         {
             q.operations_ = {{"GET", "/", true}};
         }},
        {"requests.answer_tokens", "0",
         [](auto& q)
         {
             q.requests_.answer_tokens_ = 0;
         }},
        {"callers[1].workspace", "\"shop-one\"",
         [](auto& q)
         {
             q.callers_[1].workspace_ = "shop-one";
         }},
        {"callers[1].key_sha256", "\"1111",
         [](auto& q)
         {
             q.callers_[1].key_sha256_ = key('1');
         }},
        {"requests.deadline_ms", "939",
         [](auto& q)
         {
             q.requests_.deadline_ms_ = 939;
         }},
        {"requests.deadline_ms", "6219",
         [](auto& q)
         {
             q.requests_.deadline_ms_ = 6'219;
         }},
        {"key_lifetime_s", "59",
         [](auto& q)
         {
             q.key_lifetime_s_ = 59;
         }},
    };
    contradiction_case const plain_cases[] = {
        {"model.layers", "3",
         [](auto& q)
         {
             q.model_layers_ = 3;
         }},
        {"operations[3].may_repeat", "true",
         [](auto& q)
         {
             q.operations_.push_back({"POST", "/orders", true});
         }},
        {"operations[3].path", "\"/orders\"",
         [](auto& q)
         {
             q.operations_.push_back({"POST", "/orders", false});
         }},
        {"operations[0].needs_key", "true",
         [](auto& q)
         {
             q.operations_[0].needs_key_ = true;
         }},
    };
    auto const check =
        [](questionnaire answers, contradiction_case const& invalid)
    {
        invalid.modify_(answers);
        auto const found = find_contradictions(answers);
        ASSERT_EQ(found.size(), 1U) << invalid.field_;
        EXPECT_EQ(found[0].code_, error_code::invalid_input);
        EXPECT_NE(found[0].detail_.find(std::string("field ") + invalid.field_),
                  std::string::npos)
            << found[0].detail_;
        EXPECT_NE(found[0].detail_.find(invalid.value_), std::string::npos)
            << found[0].detail_;
    };
    for (auto const& invalid : model_cases)
    {
        check(model_answers(), invalid);
    }
    for (auto const& invalid : plain_cases)
    {
        check(plain_answers(), invalid);
    }
}

TEST(questionnaire, schema_violations_are_reported_with_the_field)
{
    std::string json = render_questionnaire(model_answers());
    json.replace(json.find("\"large\""), 7, "\"vast\"");
    auto const parsed = parse_questionnaire("q.json", json);
    ASSERT_FALSE(parsed);
    EXPECT_NE(parsed.error().detail_.find("callers[0].size"),
              std::string::npos);
    EXPECT_NE(parsed.error().detail_.find("\"vast\""), std::string::npos);
    EXPECT_EQ(parsed.error().peer_, "q.json");
}

TEST(generate, every_field_has_a_value_in_range_and_a_reason)
{
    for (questionnaire const& answers : {model_answers(), plain_answers()})
    {
        generated_fields const generated = generate_fields(answers);
        EXPECT_EQ(generated, generate_fields(answers));
        config_fields values;
        for (auto const& [field, value] : generated)
        {
            EXPECT_FALSE(value.reason_.empty()) << field;
            values[field] = value.value_;
        }
        service_config const config = build_config(answers, values).value();
        EXPECT_EQ(fields_of(config), values);
        EXPECT_EQ(config.name_, answers.service_);
        EXPECT_EQ(config.kind_, answers.kind_);
    }
}

TEST(generate, more_specific_operations_are_listed_first)
{
    auto const object = make_object(plain_answers());
    auto const config =
        config_from_object(render_service_object(object), 1).value();
    ASSERT_EQ(config.operations_.size(), 3U);
    EXPECT_EQ(config.operations_[0].path_prefix_, "/orders/advance");
    EXPECT_EQ(config.operations_[1].method_, "POST");
    EXPECT_FALSE(config.operations_[1].is_idempotent_);
    EXPECT_EQ(config.operations_[2].method_, "*");
    EXPECT_TRUE(config.operations_[2].is_idempotent_);
}

TEST(service_object, amendments_override_regenerated_values)
{
    service_object object = make_object(model_answers());
    object.amendments_ = {{"max_tokens", std::uint64_t{2'000}},
                          {"workspaces.shop-two.weight", std::uint64_t{3}}};
    object.answers_.requests_.answer_tokens_ = 200;
    object.generated_ = generate_fields(object.answers_);
    ASSERT_FALSE(check_service_object(object));
    auto const config =
        config_from_object(render_service_object(object), 7).value();
    EXPECT_EQ(config.version_, 7U);
    EXPECT_EQ(config.max_tokens_, 2'000U);
    EXPECT_EQ(config.workspaces_[1].weight_, 3U);
    EXPECT_EQ(explain_fields(object)["max_tokens"].is_amended_, true);
    EXPECT_EQ(std::get<std::uint64_t>(object.generated_["max_tokens"].value_),
              800U);
}

TEST(service_object, invalid_amendments_are_rejected_with_field_and_value)
{
    struct invalid_amendment
    {
        char const* field_;
        config_value value_;
    };
    invalid_amendment const cases[] = {
        {"max_tokenz", std::uint64_t{1}},
        {"max_tokens", std::uint64_t{0}},
        {"max_tokens", 1.5},
        {"max_tokens", std::uint64_t{1} << 40U},
        {"max_tokens", std::string("many")},
        {"retry_ratio", -0.1},
        {"endpoints_check_fencing", std::uint64_t{1}},
        {"workspaces.gone.weight", std::uint64_t{1}},
        {"layers", std::uint64_t{11}},
        {"claim_shards", std::uint64_t{65}},
        {"workspaces.shop-one.key_sha256", key('3')},
    };
    for (invalid_amendment const& invalid : cases)
    {
        service_object object = make_object(model_answers());
        object.amendments_[invalid.field_] = invalid.value_;
        auto const failure = check_service_object(object);
        ASSERT_TRUE(failure) << invalid.field_;
        EXPECT_NE(failure->detail_.find(std::string("field ") + invalid.field_),
                  std::string::npos);
        EXPECT_NE(failure->detail_.find(to_string(invalid.value_)),
                  std::string::npos);
    }
}

TEST(service_object, unknown_fields_of_a_newer_program_are_ignored)
{
    service_object object = make_object(model_answers());
    object.generated_["a_later_field"] = {std::uint64_t{1}, "later"};
    EXPECT_TRUE(config_from_object(render_service_object(object), 1));
}

TEST(service_object, an_object_with_1200_workspaces_fits_the_size_limit)
{
    questionnaire answers = model_answers();
    answers.callers_.clear();
    for (int index = 0; index < 1'200; ++index)
    {
        std::string digits = std::to_string(index);
        answers.callers_.push_back(
            {"workspace-" + digits,
             digits + std::string(64 - digits.size(), 'a')});
    }
    service_object object = make_object(answers);
    for (std::uint64_t version = 1; version <= max_history_entries; ++version)
    {
        object.history_.push_back({version, object.note_});
    }
    EXPECT_FALSE(check_service_object(object));
    RecordProperty("bytes",
                   static_cast<int>(render_service_object(object).size()));
}

RC_GTEST_PROP(service_object, parsing_a_rendered_object_returns_an_equal_object,
              (std::uint32_t tokens, bool is_large, std::string comment))
{
    questionnaire answers = model_answers();
    answers.requests_.answer_tokens_ = 1 + tokens % 1'000;
    answers.callers_[0].size_ =
        is_large ? workspace_size::large : workspace_size::small;
    service_object object = make_object(answers);
    for (char& character : comment)
    {
        character = static_cast<char>(character & 0x7F);
    }
    object.note_.comment_ = comment;
    object.history_ = {{9, {"c0", "b", comment}}};
    object.amendments_ = {{"retry_ratio", 0.25},
                          {"endpoints_check_fencing", is_large}};
    RC_ASSERT(
        parse_service_object("o", render_service_object(object)).value() ==
        object);
}

TEST(examples, every_example_questionnaire_generates_a_valid_object)
{
    for (std::string const path :
         {"kalaiwala/kalai-writer", "kalaiwala/counter-app",
          "hrabovsky/advice-llm", "hrabovsky/order-desk"})
    {
        auto const answers = parse_questionnaire(
            path, read_source_file("examples/" + path + ".json"));
        ASSERT_TRUE(answers) << to_string(answers.error());
        EXPECT_FALSE(check_service_object(make_object(answers.value())));
        EXPECT_EQ(path.substr(path.find('/') + 1), answers.value().service_);
    }
}
