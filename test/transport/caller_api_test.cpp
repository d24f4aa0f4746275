// Tests of the callers' interface: what is taken, what is refused and how.
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "auburnlb/transport/caller_api.hpp"
#include "auburnlb/transport/digest.hpp"

using namespace auburnlb;
using nlohmann::json;

namespace
{

constexpr std::size_t body_limit = 10'000;
completion_metadata const head{{0xAB, 0x1F}, "kalai-writer", 1'700'000'000};

json valid_body()
{
    return {{"model", "kalai-writer"},
            {"messages",
             json::array({{{"role", "system"}, {"content", "be brief"}},
                          {{"role", "user"}, {"content", "write a card"}}})},
            {"max_tokens", 12},
            {"stream", true}};
}

struct bad_field
{
    std::string field_;
    json value_;
    /// What the error must name.
    std::string named_;
};

/// The data of each event, in order.
std::vector<std::string> data_lines(std::string const& events)
{
    std::vector<std::string> lines;
    std::istringstream text(events);
    for (std::string line; std::getline(text, line);)
    {
        if (line.starts_with("data: "))
        {
            lines.push_back(line.substr(6));
        }
    }
    return lines;
}

} // namespace

TEST(chat_request, renders_messages_as_roles_and_contents)
{
    auto const parsed = parse_chat_request(valid_body().dump(), body_limit);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(
        parsed.value(),
        (chat_request{"kalai-writer", "system: be brief\nuser: write a card\n",
                      12, true}));
}

TEST(chat_request, leaves_out_what_is_optional_and_ignores_the_unknown)
{
    json body = valid_body();
    body.erase("max_tokens");
    body.erase("stream");
    body["temperature"] = 0.2;
    body["n"] = 1;
    body["stop"] = nullptr;
    auto const parsed = parse_chat_request(body.dump(), body_limit);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed.value().max_tokens_, 0U);
    EXPECT_FALSE(parsed.value().is_stream_);
}

TEST(chat_request, names_the_bad_field_and_its_value)
{
    json const message = {{"role", "user"}, {"content", "x"}};
    std::vector<bad_field> const cases = {
        {"model", nullptr, "absent"},
        {"model", "", "\"\""},
        {"model", 7, "7"},
        {"messages", nullptr, "absent"},
        {"messages", json::array(), "[]"},
        {"messages", "text", "\"text\""},
        {"messages", json::array({message, 5}), "messages[1]"},
        {"messages", json::array({{{"role", "user"}}}), "messages[0].content"},
        {"messages", json::array({{{"content", "x"}}}), "messages[0].role"},
        {"messages", json::array({{{"role", "user"}, {"content", {1, 2}}}}),
         "[1,2]"},
        {"max_tokens", 0, "0"},
        {"max_tokens", -3, "-3"},
        {"max_tokens", 1.5, "1.5"},
        {"max_tokens", 5'000'000'000, "5000000000"},
        {"max_completion_tokens", "9", "\"9\""},
        {"stream", "yes", "\"yes\""},
        {"n", 2, "2"},
    };
    for (auto const& each : cases)
    {
        json body = valid_body();
        if (each.field_ == "max_completion_tokens")
        {
            body.erase("max_tokens");
        }
        body[each.field_] = each.value_;
        auto const parsed = parse_chat_request(body.dump(), body_limit);
        ASSERT_FALSE(parsed) << body;
        std::string const& detail = parsed.error().detail_;
        EXPECT_NE(detail.find("\"" + each.field_), std::string::npos) << detail;
        EXPECT_NE(detail.find(each.named_), std::string::npos) << detail;
        EXPECT_NE(detail.find("allowed is"), std::string::npos) << detail;
        EXPECT_EQ(refusal_for(parsed.error()), refusal_reason::invalid_field);
    }
}

TEST(chat_request, refuses_other_bodies_by_their_own_reasons)
{
    for (std::string const body :
         {"", "{", "[]", "7", "{\"model\":\"\xFF\"}", "null"})
    {
        auto const parsed = parse_chat_request(body, body_limit);
        ASSERT_FALSE(parsed) << body;
        EXPECT_EQ(refusal_for(parsed.error()),
                  refusal_reason::malformed_request);
    }
    auto const large = parse_chat_request(valid_body().dump(), 20);
    ASSERT_FALSE(large);
    EXPECT_EQ(refusal_for(large.error()), refusal_reason::body_too_large);
}

TEST(chat_request, refuses_nesting_that_could_exhaust_the_stack)
{
    std::string const deep(1'000'000, '[');
    std::string const closed =
        "{\"model\":" + deep + std::string(deep.size(), ']') + "}";
    for (std::string const& body : {deep, closed})
    {
        auto const parsed = parse_chat_request(body, 4'000'000);
        ASSERT_FALSE(parsed);
        EXPECT_EQ(refusal_for(parsed.error()),
                  refusal_reason::malformed_request);
    }
}

TEST(caller_options, reads_every_header_field)
{
    auto const options =
        parse_caller_options({{"authorization", "bearer s3cret"},
                              {"idempotency-key", "\"8e03\\\"-978e\""},
                              {"X-Request-Timeout-Ms", "600000"},
                              {"X-Priority", "high"},
                              {"Last-Event-ID", "ab-1f:7"}});
    ASSERT_TRUE(options) << to_string(options.error());
    EXPECT_EQ(options.value(),
              (caller_options{"s3cret", "8e03\"-978e", milliseconds(600'000), 1,
                              event_id{{0xAB, 0x1F}, 7}}));
    EXPECT_EQ(parse_caller_options({}).value(), caller_options{});
}

TEST(caller_options, names_the_bad_header_field)
{
    http_headers const cases = {
        {"Idempotency-Key", std::string(256, 'k')},
        {"Idempotency-Key", ""},
        {"Idempotency-Key", "two words"},
        {"Idempotency-Key", "\"open"},
        {"Idempotency-Key", "\"\""},
        {"Idempotency-Key", "\"a\"b"},
        {"Idempotency-Key", "\xC3\xA9"},
        {"X-Request-Timeout-Ms", ""},
        {"X-Request-Timeout-Ms", "0"},
        {"X-Request-Timeout-Ms", "600001"},
        {"X-Request-Timeout-Ms", "-1"},
        {"X-Request-Timeout-Ms", "5s"},
        {"X-Request-Timeout-Ms", "99999999999999999999"},
        {"X-Priority", "urgent"},
        {"Last-Event-ID", "7"},
        {"Last-Event-ID", "ab-1f:-1"},
        {"Last-Event-ID", ":-"},
    };
    for (auto const& each : cases)
    {
        auto const options = parse_caller_options({each});
        ASSERT_FALSE(options) << each.first << ' ' << each.second;
        EXPECT_NE(options.error().detail_.find(each.first), std::string::npos);
        EXPECT_EQ(refusal_for(options.error()), refusal_reason::invalid_field);
    }
}

TEST(caller_options, refuses_other_credentials_without_repeating_them)
{
    for (std::string const value : {"Basic abc", "Bearer ", "Bearer", "s3cret"})
    {
        auto const options = parse_caller_options({{"Authorization", value}});
        ASSERT_FALSE(options) << value;
        EXPECT_EQ(refusal_for(options.error()), refusal_reason::unauthorized);
        EXPECT_EQ(options.error().detail_.find("s3cret"), std::string::npos);
    }
}

TEST(stream_format, follows_the_chat_completions_convention)
{
    std::string const events =
        format_stream_event(head, 0, "two\nlines") +
        format_stream_event(head, 1, "\xFF") +
        format_stream_end(head, 2, finish_reason::length, {5, 3, 2});
    EXPECT_TRUE(events.starts_with("id: ab-1f:0\ndata: {"));
    EXPECT_NE(events.find("\n\nid: ab-1f:2\ndata: "), std::string::npos);
    auto const lines = data_lines(events);
    ASSERT_EQ(lines.size(), 4U);
    EXPECT_EQ(lines[3], "[DONE]");
    json const first = json::parse(lines[0]);
    EXPECT_EQ(first["object"], "chat.completion.chunk");
    EXPECT_EQ(first["id"], "chatcmpl-ab-1f");
    EXPECT_EQ(first["model"], "kalai-writer");
    EXPECT_EQ(first["choices"][0]["delta"]["role"], "assistant");
    EXPECT_EQ(first["choices"][0]["delta"]["content"], "two\nlines");
    EXPECT_TRUE(first["choices"][0]["finish_reason"].is_null());
    json const last = json::parse(lines[2]);
    EXPECT_EQ(last["choices"][0]["finish_reason"], "length");
    EXPECT_EQ(last["usage"]["total_tokens"], 7);
    EXPECT_EQ(last["usage"]["prompt_tokens_details"]["cached_tokens"], 3);
}

TEST(stream_format, errors_are_events_with_reason_and_run_state)
{
    std::string const event = format_stream_error(refusal_reason::stream_lost,
                                                  run_state::ran, "lost");
    EXPECT_TRUE(event.starts_with("event: error\n"));
    json const body = json::parse(data_lines(event).at(0));
    EXPECT_EQ(body["error"]["code"], 1206);
    EXPECT_EQ(body["error"]["reason"], "stream_lost");
    EXPECT_EQ(body["error"]["run_state"], "ran");
}

TEST(reply_format, completion_has_message_and_usage)
{
    auto const reply =
        format_completion(head, "done", finish_reason::stop, {5, 0, 1});
    EXPECT_EQ(reply.status_, 200);
    json const body = json::parse(reply.body_);
    EXPECT_EQ(body["object"], "chat.completion");
    EXPECT_EQ(body["choices"][0]["message"]["content"], "done");
    EXPECT_EQ(body["choices"][0]["finish_reason"], "stop");
    EXPECT_EQ(body["usage"]["completion_tokens"], 1);
}

TEST(reply_format, errors_carry_number_status_and_retry_after)
{
    auto const reply = format_error(refusal_reason::workspace_rate_limit,
                                    run_state::not_run, "slower", seconds(3));
    EXPECT_EQ(reply.status_, 429);
    EXPECT_EQ(find_header(reply.headers_, "Retry-After"), "3");
    EXPECT_EQ(json::parse(reply.body_),
              (json{{"error",
                     {{"code", 1101},
                      {"reason", "workspace_rate_limit"},
                      {"run_state", "not_run"},
                      {"message", "slower"}}}}));
    EXPECT_EQ(find_header(format_error(refusal_reason::unauthorized,
                                       run_state::not_run, "")
                              .headers_,
                          "Retry-After"),
              "");
}

TEST(reply_format, every_refusal_has_an_error_status)
{
    for (refusal_reason const reason : all_refusal_reasons())
    {
        EXPECT_GE(http_status(reason), 400) << to_string(reason);
        EXPECT_LT(http_status(reason), 600) << to_string(reason);
    }
}

TEST(reply_format, lists_models)
{
    json const body = json::parse(format_model_list({"a", "b"}).body_);
    EXPECT_EQ(body["object"], "list");
    EXPECT_EQ(body["data"][1]["id"], "b");
}

TEST(digest, matches_the_published_test_vector)
{
    EXPECT_EQ(
        sha256_hex("abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
