// Tests of the call proxy with a fake platform and fake plain services.
#include "auburnlb/companion/call_proxy.hpp"

#include <chrono>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include <gtest/gtest.h>

#include "auburnlb/protocol/claim_shards.hpp"
#include "fake_plain_service.hpp"
#include "fake_platform.hpp"
#include "repeating_server.hpp"

namespace auburnlb
{
namespace
{

using fakes::fake_plain_service;
using fakes::fake_platform;
using fakes::platform_faults;

constexpr seconds wait_timeout{10};

class real_clock final : public clock_source
{
public:
    time_point now() const override { return std::chrono::steady_clock::now(); }
};

template <class Condition>
bool wait_until(Condition const& condition)
{
    auto const end = std::chrono::steady_clock::now() + wait_timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{5});
    }
    return true;
}

/// Up to two endpoints of one service, each with its own call proxy.
class call_proxy_test : public ::testing::Test
{
protected:
    call_proxy_test()
    {
        service_config config;
        config.name_ = "desk";
        config.kind_ = service_kind::plain;
        config.claim_shards_ = 8;
        config_ = std::make_shared<service_config const>(config);
    }

    ~call_proxy_test() override { proxies_.clear(); }

    static std::string address_of(std::size_t index)
    {
        return "tcp://127.0.0.1:" + std::to_string(index + 1);
    }

    void start_proxy(std::size_t index)
    {
        call_proxy_options options;
        options.endpoint_url_ =
            endpoint_url_.empty() ? services_[index].base_url() : endpoint_url_;
        options.service_ = "desk";
        options.address_ = address_of(index);
        options.incarnation_ = next_incarnation_++;
        options.owner_settings_.store_timeout_ = milliseconds{300};
        options.table_check_interval_ = milliseconds{20};
        options.dead_owner_timeout_ = milliseconds{50};
        options.rebalance_delay_ = milliseconds{30};
        options.max_in_progress_ = max_in_progress_;
        incarnations_[index] = options.incarnation_;
        proxies_[index] = std::make_unique<call_proxy>(
            http_, platform_client_, options,
            [this](std::string const&, message body)
            { on_reply(std::get<call_reply>(body)); },
            clock_, metrics_, [this] { return config_; });
    }

    void send_fleet_update()
    {
        std::vector<endpoint_description> fleet;
        for (auto const& [index, proxy] : proxies_)
        {
            endpoint_description endpoint;
            endpoint.address_ = address_of(index);
            endpoint.incarnation_ = incarnations_[index];
            endpoint.service_ = "desk";
            endpoint.kind_ = service_kind::plain;
            endpoint.state_ = states_[index];
            fleet.push_back(endpoint);
        }
        for (auto const& [index, proxy] : proxies_)
        {
            proxy->on_fleet_update(fleet);
        }
    }

    /// Starts proxies and waits until they own all shards.
    void start(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            start_proxy(index);
        }
        send_fleet_update();
        ASSERT_TRUE(wait_for_owners());
    }

    bool wait_for_owners()
    {
        return wait_until(
            [this]
            {
                std::size_t owned = 0;
                for (auto const& [index, proxy] : proxies_)
                {
                    owned += proxy->owned_shard_count();
                }
                return owned == config_->claim_shards_;
            });
    }

    void on_reply(call_reply const& reply)
    {
        std::lock_guard const lock(mutex_);
        replies_[reply.request_] = reply;
        ++reply_count_;
        arrived_.notify_all();
    }

    request_id send(std::size_t index, std::string const& key,
                    std::uint32_t timeout_ms = 5'000)
    {
        call_request call;
        {
            std::lock_guard const lock(mutex_);
            call.request_ = {1, next_request_++};
        }
        call.service_ = "desk";
        call.method_ = "POST";
        call.path_ = "/bookings";
        call.body_ = "{\"van\":4}";
        call.idempotency_key_ = key;
        if (!key.empty())
        {
            call.headers_ = {{"Idempotency-Key", key}};
        }
        call.target_incarnation_ = incarnations_[index];
        call.timeout_ms_ = timeout_ms;
        proxies_.at(index)->on_call(call);
        return call.request_;
    }

    call_reply wait_for_reply(request_id request)
    {
        std::unique_lock lock(mutex_);
        bool const has_arrived = arrived_.wait_for(
            lock, wait_timeout, [&] { return replies_.contains(request); });
        EXPECT_TRUE(has_arrived) << "no reply arrived";
        return replies_[request];
    }

    call_reply call(std::size_t index, std::string const& key,
                    std::uint32_t timeout_ms = 5'000)
    {
        return wait_for_reply(send(index, key, timeout_ms));
    }

    /// Index of the proxy that is the key's owner in the claim table.
    std::size_t owner_of_key(std::string const& key)
    {
        auto const object = platform_.find(claim_table_kind, "desk");
        auto const table = table_from_json(object->value_).value();
        return owner_of(table, key).address_ == address_of(0) ? 0 : 1;
    }

    std::uint64_t executions_of(std::string const& key)
    {
        std::uint64_t count = 0;
        for (auto const& service : services_)
        {
            auto const executions = service.executions();
            auto const found = executions.by_key_.find(key);
            count += found == executions.by_key_.end() ? 0 : found->second;
        }
        return count;
    }

    std::uint64_t total_executions()
    {
        return services_[0].executions().total_ +
               services_[1].executions().total_;
    }

    fake_platform platform_;
    fake_plain_service services_[2];
    http_client http_;
    platform_client platform_client_{http_, platform_.base_url(),
                                     milliseconds{200}};
    real_clock clock_;
    metrics_registry metrics_;
    std::shared_ptr<service_config const> config_;
    std::size_t max_in_progress_ = 1'000;
    /// Used in place of the fake services if it is set.
    std::string endpoint_url_;
    incarnation_id next_incarnation_ = 10;
    std::uint64_t next_request_ = 1;
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::unordered_map<request_id, call_reply> replies_;
    std::size_t reply_count_ = 0;
    std::map<std::size_t, incarnation_id> incarnations_;
    std::map<std::size_t, host_state> states_;
    std::map<std::size_t, std::unique_ptr<call_proxy>> proxies_;
};

TEST_F(call_proxy_test, a_keyed_call_runs_once_and_is_replayed)
{
    start(1);
    auto const first = call(0, "w/a");
    EXPECT_EQ(first.status_, 200);
    EXPECT_FALSE(first.is_replay_);
    auto const second = call(0, "w/a");
    EXPECT_EQ(second.status_, 200);
    EXPECT_TRUE(second.is_replay_);
    EXPECT_EQ(second.body_, first.body_);
    EXPECT_EQ(executions_of("w/a"), 1U);
}

TEST_F(call_proxy_test, a_repeated_response_is_not_that_of_the_next_call)
{
    fakes::repeating_server const server;
    endpoint_url_ = server.base_url();
    start(1);
    for (int number = 1; number <= 20; ++number)
    {
        EXPECT_EQ(call(0, "w/" + std::to_string(number)).body_,
                  std::to_string(number));
    }
}

TEST_F(call_proxy_test, concurrent_calls_with_one_key_run_once)
{
    start(1);
    constexpr std::size_t thread_count = 4;
    constexpr std::size_t keys = 25;
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (std::size_t thread = 0; thread < thread_count; ++thread)
    {
        threads.emplace_back(
            [this]
            {
                for (std::size_t index = 0; index < keys; ++index)
                {
                    send(0, "w/" + std::to_string(index));
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    EXPECT_TRUE(wait_until(
        [this]
        {
            std::lock_guard const lock(mutex_);
            return reply_count_ == thread_count * keys;
        }));
    for (std::size_t index = 0; index < keys; ++index)
    {
        EXPECT_EQ(executions_of("w/" + std::to_string(index)), 1U);
    }
    EXPECT_TRUE(proxies_[0]->is_idle());
}

TEST_F(call_proxy_test, only_the_owner_of_a_key_runs_it)
{
    start(2);
    std::size_t const owner = owner_of_key("w/a");
    auto const refused = call(1 - owner, "w/a");
    EXPECT_EQ(refused.reason_, refusal_reason::not_shard_home);
    EXPECT_EQ(refused.run_state_, run_state::not_run);
    EXPECT_EQ(call(owner, "w/a").status_, 200);
    EXPECT_EQ(executions_of("w/a"), 1U);
}

TEST_F(call_proxy_test, a_key_of_a_dead_owner_is_unknown_and_not_run_again)
{
    start(2);
    std::size_t const owner = owner_of_key("w/a");
    EXPECT_EQ(call(owner, "w/a").status_, 200);
    proxies_.erase(owner);
    send_fleet_update();
    ASSERT_TRUE(wait_for_owners());
    auto const resent = call(1 - owner, "w/a");
    EXPECT_EQ(resent.reason_, refusal_reason::key_outcome_unknown);
    EXPECT_EQ(resent.run_state_, run_state::unknown);
    EXPECT_EQ(executions_of("w/a"), 1U);
    EXPECT_EQ(call(1 - owner, "w/b").status_, 200);
}

TEST_F(call_proxy_test, a_leaving_owner_transfers_its_outcomes)
{
    start(2);
    std::size_t const owner = owner_of_key("w/a");
    auto const first = call(owner, "w/a");
    states_[owner] = host_state::leaving;
    proxies_[owner]->begin_leaving();
    EXPECT_EQ(call(owner, "w/other").reason_, refusal_reason::endpoint_leaving);
    send_fleet_update();
    ASSERT_TRUE(wait_until(
        [&] { return proxies_[1 - owner]->owned_shard_count() == 8; }));
    EXPECT_TRUE(wait_until([&] { return proxies_[owner]->is_idle(); }));
    auto const replay = call(1 - owner, "w/a");
    EXPECT_TRUE(replay.is_replay_);
    EXPECT_EQ(replay.body_, first.body_);
    EXPECT_EQ(executions_of("w/a"), 1U);
}

TEST_F(call_proxy_test, a_new_endpoint_takes_over_its_share_of_the_shards)
{
    start(1);
    EXPECT_EQ(call(0, "w/a").status_, 200);
    start_proxy(1);
    send_fleet_update();
    EXPECT_TRUE(
        wait_until([&] { return proxies_[1]->owned_shard_count() > 0; }));
    EXPECT_TRUE(wait_for_owners());
    EXPECT_TRUE(call(owner_of_key("w/a"), "w/a").is_replay_);
    EXPECT_EQ(executions_of("w/a"), 1U);
}

TEST_F(call_proxy_test, a_lost_response_of_the_store_does_not_fail_the_call)
{
    start(1);
    platform_.set_faults({.lose_answers_ = 1});
    EXPECT_EQ(call(0, "w/a").status_, 200);
    EXPECT_EQ(executions_of("w/a"), 1U);
}

TEST_F(call_proxy_test, a_keyed_call_does_not_run_while_the_store_is_down)
{
    start(1);
    platform_faults faults;
    faults.is_down_ = true;
    platform_.set_faults(faults);
    auto const refused = call(0, "w/a");
    EXPECT_EQ(refused.reason_, refusal_reason::claim_store_unavailable);
    EXPECT_EQ(refused.run_state_, run_state::not_run);
    EXPECT_EQ(call(0, "").status_, 200)
        << "a call without a key needs no claim";
    platform_.set_faults({});
    EXPECT_TRUE(wait_until([&] { return call(0, "w/b").status_ == 200; }));
    EXPECT_EQ(executions_of("w/a"), 0U);
    EXPECT_EQ(call(0, "w/a").status_, 200);
    EXPECT_EQ(executions_of("w/a"), 1U);
}

TEST_F(call_proxy_test, a_keyed_call_is_not_sent_again_after_a_lost_response)
{
    start(1);
    services_[0].set_faults({.close_after_run_ = 2});
    auto const lost = call(0, "w/a");
    EXPECT_EQ(lost.reason_, refusal_reason::call_outcome_unknown);
    EXPECT_EQ(lost.run_state_, run_state::unknown);
    auto const resent = call(0, "w/a");
    EXPECT_EQ(resent.reason_, refusal_reason::key_outcome_unknown);
    EXPECT_EQ(executions_of("w/a"), 1U);
    EXPECT_EQ(call(0, "").run_state_, run_state::unknown);
    EXPECT_EQ(total_executions(), 2U);
}

TEST_F(call_proxy_test, a_stale_incarnation_and_overload_are_refused)
{
    max_in_progress_ = 0;
    start(1);
    EXPECT_EQ(call(0, "w/a").reason_, refusal_reason::overloaded);
    incarnations_[0] = 99;
    auto const refused = call(0, "w/a");
    EXPECT_EQ(refused.reason_, refusal_reason::stale_incarnation);
    EXPECT_EQ(refused.run_state_, run_state::not_run);
    EXPECT_EQ(total_executions(), 0U);
}

TEST_F(call_proxy_test, a_wrongly_sealed_owner_continues_in_a_new_log)
{
    start(1);
    EXPECT_EQ(call(0, "w/a").status_, 200);
    claim_log_id const log{incarnations_[0], 1};
    claim_segment const seal{"desk", log, 1, 77, 0, segment_kind::seal, {}, {}};
    std::promise<bool> sealed;
    platform_client_.put({claim_segment_kind, segment_name("desk", log, 1), 0,
                          to_json(seal), false},
                         0,
                         [&](result<std::uint64_t> const& response)
                         { sealed.set_value(response.has_value()); });
    ASSERT_TRUE(sealed.get_future().get());
    auto const fenced = call(0, "w/b");
    EXPECT_EQ(fenced.reason_, refusal_reason::not_shard_home);
    EXPECT_EQ(fenced.run_state_, run_state::not_run);
    EXPECT_EQ(executions_of("w/b"), 0U);
    EXPECT_TRUE(wait_until([&] { return call(0, "w/b").status_ == 200; }));
    EXPECT_TRUE(call(0, "w/a").is_replay_);
    EXPECT_EQ(executions_of("w/b"), 1U);
}

} // namespace
} // namespace auburnlb
