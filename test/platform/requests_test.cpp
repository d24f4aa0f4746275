// Tests of requests and answers on the wire.
#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "protocol.hpp"

using namespace auburnlb;

namespace
{

http_head usual_head()
{
    http_head head;
    head.method_ = "POST";
    head.target_ = "/path/x";
    head.fields_ = {{"Host", "host.example"},
                    {"Auburnlb-Request-Id", "id-1"},
                    {"Auburnlb-Model", "model-1"},
                    {"Auburnlb-Token-Counts", "1460,80"},
                    {"Auburnlb-Length-Hint", "60"},
                    {"Auburnlb-Prefix-Hash", "5c1e07a2:800,91bd:410,e4:250"},
                    {"Auburnlb-Deadline-Ms", "20000"},
                    {"Last-Event-Id", "12"},
                    {"Authorization", "Token key-1"},
                    {"X-Own", "kept"}};
    return head;
}

void set_field(http_head& head, std::string const& name,
               std::string const& value)
{
    for (http_field& field : head.fields_)
    {
        if (field.name_ == name)
        {
            field.value_ = value;
        }
    }
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

endpoint_request usual_request()
{
    endpoint_request request;
    request.endpoint_id_ = "i-1";
    request.time_left_ = milliseconds(1'234);
    request.workspace_ = "workspace-1";
    request.last_event_id_ = 14;
    request.path_ = {{"i-1", "10.0.0.1:80", {0, 20}},
                     {"i-2", "10.0.0.2:80", {20, 80}}};
    return request;
}

} // namespace

TEST(platform_requests, reads_what_a_caller_says)
{
    caller_request const request = platform::read_request(usual_head()).value();
    EXPECT_EQ(request.id_, "id-1");
    EXPECT_EQ(request.api_key_, "key-1");
    EXPECT_EQ(request.deadline_, milliseconds(20'000));
    EXPECT_EQ(request.last_event_id_, 12U);
    EXPECT_EQ(request.prompt_tokens_, 1'460U);
    EXPECT_EQ(request.max_output_tokens_, 80U);
    EXPECT_EQ(request.estimated_output_tokens_, 60U);
    EXPECT_EQ(request.shared_prompt_parts_,
              (std::vector<std::string>{"5c1e07a2", "91bd"}));
}

TEST(platform_requests, an_answer_names_the_rate_that_its_engine_takes)
{
    http_head head;
    EXPECT_EQ(platform::read_response(head).rate_limit_, std::nullopt);
    head.fields_ = {{"Server-Limit", "2.75"}};
    EXPECT_EQ(platform::read_response(head).rate_limit_, 2.75);
    for (char const* const value : {"few", "nan", "inf", "-1"})
    {
        head.fields_ = {{"Server-Limit", value}};
        EXPECT_EQ(platform::read_response(head).rate_limit_, std::nullopt)
            << value;
    }
}

TEST(platform_requests, reads_that_an_engine_leaves)
{
    http_head head;
    head.status_ = 200;
    EXPECT_FALSE(platform::read_response(head).is_leaving_);
    head.fields_ = {{"server-leaving", "1"}};
    EXPECT_TRUE(platform::read_response(head).is_leaving_);
    head.fields_ = {{"Server-Leaving", "0"}};
    EXPECT_FALSE(platform::read_response(head).is_leaving_);
}

TEST(platform_requests, reads_the_backoff_that_a_refusal_asks_for)
{
    http_head head;
    head.status_ = 503;
    EXPECT_EQ(platform::read_response(head).backoff_, std::nullopt);
    head.fields_ = {{"Retry-After", "2.5"}};
    EXPECT_EQ(platform::read_response(head).backoff_, milliseconds(2'500));
    head.status_ = 429;
    EXPECT_EQ(platform::read_response(head).backoff_, std::nullopt);
    head.status_ = 503;
    for (char const* const value :
         {"", "soon", "-1", "nan", "inf", "Fri, 04 Dec 2026 12:00:00 GMT"})
    {
        head.fields_ = {{"Retry-After", value}};
        EXPECT_EQ(platform::read_response(head).backoff_, std::nullopt)
            << value;
    }
    head.fields_ = {{"Retry-After", "1e300"}};
    EXPECT_EQ(platform::read_response(head).backoff_, std::chrono::hours(24));
}

TEST(platform_requests, a_prompt_of_one_part_or_of_none_shares_nothing)
{
    http_head head = usual_head();
    for (char const* const value : {"5c1e07a2:800", ""})
    {
        set_field(head, "Auburnlb-Prefix-Hash", value);
        EXPECT_TRUE(
            platform::read_request(head).value().shared_prompt_parts_.empty());
    }
}

TEST(platform_requests, names_the_field_that_cannot_be_read)
{
    for (auto const& [name, value] :
         {std::pair{"Auburnlb-Deadline-Ms", "soon"},
          std::pair{"Auburnlb-Token-Counts", "12"},
          std::pair{"Auburnlb-Token-Counts", "12,x"},
          std::pair{"Auburnlb-Prefix-Hash", "5c:800,\xff\xfe:410,e4:250"},
          std::pair{"Auburnlb-Prefix-Hash", "5c 1e:800,e4:250"},
          std::pair{"Last-Event-Id", "-1"}})
    {
        http_head head = usual_head();
        set_field(head, name, value);
        auto const request = platform::read_request(head);
        ASSERT_FALSE(request) << name;
        EXPECT_TRUE(contains(request.error().detail_, name));
        EXPECT_TRUE(contains(request.error().detail_, value));
    }
}

TEST(platform_requests, a_request_without_id_is_an_error)
{
    http_head head = usual_head();
    set_field(head, "Auburnlb-Request-Id", "");
    auto const request = platform::read_request(head);
    ASSERT_FALSE(request);
    EXPECT_TRUE(contains(request.error().detail_, "Auburnlb-Request-Id"));
}

TEST(platform_requests, another_scheme_is_no_key)
{
    http_head head = usual_head();
    set_field(head, "Authorization", "Basic key-1");
    EXPECT_EQ(platform::read_request(head).value().api_key_, std::nullopt);
}

TEST(platform_requests, an_engine_gets_the_path_and_never_the_key)
{
    std::string const text =
        platform::write_request(usual_head(), "body", usual_request());
    EXPECT_TRUE(text.starts_with("POST /path/x HTTP/1.1\r\n"));
    EXPECT_TRUE(text.ends_with("\r\n\r\nbody"));
    EXPECT_TRUE(contains(text, "\r\nAuburnlb-Request-Id: id-1\r\n"));
    EXPECT_TRUE(contains(text, "\r\nAuburnlb-Deadline-Ms: 1234\r\n"));
    EXPECT_TRUE(contains(text, "\r\nAuburnlb-Expect-Instance: i-1\r\n"));
    EXPECT_TRUE(contains(text, "\r\nAuburnlb-Tenant: workspace-1\r\n"));
    EXPECT_TRUE(contains(text, "\r\nLast-Event-Id: 14\r\n"));
    EXPECT_TRUE(contains(text, "\r\nAuburnlb-Hop-Count: "
                               "10.0.0.1:80=0-20,10.0.0.2:80=20-80\r\n"));
    EXPECT_TRUE(contains(text, "\r\nContent-Length: 4\r\n"));
    EXPECT_TRUE(contains(text, "\r\nX-Own: kept\r\n"));
    EXPECT_FALSE(contains(text, "key-1"));
    EXPECT_FALSE(contains(text, "20000"));
}

TEST(platform_requests, a_caller_cannot_set_the_fields_of_the_router)
{
    http_head head = usual_head();
    for (char const* const name :
         {"auburnlb-tenant", "Auburnlb-Expect-Instance", "AUBURNLB-HOP-COUNT",
          "Auburnlb-Request-Urgency", "Auburnlb-Expect-Version",
          "Content-Length"})
    {
        head.fields_.push_back({name, "forged"});
    }
    endpoint_request request = usual_request();
    request.workspace_.reset();
    EXPECT_FALSE(
        contains(platform::write_request(head, "", request), "forged"));
}

TEST(platform_requests, fields_of_the_connection_are_not_passed_on)
{
    http_head head = usual_head();
    head.fields_.push_back({"Connection", "keep-alive, X-Own, Auburnlb-Model"});
    head.fields_.push_back({"Keep-Alive", "timeout=5"});
    head.fields_.push_back({"Transfer-Encoding", "chunked"});
    std::string const text = platform::write_request(head, "", usual_request());
    EXPECT_FALSE(contains(text, "X-Own"));
    EXPECT_FALSE(contains(text, "Keep-Alive"));
    EXPECT_FALSE(contains(text, "chunked"));
    // What identifies the work reaches the engine whatever the caller lists.
    EXPECT_TRUE(contains(text, "Auburnlb-Model: model-1"));
}

TEST(platform_requests, reads_what_an_answer_says)
{
    http_head head;
    head.status_ = 503;
    head.fields_ = {{"Auburnlb-Not-Executed", "1"},
                    {"At-Server", "10.0.0.2:80"},
                    {"Auburnlb-Request-Id", "id-1"}};
    endpoint_response const refusal = platform::read_response(head);
    EXPECT_TRUE(refusal.is_not_executed_);
    EXPECT_FALSE(refusal.is_signed_);
    EXPECT_EQ(refusal.faulty_address_, "10.0.0.2:80");
    EXPECT_EQ(refusal.request_id_, "id-1");

    head.status_ = 200;
    head.fields_ = {{"auburnlb-response-stamp", "s"}};
    EXPECT_TRUE(platform::read_response(head).is_signed_);
    EXPECT_FALSE(platform::read_response(head).is_not_executed_);

    head.status_ = 503;
    head.fields_.clear();
    EXPECT_FALSE(platform::read_response(head).is_not_executed_);
    head.status_ = 421;
    EXPECT_TRUE(platform::read_response(head).is_not_executed_);
}

TEST(platform_requests, a_head_with_two_names_or_signatures_is_of_two_answers)
{
    for (char const* const name :
         {"Auburnlb-Request-Id", "Auburnlb-Response-Stamp",
          "Auburnlb-Not-Executed"})
    {
        http_head head;
        head.status_ = 200;
        head.fields_ = {{name, "1"}, {"X-Own", "1"}, {"x-own", "2"}};
        EXPECT_FALSE(platform::read_response(head).has_repeated_fields_);
        head.fields_.push_back({name, "1"});
        EXPECT_TRUE(platform::read_response(head).has_repeated_fields_);
    }
}

// Each field used to be compared with all others, in the router's only thread.
TEST(platform_requests, a_head_with_many_fields_takes_little_time)
{
    constexpr int fields = 30'000;
    constexpr std::chrono::milliseconds longest_time{250};
    http_head head = usual_head();
    std::string connection = "close";
    for (int count = 0; count < fields; ++count)
    {
        std::string const name = "x" + std::to_string(count);
        head.fields_.push_back({name, ""});
        connection += ",y" + std::to_string(count);
    }
    head.fields_.push_back({"Connection", connection});
    auto const began = std::chrono::steady_clock::now();
    std::string const text = platform::write_request(head, "", usual_request());
    EXPECT_LT(std::chrono::steady_clock::now() - began, longest_time);
    EXPECT_TRUE(contains(text, "\r\nx29999: \r\n"));
    EXPECT_FALSE(contains(text, "Connection"));
}
