// Tests of the platform adapter against the in-process fake platform.
#include "auburnlb/transport/platform_client.hpp"

#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "fake_platform.hpp"

namespace auburnlb
{

namespace
{

using fakes::fake_platform;
using fakes::platform_faults;

/// Calls a client's asynchronous function and waits for its result.
template <class Value, class Call>
result<Value> wait_for(Call const& call)
{
    std::promise<result<Value>> promise;
    call([&](result<Value> value) { promise.set_value(std::move(value)); });
    return promise.get_future().get();
}

using object_list = std::vector<platform_object>;

class platform_client_test : public ::testing::Test
{
protected:
    fake_platform platform_;
    http_client http_;
    platform_client client_{http_, platform_.base_url()};

    result<std::uint64_t> put(std::string const& name, std::string value,
                              std::uint64_t expected)
    {
        platform_object const object{"config", name, 0, std::move(value)};
        return wait_for<std::uint64_t>(
            [&](auto handler) { client_.put(object, expected, handler); });
    }

    result<std::uint64_t> remove(std::string const& name,
                                 std::uint64_t expected)
    {
        return wait_for<std::uint64_t>(
            [&](auto handler)
            { client_.remove("config", name, expected, handler); });
    }

    result<platform_object> get(std::string const& name)
    {
        return wait_for<platform_object>(
            [&](auto handler) { client_.get("config", name, handler); });
    }

    std::future<result<object_list>> watch(std::uint64_t after,
                                           milliseconds wait)
    {
        auto promise = std::make_shared<std::promise<result<object_list>>>();
        client_.watch("config", after, wait,
                      [promise](result<object_list> const& changed)
                      { promise->set_value(changed); });
        return promise->get_future();
    }

    void wait_for_waiting_watch() const
    {
        while (platform_.waiting_watches() == 0)
        {
            std::this_thread::yield();
        }
    }
};

template <class Value>
error_code code_of(result<Value> const& outcome)
{
    EXPECT_FALSE(outcome);
    return outcome ? error_code::internal : outcome.error().code_;
}

} // namespace

TEST_F(platform_client_test, names_and_values_may_hold_any_bytes)
{
    std::string const name = "claims/kalai writer/?a=%2F&b/\xC5\xBE";
    std::string const value("a\0\xFF\n", 4);
    auto const version = put(name, value, 0);
    ASSERT_TRUE(version) << to_string(version.error());
    platform_object const expected{"config", name, version.value(), value};
    EXPECT_EQ(get(name).value(), expected);
    auto const listed = wait_for<object_list>(
        [&](auto handler) { client_.list("config", "claims/", handler); });
    ASSERT_TRUE(listed) << to_string(listed.error());
    EXPECT_EQ(listed.value(), object_list{expected});
}

TEST_F(platform_client_test, lists_by_prefix_and_kind)
{
    for (auto const* name : {"a/1", "a/2", "b/1", "a"})
    {
        ASSERT_TRUE(put(name, name, 0));
    }
    auto const listed = wait_for<object_list>(
        [&](auto handler) { client_.list("config", "a/", handler); });
    ASSERT_EQ(listed.value().size(), 2);
    EXPECT_EQ(listed.value()[0].name_, "a/1");
    EXPECT_EQ(listed.value()[1].name_, "a/2");
    auto const other = wait_for<object_list>(
        [&](auto handler) { client_.list("status", "", handler); });
    EXPECT_TRUE(other.value().empty());
}

TEST_F(platform_client_test, a_conditional_update_meets_its_conflict)
{
    auto const first = put("x", "1", 0);
    ASSERT_TRUE(first);
    EXPECT_EQ(code_of(put("x", "2", 0)), error_code::conflict);
    auto const second = put("x", "2", first.value());
    ASSERT_TRUE(second);
    EXPECT_GT(second.value(), first.value());
    EXPECT_EQ(code_of(put("x", "3", first.value())), error_code::conflict);
    EXPECT_EQ(code_of(remove("x", first.value())), error_code::conflict);
    EXPECT_EQ(get("x").value().value_, "2");
    auto const removed = remove("x", second.value());
    ASSERT_TRUE(removed);
    EXPECT_GT(removed.value(), second.value());
    EXPECT_EQ(code_of(get("x")), error_code::not_found);
    EXPECT_EQ(code_of(put("x", "4", second.value())), error_code::conflict);
    EXPECT_TRUE(put("x", "4", 0));
}

TEST_F(platform_client_test, a_value_over_a_megabyte_is_refused)
{
    EXPECT_TRUE(put("max", std::string(1U << 20U, 'v'), 0));
    EXPECT_EQ(code_of(put("big", std::string((1U << 20U) + 1, 'v'), 0)),
              error_code::invalid_input);
}

TEST_F(platform_client_test, a_lost_answer_may_hide_a_change)
{
    platform_.set_faults({.lose_answers_ = 1});
    EXPECT_EQ(code_of(put("x", "1", 0)), error_code::response_lost);
    EXPECT_EQ(get("x").value().value_, "1");
    EXPECT_EQ(platform_.calls().at("PUT config"), 1);
    EXPECT_TRUE(put("y", "1", 0));
}

TEST_F(platform_client_test, a_held_write_takes_effect_after_its_timeout)
{
    platform_.set_faults({.hold_writes_ = milliseconds(1'500)});
    platform_client impatient(http_, platform_.base_url(), milliseconds(50));
    auto const written = wait_for<std::uint64_t>(
        [&](auto handler) {
            impatient.put({"config", "x", 0, "late"}, 0, handler);
        });
    EXPECT_EQ(code_of(written), error_code::timeout);
    EXPECT_FALSE(platform_.find("config", "x"));
    while (!platform_.find("config", "x"))
    {
        std::this_thread::yield();
    }
}

TEST_F(platform_client_test, an_outage_fails_calls_and_waiting_watches)
{
    auto waiting = watch(0, milliseconds(30'000));
    wait_for_waiting_watch();
    platform_.set_faults({.is_down_ = true});
    EXPECT_EQ(code_of(waiting.get()), error_code::response_lost);
    EXPECT_EQ(code_of(get("x")), error_code::response_lost);
    EXPECT_EQ(code_of(put("x", "1", 0)), error_code::response_lost);
    platform_.set_faults({.is_failing_ = true});
    EXPECT_EQ(code_of(get("x")), error_code::response_lost);
    platform_.set_faults({});
    EXPECT_TRUE(put("x", "1", 0));
}

TEST_F(platform_client_test, a_watch_waits_for_changes_and_deletions)
{
    auto const first = put("x", "1", 0).value();
    EXPECT_EQ(watch(0, milliseconds(30'000)).get().value().front().version_,
              first);
    auto changed = watch(first, milliseconds(30'000));
    wait_for_waiting_watch();
    auto const second = put("y", "2", 0).value();
    platform_object const expected{"config", "y", second, "2"};
    EXPECT_EQ(changed.get().value(), object_list{expected});

    auto deleted = watch(second, milliseconds(30'000));
    wait_for_waiting_watch();
    auto const third = remove("x", first).value();
    platform_object const gone{"config", "x", third, "", true};
    EXPECT_EQ(deleted.get().value(), object_list{gone});

    EXPECT_TRUE(watch(third, milliseconds(20)).get().value().empty());
    EXPECT_EQ(platform_.calls().at("WATCH config"), 4);
    EXPECT_EQ(platform_.waiting_watches(), 0);
}

TEST_F(platform_client_test, reads_the_host_list)
{
    std::vector<host_entry> const hosts{
        {"e1", host_role::entry, "tcp://127.0.0.1:1", "surat", "gujarat",
         host_state::live},
        {"h1", host_role::endpoint, "tcp://127.0.0.1:2", "rajkot", "gujarat",
         host_state::leaving}};
    platform_.set_hosts(hosts);
    auto const listed = wait_for<std::vector<host_entry>>(
        [&](auto handler) { client_.hosts(handler); });
    ASSERT_TRUE(listed) << to_string(listed.error());
    EXPECT_EQ(listed.value(), hosts);
}

} // namespace auburnlb
