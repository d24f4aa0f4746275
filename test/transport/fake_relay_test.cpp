// Tests of the HTTP client through a relay that goes silent or breaks, and of
// the fake plain service that counts what it executes.
#include <future>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "auburnlb/transport/http_client.hpp"

#include "fake_plain_service.hpp"
#include "fake_relay.hpp"

namespace auburnlb
{

namespace
{

using fakes::fake_plain_service;
using fakes::fake_relay;

class relayed_service : public ::testing::Test
{
protected:
    fake_plain_service service_;
    fake_relay relay_{0, "127.0.0.1:" + std::to_string(service_.port())};
    http_client http_;

    result<http_response> call(std::string const& key,
                               milliseconds timeout = milliseconds(10'000))
    {
        http_request request{
            "POST",
            "http://127.0.0.1:" + std::to_string(relay_.port()) + "/book",
            {{"Idempotency-Key", key}},
            "a van",
            timeout};
        return http_.send_and_wait(std::move(request));
    }

    std::uint64_t executions(std::string const& key) const
    {
        auto const counted = service_.executions();
        auto const found = counted.by_key_.find(key);
        return found == counted.by_key_.end() ? 0 : found->second;
    }
};

error_code code_of(result<http_response> const& answer)
{
    EXPECT_FALSE(answer);
    return answer ? error_code::internal : answer.error().code_;
}

} // namespace

TEST_F(relayed_service, counts_each_execution_by_key_and_path)
{
    ASSERT_TRUE(call("k1"));
    auto const answer = call("k1");
    ASSERT_TRUE(answer);
    auto const body = nlohmann::json::parse(answer.value().body_);
    EXPECT_EQ(body.at("execution"), 2);
    EXPECT_EQ(body.at("key"), "k1");
    EXPECT_EQ(body.at("body_hash"), fakes::body_hash("a van"));
    EXPECT_EQ(service_.executions().by_path_.at("/book"), 2);
}

TEST_F(relayed_service, a_lost_answer_tells_nothing_about_the_execution)
{
    ASSERT_TRUE(call("first"));
    service_.set_faults({.close_before_run_ = 1});
    EXPECT_EQ(code_of(call("k1")), error_code::response_lost);
    EXPECT_EQ(executions("k1"), 0);
    service_.set_faults({.close_after_run_ = 1});
    EXPECT_EQ(code_of(call("k2")), error_code::response_lost);
    EXPECT_EQ(executions("k2"), 1);
    EXPECT_TRUE(call("k3"));
}

TEST_F(relayed_service, a_silent_connection_times_out_and_a_new_one_works)
{
    ASSERT_TRUE(call("k1"));
    relay_.silence();
    EXPECT_EQ(code_of(call("k2", milliseconds(100))), error_code::timeout);
    EXPECT_EQ(executions("k2"), 0);
    EXPECT_EQ(relay_.counts().silent_, 1);
    EXPECT_TRUE(call("k3"));
}

TEST_F(relayed_service, an_isolated_peer_stays_silent_until_healed)
{
    relay_.isolate();
    EXPECT_EQ(code_of(call("k1", milliseconds(100))), error_code::timeout);
    relay_.heal();
    EXPECT_TRUE(call("k2"));
}

TEST_F(relayed_service, a_cut_loses_the_answer_of_what_runs)
{
    service_.set_faults({.delay_ = milliseconds(60'000)});
    auto running =
        std::async(std::launch::async, [this] { return call("k1"); });
    while (executions("k1") == 0)
    {
        std::this_thread::yield();
    }
    relay_.cut();
    EXPECT_EQ(code_of(running.get()), error_code::response_lost);
    EXPECT_EQ(executions("k1"), 1);
}

TEST_F(relayed_service, answers_get_lost_while_requests_arrive)
{
    ASSERT_TRUE(relay_.run_command("lose"));
    EXPECT_EQ(code_of(call("k1", milliseconds(100))), error_code::timeout);
    EXPECT_EQ(executions("k1"), 1);
    relay_.heal();
    EXPECT_TRUE(call("k2"));
}

TEST_F(relayed_service, a_reset_loses_the_answer_of_what_runs)
{
    service_.set_faults({.delay_ = milliseconds(60'000)});
    auto running =
        std::async(std::launch::async, [this] { return call("k1"); });
    while (executions("k1") == 0)
    {
        std::this_thread::yield();
    }
    ASSERT_TRUE(relay_.run_command("reset"));
    EXPECT_EQ(code_of(running.get()), error_code::response_lost);
    EXPECT_EQ(executions("k1"), 1);
}

TEST_F(relayed_service, new_connections_go_to_another_target)
{
    fake_plain_service other;
    ASSERT_TRUE(call("k1"));
    ASSERT_TRUE(
        relay_.run_command("to 127.0.0.1:" + std::to_string(other.port())));
    ASSERT_TRUE(call("k2"));
    EXPECT_EQ(executions("k2"), 1);
    http_client newcomer;
    auto const answer = newcomer.send_and_wait(
        {"POST",
         "http://127.0.0.1:" + std::to_string(relay_.port()) + "/book",
         {},
         "a van"});
    ASSERT_TRUE(answer) << to_string(answer.error());
    EXPECT_EQ(other.executions().total_, 1);
    EXPECT_EQ(service_.executions().total_, 2);
    EXPECT_FALSE(relay_.run_command("to nowhere"));
}

TEST_F(relayed_service, delay_and_rate_slow_the_answer_down)
{
    auto timed_call = [this]
    {
        auto const start = std::chrono::steady_clock::now();
        EXPECT_TRUE(call("k"));
        return std::chrono::steady_clock::now() - start;
    };
    ASSERT_TRUE(relay_.run_command("delay 50"));
    EXPECT_GE(timed_call(), milliseconds(100));
    ASSERT_TRUE(relay_.run_command("delay 0"));
    ASSERT_TRUE(relay_.run_command("rate 2000"));
    EXPECT_GE(timed_call(), milliseconds(100));
    EXPECT_FALSE(relay_.run_command("delay"));
    EXPECT_FALSE(relay_.run_command("jam"));
}

} // namespace auburnlb
