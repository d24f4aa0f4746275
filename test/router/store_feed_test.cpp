// Tests of how soon a feed notices that the store is back.
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include "asio_server.hpp"
#include "auburnlb/coordination/endpoint_directory.hpp"
#include "auburnlb/router/store_feed.hpp"
#include "protocol.hpp"

using namespace auburnlb;

namespace
{

constexpr milliseconds tick_interval{10};
constexpr milliseconds loss_detection{3'000};
/// Time from the store's return until removals have to be in force.
constexpr milliseconds removal_deadline{3'000};

/// Serves one list of no objects, and no call after it.
fakes::asio_server::handler list_server()
{
    return [is_listed = false](std::shared_ptr<caller_connection> const& caller,
                               http_head const&, std::string const&) mutable
    {
        if (!std::exchange(is_listed, true))
        {
            fakes::answer_json(
                *caller, 200,
                R"({"items": [], "has-more": false, "store-revision": 10})");
        }
    };
}

/// Handlers that pass on the outcome of each call alone.
store_feed_handlers outcome_handlers(std::function<void(bool)> on_outcome)
{
    store_feed_handlers handlers;
    handlers.on_list_ = [](auto const&, auto const&) {
    };
    handlers.on_changes_ = handlers.on_list_;
    handlers.on_reachable_ = [](bool, std::string const&) {
    };
    handlers.on_outcome_ = std::move(on_outcome);
    return handlers;
}

/// Returns when the calls fail of a feed whose store is silent after its list.
std::vector<time_point> failures_of_silent_store(milliseconds length)
{
    asio::io_context io;
    manual_clock clock;
    fakes::asio_server const store(io, 0, list_server());
    internal_http_client client(io, clock);
    bool is_listed = false;
    std::vector<time_point> failures;
    store_feed feed(client, platform::protocol(), clock,
                    "127.0.0.1:" + std::to_string(store.port()), "servers",
                    loss_detection,
                    outcome_handlers(
                        [&](bool is_answered)
                        {
                            is_listed = is_listed || is_answered;
                            if (!is_answered)
                            {
                                failures.push_back(clock.now());
                            }
                        }));
    feed.on_tick(clock.now());
    while (!is_listed)
    {
        io.run_one();
    }
    time_point const end = clock.now() + length;
    while (clock.now() < end)
    {
        clock.advance(tick_interval);
        client.on_tick(clock.now());
        feed.on_tick(clock.now());
        io.poll();
    }
    return failures;
}

} // namespace

// Guards against removals that are put off too long after a silent outage.
TEST(store_feed, notices_the_return_early_enough_to_keep_missing_entries)
{
    auto const failures = failures_of_silent_store(seconds(9));
    ASSERT_GT(failures.size(), 6U);
    for (std::size_t at = 0; at + 1 < failures.size(); ++at)
    {
        EXPECT_LT(failures[at + 1] - failures[at],
                  removal_deadline - list_recovery_time)
            << "after failure " << at;
    }
}
