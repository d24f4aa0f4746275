// Tests of the message bus on loopback sockets.
#include <condition_variable>
#include <mutex>
#include <vector>

#include <asio.hpp>
#include <gtest/gtest.h>

#include "auburnlb/transport/message_bus.hpp"

using namespace auburnlb;

namespace
{

/// Collects what a bus reports and waits for conditions on it.
struct inbox
{
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<envelope> messages_;
    int downs_ = 0;
    int garbage_ = 0;

    std::unique_ptr<message_bus> open(std::string const& address,
                                      incarnation_id self)
    {
        auto bus = message_bus::open(
            address, self,
            [this](envelope received)
            { note([&] { messages_.push_back(std::move(received)); }); },
            [this](std::string const&, bool up)
            { note([&] { downs_ += up ? 0 : 1; }); },
            [this] { note([&] { ++garbage_; }); });
        return std::move(bus).value();
    }

    template <class Function>
    void note(Function function)
    {
        std::lock_guard lock(mutex_);
        function();
        changed_.notify_all();
    }

    template <class Condition>
    bool wait(Condition condition)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(20), condition);
    }
};

} // namespace

TEST(message_bus, delivers_in_order_with_the_senders_incarnation)
{
    inbox left_box;
    inbox right_box;
    auto left = left_box.open("tcp://127.0.0.1:0", 11);
    auto right = right_box.open("tcp://127.0.0.1:0", 22);
    for (std::uint32_t index = 0; index < 1'000; ++index)
    {
        ASSERT_TRUE(left->send(right->address(), cancel_stream{{1, 1}, index}));
    }
    ASSERT_TRUE(
        right_box.wait([&] { return right_box.messages_.size() == 1'000; }));
    for (std::uint32_t index = 0; index < 1'000; ++index)
    {
        envelope const expected{11, cancel_stream{{1, 1}, index}};
        ASSERT_EQ(right_box.messages_[index], expected);
    }
}

TEST(message_bus, reports_a_closed_peer_and_reaches_its_successor)
{
    inbox left_box;
    inbox right_box;
    auto left = left_box.open("tcp://127.0.0.1:0", 11);
    auto right = right_box.open("tcp://127.0.0.1:0", 22);
    std::string const address = right->address();
    left->send(address, cancel_stream{});
    ASSERT_TRUE(
        right_box.wait([&] { return right_box.messages_.size() == 1; }));
    right.reset();
    ASSERT_TRUE(left_box.wait([&] { return left_box.downs_ == 1; }));
    EXPECT_FALSE(left->send(address, cancel_stream{}));
    inbox next_box;
    auto next = next_box.open(address, 33);
    left->replace(address);
    ASSERT_TRUE(left->send(address, cancel_stream{{1, 1}, 7}));
    ASSERT_TRUE(next_box.wait([&] { return next_box.messages_.size() == 1; }));
}

TEST(message_bus, names_the_address_that_is_taken)
{
    inbox box;
    auto first = box.open("tcp://127.0.0.1:0", 1);
    auto second = message_bus::open(
        first->address(), 2, [](envelope const&) {},
        [](std::string const&, bool) {}, [] {});
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().code_, error_code::unreachable);
    EXPECT_EQ(second.error().peer_, first->address());
}

TEST(message_bus, survives_garbage_on_its_port)
{
    inbox box;
    inbox peer_box;
    auto bus = box.open("tcp://127.0.0.1:0", 1);
    std::string const address = bus->address();
    asio::io_context io;
    asio::ip::tcp::socket raw(io);
    raw.connect({asio::ip::address_v4::loopback(),
                 static_cast<std::uint16_t>(
                     std::stoi(address.substr(address.rfind(':') + 1)))});
    // The scalability protocols' greeting of a PUSH peer, then a framed body
    // that is no message of ours.
    unsigned char const greeting[] = {0, 'S', 'P', 0, 0, 0x50, 0, 0};
    unsigned char const frame[] = {0, 0, 0, 0, 0, 0, 0, 3, 'x', 'y', 'z'};
    asio::write(raw, asio::buffer(greeting));
    asio::write(raw, asio::buffer(frame));
    ASSERT_TRUE(box.wait([&] { return box.garbage_ == 1; }));
    raw.close();
    auto peer = peer_box.open("tcp://127.0.0.1:0", 2);
    ASSERT_TRUE(peer->send(address, cancel_stream{}));
    ASSERT_TRUE(box.wait([&] { return box.messages_.size() == 1; }));
}
