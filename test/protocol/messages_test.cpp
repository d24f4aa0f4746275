// Tests of the message codec: round trips, and rejection of malformed frames.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "auburnlb/protocol/messages.hpp"

using namespace auburnlb;

namespace
{

std::vector<envelope> sample_messages()
{
    request_id const id{7, 9};
    chain_route route;
    route.entry_address_ = "tcp://127.0.0.1:1";
    route.service_ = "s";
    route.model_layers_ = 12;
    route.stages_ = {{"tcp://127.0.0.1:2", 5, {0, 12}}};
    endpoint_description endpoint;
    endpoint.name_ = "e";
    endpoint.layers_ = {0, 12};
    endpoint.state_ = host_state::leaving;
    endpoint.load_ = {1, 2, 3, 4};
    return {
        {1, step_frame{id, 2, 3, 4, 5, {"a", std::string("\0b", 2)}, route}},
        {1, token_frame{id, 2, 3, "t", true, 4, {1, 2, 3, 4}}},
        {1, step_refusal{id, 2, refusal_reason::wrong_layer, "tcp://x"}},
        {1, cancel_stream{id, 2}},
        {1, hello{"tcp://a", host_role::entry, 4, {{"s", 9}}}},
        {1, hello_reply{4, "tcp://a", endpoint, {{"s", 9}}}},
        {1, endpoint_update{endpoint}},
        {1, config_request{"tcp://a", {"s"}}},
        {1, config_push{{{"s", {9, "{}"}}}}},
        {1, call_request{id,
                         "tcp://a",
                         "s",
                         1,
                         2,
                         "POST",
                         "/p",
                         {{"a", "b"}},
                         "body",
                         "w/k",
                         false,
                         true,
                         500}},
        {1, call_reply{id,
                       200,
                       {{"a", "b"}},
                       "body",
                       refusal_reason::key_in_progress,
                       run_state::ran,
                       true,
                       {}}},
        {1, suspicion_update{{{3, 1}}}},
        {1, drain_request{5}},
        {1, adopt_stream{id, "tcp://a"}},
        {1, stream_adopted{id, 2, 3, route, {"t"}, true}},
    };
}

} // namespace

TEST(messages, every_kind_survives_encoding)
{
    std::vector<envelope> const samples = sample_messages();
    ASSERT_EQ(samples.size(), std::variant_size_v<message>);
    for (envelope const& sample : samples)
    {
        EXPECT_EQ(decode(encode(sample)), sample) << sample.body_.index();
    }
}

TEST(messages, truncated_or_corrupted_frames_never_throw)
{
    EXPECT_TRUE(rc::check(
        []
        {
            std::vector<envelope> const samples = sample_messages();
            auto const which =
                *rc::gen::inRange<std::size_t>(0, samples.size());
            std::string bytes = encode(samples[which]);
            auto const index = *rc::gen::inRange<std::size_t>(0, bytes.size());
            if (*rc::gen::arbitrary<bool>())
            {
                bytes.resize(index);
                RC_ASSERT(!decode(bytes));
                return;
            }
            bytes[index] = *rc::gen::arbitrary<char>();
            static_cast<void>(decode(bytes));
        }));
}

TEST(messages, a_frame_that_declares_a_huge_length_is_refused)
{
    EXPECT_FALSE(decode(std::string("\xdd\xff\xff\xff\xff", 5)));
    EXPECT_FALSE(decode(std::string("\xdb\xff\xff\xff\xff", 5)));
    EXPECT_FALSE(decode(""));
}
