// Tests of the administration API with an in-memory store.
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "auburnlb/coordination/admin_api.hpp"
#include "auburnlb/coordination/configuration.hpp"
#include "coordination/memory_store.hpp"
#include "coordination/sample_answers.hpp"

using namespace auburnlb;
using namespace auburnlb::test;
using nlohmann::json;

namespace
{

class admin_api_test : public testing::Test
{
protected:
    admin_response call(std::string const& method, std::string const& path,
                        json const& body = json(),
                        std::string const& token = "secret")
    {
        admin_response response{0, ""};
        api_.handle({method, "/admin/v1/" + path, body.dump(), token, "asha"},
                    [&](admin_response received)
                    {
                        EXPECT_EQ(response.status_, 0);
                        response = std::move(received);
                    });
        store_.run_until_idle();
        return response;
    }

    std::uint64_t create_service()
    {
        auto const response =
            call("PUT", "services/kalai-writer",
                 {{"expected_version", 0},
                  {"change_id", "c1"},
                  {"questionnaire",
                   json::parse(render_questionnaire(model_answers()))}});
        EXPECT_EQ(response.status_, 200) << response.body_;
        return json::parse(response.body_).at("version");
    }

    json amendment(std::uint64_t expected, char const* id, int tokens)
    {
        return {{"expected_version", expected},
                {"change_id", id},
                {"comment", "more"},
                {"amendments", {{"max_tokens", tokens}}}};
    }

    memory_store store_;
    int accepted_ = 0;
    admin_api api_{store_,
                   "secret",
                   {[] { return std::string("{\"ready\": true}"); },
                    [](std::string const& endpoint,
                       std::function<void(result<std::string>)> const& handler)
                    {
                        if (endpoint != "engine-1")
                        {
                            handler(error{error_code::not_found, "drain", "",
                                          "no such endpoint"});
                            return;
                        }
                        handler(std::string("{\"state\": \"leaving\"}"));
                    },
                    [this](std::string const&, std::uint64_t,
                           std::string const&) { ++accepted_; },
                    []
                    {
                        return std::string("{}");
                    }}};
};

} // namespace

TEST_F(admin_api_test, requests_without_the_right_token_are_refused)
{
    for (char const* path :
         {"services", "status", "version", "services/kalai-writer", "nowhere"})
    {
        EXPECT_EQ(call("GET", path, json(), "wrong").status_, 401) << path;
        EXPECT_EQ(call("GET", path, json(), "").status_, 401) << path;
        EXPECT_EQ(call("GET", path, json(), "secret ").status_, 401) << path;
    }
    EXPECT_TRUE(store_.log().empty());
}

TEST_F(admin_api_test, a_service_can_be_created_amended_shown_and_listed)
{
    std::uint64_t const first = create_service();
    auto const amended =
        call("PATCH", "services/kalai-writer", amendment(first, "c2", 2'000));
    ASSERT_EQ(amended.status_, 200) << amended.body_;
    EXPECT_EQ(json::parse(amended.body_)["changes"][0]["field"], "max_tokens");
    auto const shown = json::parse(call("GET", "services/kalai-writer").body_);
    EXPECT_EQ(shown["fields"]["max_tokens"]["value"], 2'000);
    EXPECT_EQ(shown["fields"]["max_tokens"]["origin"], "amended");
    EXPECT_EQ(shown["note"]["author"], "asha");
    auto const listed = json::parse(call("GET", "services").body_);
    EXPECT_EQ(listed["services"][0]["version"], shown["version"]);
    EXPECT_EQ(accepted_, 2);
}

TEST_F(admin_api_test, a_conflict_names_the_author_and_the_changed_fields)
{
    std::uint64_t const first = create_service();
    call("PATCH", "services/kalai-writer", amendment(first, "c2", 2'000));
    auto const conflict =
        call("PATCH", "services/kalai-writer", amendment(first, "c3", 3'000));
    ASSERT_EQ(conflict.status_, 409);
    auto const body = json::parse(conflict.body_);
    EXPECT_GT(body["version"], first);
    EXPECT_EQ(body["note"]["author"], "asha");
    ASSERT_EQ(body["changes"].size(), 1U);
    EXPECT_EQ(body["changes"][0]["field"], "max_tokens");
    EXPECT_EQ(body["changes"][0]["before"], 480);
    EXPECT_EQ(body["changes"][0]["after"], 2'000);
}

TEST_F(admin_api_test, the_same_change_id_is_accepted_once)
{
    std::uint64_t const first = create_service();
    auto const once =
        call("PATCH", "services/kalai-writer", amendment(first, "c2", 2'000));
    auto const again =
        call("PATCH", "services/kalai-writer", amendment(first, "c2", 2'000));
    EXPECT_EQ(again.status_, 200);
    EXPECT_EQ(json::parse(again.body_)["version"],
              json::parse(once.body_)["version"]);
}

TEST_F(admin_api_test, rollback_restores_earlier_content_as_a_new_version)
{
    std::uint64_t const first = create_service();
    auto const amended = json::parse(
        call("PATCH", "services/kalai-writer", amendment(first, "c2", 2'000))
            .body_);
    auto const rolled_back = call("POST", "services/kalai-writer/rollback",
                                  {{"expected_version", amended["version"]},
                                   {"change_id", "c3"},
                                   {"to_version", first}});
    ASSERT_EQ(rolled_back.status_, 200) << rolled_back.body_;
    EXPECT_GT(json::parse(rolled_back.body_)["version"], amended["version"]);
    auto const shown = json::parse(call("GET", "services/kalai-writer").body_);
    EXPECT_EQ(shown["fields"]["max_tokens"]["value"], 480);
    auto const history =
        json::parse(call("GET", "services/kalai-writer/history").body_);
    ASSERT_EQ(history["versions"].size(), 3U);
    EXPECT_EQ(history["versions"][2]["version"], first);
    auto const old =
        call("GET", "services/kalai-writer/history/" + std::to_string(first));
    EXPECT_EQ(json::parse(old.body_)["note"]["change_id"], "c1");
}

TEST_F(admin_api_test, errors_name_the_invalid_part_of_a_request)
{
    std::uint64_t const first = create_service();
    struct invalid_request
    {
        char const* method_;
        char const* path_;
        json body_;
        int status_;
        char const* expected_text_;
    };
    invalid_request const cases[] = {
        {"PATCH", "services/kalai-writer", json(), 400, "JSON object"},
        {"PATCH",
         "services/kalai-writer",
         {{"change_id", "x"}},
         400,
         "expected_version"},
        {"PATCH",
         "services/kalai-writer",
         {{"expected_version", -1}},
         400,
         "-1"},
        {"PATCH",
         "services/kalai-writer",
         {{"expected_version", 1}},
         400,
         "change_id"},
        {"PATCH", "services/kalai-writer", {{"expected", 1}}, 400, "unknown"},
        {"PUT", "services/kalai-writer", amendment(first, "c", 1), 400,
         "questionnaire"},
        {"PATCH", "services/kalai-writer", amendment(first, "c", 0), 400,
         "max_tokens"},
        {"PATCH", "services/other", amendment(first, "c", 1), 404, "other"},
        {"GET", "services/other", json(), 404, "other"},
        {"GET", "services/kalai-writer/history/99", json(), 404, "99"},
        {"GET", "nowhere", json(), 404, "nowhere"},
        {"DELETE", "services/kalai-writer", json(), 405, "DELETE"},
        {"POST", "status", json(), 405, "POST"},
        {"GET", "endpoints/engine-1/drain", json(), 405, "GET"},
        {"POST", "endpoints/engine-2/drain", json(), 404, "endpoint"},
    };
    for (invalid_request const& invalid : cases)
    {
        auto const response =
            call(invalid.method_, invalid.path_, invalid.body_);
        EXPECT_EQ(response.status_, invalid.status_) << response.body_;
        EXPECT_NE(response.body_.find(invalid.expected_text_),
                  std::string::npos)
            << response.body_;
    }
    EXPECT_EQ(call("POST", "endpoints/engine-1/drain").status_, 202);
    EXPECT_EQ(json::parse(call("GET", "services").body_)["services"].size(),
              1U);
}

TEST_F(admin_api_test, deeply_nested_bodies_are_refused)
{
    std::string const deep(1'000'000, '[');
    std::string const closed = deep + std::string(deep.size(), ']');
    for (char const* field : {"questionnaire", "change_id", "amendments"})
    {
        std::string const body =
            "{\"" + std::string(field) + "\": " + closed + "}";
        admin_response response;
        api_.handle({"PUT", "/admin/v1/services/s", body, "secret", ""},
                    [&](admin_response received)
                    { response = std::move(received); });
        EXPECT_EQ(response.status_, 400);
    }
}

TEST_F(admin_api_test, an_unreachable_platform_gives_status_503)
{
    admin_response response;
    api_.handle({"GET", "/admin/v1/services", "", "secret", ""},
                [&](admin_response received)
                { response = std::move(received); });
    store_.run(0, store_call_outcome::unreachable);
    EXPECT_EQ(response.status_, 503);
}
