// Tests of the engine adapter against the in-process fake engine.
#include "auburnlb/transport/engine_client.hpp"

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

#include <gtest/gtest.h>

#include "fake_engine.hpp"
#include "fake_http.hpp"
#include "reference_model.hpp"
#include "scripted_server.hpp"

namespace auburnlb
{

namespace
{

using fakes::fake_engine;
using fakes::fake_engine_options;

fake_engine_options fast_options(layer_range layers)
{
    fake_engine_options options;
    options.layers_ = layers;
    options.step_time_ = microseconds(100);
    options.token_time_ = microseconds(1);
    options.prefill_time_ = microseconds(1);
    return options;
}

/// Calls a client's asynchronous function and waits for its result.
template <class Value, class Call>
result<Value> wait_for(Call const& call)
{
    std::promise<result<Value>> promise;
    call([&](result<Value> value) { promise.set_value(std::move(value)); });
    return promise.get_future().get();
}

/// One engine with a client of its own.
struct served_engine
{
    fake_engine engine_;
    http_client http_;
    engine_client client_{http_, engine_.base_url()};

    explicit served_engine(fake_engine_options const& options)
        : engine_(options)
    {
    }

    result<std::vector<engine_step_result>>
    try_run(std::vector<engine_step> const& steps)
    {
        return wait_for<std::vector<engine_step_result>>(
            [&](auto handler) { client_.run(steps, seconds(20), handler); });
    }

    engine_step_result run(engine_step const& step)
    {
        auto const answer = try_run({step});
        return answer ? answer.value().front()
                      : engine_step_result{"", to_string(answer.error()), {}};
    }

    engine_status status()
    {
        return wait_for<engine_status>([&](auto handler)
                                       { client_.status(handler); })
            .value();
    }
};

/// An engine that refuses orders, and writes its last response once more before
/// the next one on a connection. Each request has a JSON object as its body.
class late_engine
{
public:
    std::string url() const { return server_.base_url(); }

private:
    fakes::scripted_server server_{
        "}", [](std::string const& request, std::string& last)
        {
            std::string const own =
                request.find("/v1/orders ") == std::string::npos
                    ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
                    : "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}";
            return std::vector<std::string>{std::exchange(last, own) + own};
        }};
};

engine_step prompt_step(std::string stream, std::string prompt)
{
    return {std::move(stream), 0, {std::move(prompt)}, 10, 0, true};
}

} // namespace

TEST(engine_client, a_chain_of_engines_gives_the_expected_answer)
{
    served_engine first(fast_options({0, 3}));
    served_engine last(fast_options({3, 8}));
    std::string answer;
    std::string input = "mend the pan";
    for (std::uint32_t position = 0; position < 5; ++position)
    {
        auto const hidden = first.run({"s", position, {input}, 4, 0, false});
        ASSERT_EQ(hidden.failure_, "");
        auto const token =
            last.run({"s", position, hidden.outputs_, 4, 0, true});
        ASSERT_EQ(token.failure_, "");
        input = token.outputs_.front();
        answer += input;
    }
    EXPECT_EQ(answer, fakes::expected_answer("mend the pan", 8, 5));
}

TEST(engine_client, a_repeated_result_is_not_that_of_the_next_step)
{
    auto const server = fakes::fake_http_server::start(
        0,
        [](incoming_request const&,
           std::shared_ptr<fakes::fake_reply> const& reply)
        {
            reply->send({200,
                         {},
                         R"({"results": [{"stream": "s", "position": 3,
                                          "outputs": ["pan"]}]})"});
        });
    http_client http;
    engine_client client(http, fakes::loopback_url(server->port()));
    auto const run = [&client](std::uint32_t position)
    {
        return wait_for<std::vector<engine_step_result>>(
            [&](auto handler) {
                client.run({{"s", position, {"in"}, 0, 0, true}}, seconds(5),
                           handler);
            });
    };
    EXPECT_TRUE(run(3));
    auto const next = run(4);
    ASSERT_FALSE(next);
    EXPECT_EQ(next.error().code_, error_code::response_lost);
}

TEST(engine_client, a_late_copy_is_not_the_response_to_an_order)
{
    late_engine const engine;
    http_client http;
    engine_client client(http, engine.url());
    EXPECT_TRUE(
        wait_for<bool>([&](auto handler) { client.release({"s"}, handler); }));
    auto const ordered = wait_for<bool>(
        [&](auto handler) {
            client.assign_layers({0, 4}, 1, handler);
        });
    ASSERT_FALSE(ordered);
    EXPECT_EQ(ordered.error().code_, error_code::conflict);
}

TEST(engine_client, a_replay_of_tokens_continues_the_same_answer)
{
    served_engine engine(fast_options({0, 8}));
    auto const one = engine.run(prompt_step("a", "p")).outputs_.front();
    auto const two = engine.run({"a", 1, {one}, 0, 0, true}).outputs_.front();
    auto const replayed = engine.run({"b", 0, {"p", one, two}, 1, 0, true});
    EXPECT_EQ(one + two + replayed.outputs_.front(),
              fakes::expected_answer("p", 8, 3));
}

TEST(engine_client, refuses_every_position_but_the_next)
{
    served_engine engine(fast_options({0, 8}));
    EXPECT_EQ(engine.run({"s", 1, {"x"}, 0, 0, true}).failure_, "position");
    ASSERT_EQ(engine.run(prompt_step("s", "p")).failure_, "");
    EXPECT_EQ(engine.run(prompt_step("s", "p")).failure_, "position");
    EXPECT_EQ(engine.run({"s", 2, {"x"}, 0, 0, true}).failure_, "position");
    EXPECT_EQ(engine.run({"s", 1, {"x"}, 0, 0, true}).failure_, "");
    EXPECT_EQ(engine.engine_.counts().steps_, 2);
}

TEST(engine_client, frees_memory_on_release_and_refuses_when_full)
{
    auto options = fast_options({0, 8});
    options.kv_tokens_ = 25;
    served_engine engine(options);
    ASSERT_EQ(engine.run(prompt_step("a", "p")).failure_, "");
    ASSERT_EQ(engine.run(prompt_step("b", "q")).failure_, "");
    EXPECT_EQ(engine.run(prompt_step("c", "r")).failure_, "full");
    ASSERT_EQ(engine.run({"a", 1, {"x"}, 0, 0, true}).failure_, "");
    EXPECT_EQ(engine.status().kv_used_tokens_, 21);
    EXPECT_EQ(engine.status().streams_, 2);

    auto const released = wait_for<bool>(
        [&](auto handler) {
            engine.client_.release({"a", "none"}, handler);
        });
    ASSERT_TRUE(released);
    EXPECT_EQ(engine.status().kv_used_tokens_, 10);
    EXPECT_EQ(engine.run(prompt_step("c", "r")).failure_, "");
    EXPECT_EQ(engine.status().kv_used_tokens_, 20);
}

TEST(engine_client, later_stages_learn_where_the_answer_ends)
{
    served_engine first(fast_options({0, 3}));
    served_engine last(fast_options({3, 8}));
    std::string input = "STOP-AFTER-2 please";
    for (std::uint32_t position = 0; position < 3; ++position)
    {
        auto const hidden = first.run({"s", position, {input}, 4, 0, false});
        auto const token =
            last.run({"s", position, hidden.outputs_, 4, 0, true});
        EXPECT_EQ(token.is_end_, position == 1) << position;
        input = token.outputs_.front();
    }
}

TEST(engine_client, reports_cached_prompt_tokens)
{
    auto options = fast_options({0, 8});
    options.prefix_tokens_ = 1'000;
    served_engine engine(options);
    std::string const shared(640, 'a');
    engine_step step{"s", 0, {shared}, 160, 0, true};
    EXPECT_EQ(engine.run(step).cached_tokens_, 0);
    step.stream_ = "t";
    EXPECT_EQ(engine.run(step).cached_tokens_, 160);
    step.stream_ = "u";
    step.inputs_ = {shared + std::string(640, 'b')};
    step.prompt_tokens_ = 320;
    EXPECT_EQ(engine.run(step).cached_tokens_, 160);
}

TEST(engine_client, an_order_with_an_old_fencing_number_is_refused)
{
    auto order =
        [](served_engine& engine, layer_range layers, std::uint64_t number)
    {
        return wait_for<bool>(
            [&](auto handler)
            { engine.client_.assign_layers(layers, number, handler); });
    };
    auto is_done = [](result<bool> const& answer)
    {
        return answer
                   ? testing::AssertionSuccess()
                   : testing::AssertionFailure() << to_string(answer.error());
    };
    served_engine strict(fast_options({0, 8}));
    ASSERT_TRUE(is_done(order(strict, {2, 4}, 7)));
    auto const refused = order(strict, {0, 8}, 6);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code_, error_code::conflict);
    EXPECT_EQ(strict.status().layers_, (layer_range{2, 4}));

    auto options = fast_options({0, 8});
    options.checks_fencing_ = false;
    served_engine lax(options);
    ASSERT_TRUE(is_done(order(lax, {2, 4}, 7)));
    ASSERT_TRUE(is_done(order(lax, {0, 8}, 6)));
    EXPECT_EQ(lax.status().layers_, (layer_range{0, 8}));
}

TEST(engine_client, a_crashing_prompt_loses_the_answers_of_its_batch)
{
    std::atomic<int> crashes{0};
    auto options = fast_options({0, 8});
    options.on_crash_ = [&]
    {
        ++crashes;
    };
    served_engine engine(options);
    auto const answer = engine.try_run(
        {prompt_step("s", "CRASH-ENGINE"), prompt_step("t", "innocent")});
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().code_, error_code::response_lost);
    EXPECT_EQ(crashes, 1);
}

TEST(engine_client, steps_of_parallel_calls_share_batches_by_priority)
{
    auto options = fast_options({0, 8});
    options.step_time_ = milliseconds(10);
    options.max_batch_ = 2;
    served_engine engine(options);
    engine.engine_.set_slowness(50);
    std::mutex mutex;
    std::vector<std::string> finished;
    std::promise<void> all_done;
    auto send = [&](std::string const& stream, std::int32_t priority)
    {
        engine.client_.run(
            {{stream, 0, {"p"}, 1, priority, true}}, seconds(20),
            [&, stream](result<std::vector<engine_step_result>> const&)
            {
                std::lock_guard const lock(mutex);
                finished.push_back(stream);
                if (finished.size() == 5)
                {
                    all_done.set_value();
                }
            });
    };
    send("running", 0);
    while (engine.engine_.counts().steps_ == 0)
    {
        std::this_thread::yield();
    }
    engine.engine_.set_slowness(1);
    send("low1", 1);
    send("low2", 1);
    send("high1", 5);
    send("high2", 5);
    while (engine.status().queued_ < 4 && engine.engine_.counts().steps_ == 1)
    {
        std::this_thread::yield();
    }
    all_done.get_future().wait();
    EXPECT_EQ(finished.front(), "running");
    EXPECT_EQ(finished[1].substr(0, 4), "high");
    EXPECT_EQ(finished[2].substr(0, 4), "high");
    EXPECT_EQ(engine.engine_.counts().batches_, 3);
}

TEST(engine_client, a_silent_engine_is_unreachable_only_without_connection)
{
    http_client http;
    std::uint16_t port = 0;
    {
        fake_engine const engine(fast_options({0, 8}));
        port = engine.port();
    }
    engine_client client(http, "http://127.0.0.1:" + std::to_string(port));
    auto const status =
        wait_for<engine_status>([&](auto handler) { client.status(handler); });
    ASSERT_FALSE(status);
    EXPECT_EQ(status.error().code_, error_code::unreachable);
    EXPECT_EQ(status.error().step_, "read engine status");
}

} // namespace auburnlb
