// Tests of request identifiers and snapshot cells.
#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "auburnlb/state/ids.hpp"
#include "auburnlb/state/snapshot_cell.hpp"

using namespace auburnlb;

TEST(request_id, is_rendered_with_both_parts_in_hexadecimal)
{
    EXPECT_EQ(to_string(request_id{0x1F, 3}), "1f-3");
}

TEST(snapshot_cell, readers_always_see_a_consistent_value)
{
    struct pair
    {
        std::vector<int> left_;
        std::vector<int> right_;
    };
    snapshot_cell<pair> cell({{0}, {0}});
    std::atomic<bool> stop{false};
    std::atomic<int> reads{0};
    std::atomic<int> mismatches{0};
    std::thread reader(
        [&]
        {
            while (!stop)
            {
                ++reads;
                cell.read([&](pair const& value)
                          { mismatches += value.left_ != value.right_; });
            }
        });
    for (int round = 0; round < 500 || reads < 500; ++round)
    {
        cell.publish({std::vector<int>(8, round), std::vector<int>(8, round)});
    }
    stop = true;
    reader.join();
    EXPECT_EQ(mismatches, 0);
}
