// Tests of shard placement, take-over, removal and the stored texts.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/protocol/claim_shards.hpp"

using namespace auburnlb;

namespace
{

constexpr claim_log_id log_a{0xA, 1};
constexpr claim_log_id log_b{0xB, 1};
constexpr std::int64_t hour_ms = 3'600'000;

std::vector<std::string> three_endpoints()
{
    return {"a", "b", "c"};
}

claim_view view_of_a(std::uint32_t shards)
{
    claim_view view;
    view.address_ = "a";
    view.log_ = log_a;
    view.ownership_.assign(shards, shard_ownership::none);
    view.live_addresses_ = three_endpoints();
    return view;
}

} // namespace

TEST(claim_shards, a_departure_moves_only_the_shards_of_the_one_who_left)
{
    auto const all = three_endpoints();
    std::vector<std::string> const without_b{"a", "c"};
    for (std::uint32_t shard = 0; shard < 64; ++shard)
    {
        std::string const before = preferred_owner(shard, all);
        std::string const after = preferred_owner(shard, without_b);
        EXPECT_NE(after, "b");
        EXPECT_TRUE(before == "b" || before == after);
    }
}

TEST(claim_shards, the_three_endpoints_share_the_free_shards)
{
    auto const table = make_claim_table("desk", 64);
    auto view = view_of_a(64);
    std::size_t const of_a = shards_to_take(table, view).size();
    view.address_ = "b";
    view.log_ = log_b;
    std::size_t const of_b = shards_to_take(table, view).size();
    view.address_ = "c";
    view.log_ = {0xC, 1};
    std::size_t const of_c = shards_to_take(table, view).size();
    EXPECT_EQ(of_a + of_b + of_c, 64U);
    EXPECT_GT(std::min({of_a, of_b, of_c}), 8U);
}

TEST(claim_shards, only_the_shards_of_a_gone_incarnation_are_taken)
{
    auto table = make_claim_table("desk", 1);
    table.shards_[0] = {"b", log_b};
    table.logs_ = {{log_b, "b", false, 0}};
    auto view = view_of_a(1);
    view.live_addresses_ = {"a"};
    EXPECT_TRUE(shards_to_take(table, view).empty());
    view.dead_incarnations_ = {0xB};
    EXPECT_EQ(shards_to_take(table, view).size(), 1U);
}

TEST(claim_shards, a_leaving_home_gives_back_what_others_are_wished_for)
{
    auto view = view_of_a(4);
    view.ownership_.assign(4, shard_ownership::owned);
    view.live_addresses_ = {"b", "c"};
    EXPECT_EQ(shards_to_release(view).size(), 4U);
    view.live_addresses_.clear();
    EXPECT_TRUE(shards_to_release(view).empty());
}

TEST(claim_shards, released_shards_are_taken_off_the_table)
{
    takeover state;
    state.service_ = "desk";
    state.shard_count_ = 2;
    auto view = view_of_a(2);
    view.live_addresses_ = {"b", "c"};
    view.released_ = {1};
    auto table = make_claim_table("desk", 2);
    table.shards_.assign(2, {"a", log_a});
    table.logs_ = {{log_a, "a", false, 0}};
    view.ownership_ = {shard_ownership::owned, shard_ownership::none};
    apply(state, takeover_started{view});
    auto const actions = apply(state, table_read{false, 5, table});
    ASSERT_EQ(actions.size(), 1U);
    auto const* put = std::get_if<put_table>(&actions[0]);
    ASSERT_NE(put, nullptr);
    EXPECT_EQ(put->expected_version_, 5U);
    EXPECT_EQ(put->table_.shards_[0].address_, "a");
    EXPECT_EQ(put->table_.shards_[1].address_, "");
    auto const ended = apply(state, table_put_finished{put_status::created});
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_FALSE(std::get<takeover_ended>(ended[0]).is_failed_);
    EXPECT_EQ(std::get<takeover_ended>(ended[0]).released_, view.released_);
}

TEST(claim_shards, segments_go_after_the_lifetime_and_the_seal_a_day_later)
{
    claim_log_entry entry{log_a, "a", false, 0};
    std::vector<std::uint64_t> const numbers{0, 1, 2};
    auto const removable = [&](std::int64_t now_ms)
    {
        return removable_segments("desk", entry, numbers, now_ms,
                                  seconds{3'600});
    };
    EXPECT_TRUE(removable(1'000 * hour_ms).empty());
    entry.is_sealed_ = true;
    EXPECT_TRUE(removable(hour_ms).empty());
    EXPECT_EQ(removable(hour_ms + 1),
              (std::vector<std::string>{segment_name("desk", log_a, 0),
                                        segment_name("desk", log_a, 1)}));
    EXPECT_EQ(removable(25 * hour_ms + 1).size(), 3U);
}

TEST(claim_codec, names_sort_by_number)
{
    EXPECT_EQ(segment_name("desk", log_a, 16),
              "desk/000000000000000a-1/0000000000000010");
}

RC_GTEST_PROP(claim_codec, segments_read_back_as_written,
              (std::uint64_t number, std::vector<std::uint64_t> const& words,
               std::string const& body))
{
    claim_segment segment{"desk", log_a,  number,
                          0xB,    number, segment_kind::hand_over,
                          {},     {1, 2}};
    for (std::uint64_t const word : words)
    {
        segment.keys_.push_back({{word, ~word}, 3, word / 2, nullptr});
    }
    auto const read = segment_from_json(to_json(segment));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value() == segment);
    RC_ASSERT(!segment_from_json(body).has_value());
}

TEST(claim_codec, outcomes_and_tables_read_back_as_written)
{
    claimed_key key{{1, 2}, 3, 4, nullptr};
    key.outcome_ = std::make_shared<call_outcome const>(
        call_outcome{201, {{"Content-Type", "text/plain"}}, "van \xFF 4"});
    claim_segment const segment{"desk", log_a, 1, 0xB, 1, segment_kind::claims,
                                {key},  {}};
    auto const read = segment_from_json(to_json(segment));
    ASSERT_TRUE(read.has_value());
    ASSERT_EQ(read.value().keys_.size(), 1U);
    EXPECT_EQ(*read.value().keys_[0].outcome_, *key.outcome_);

    auto table = make_claim_table("desk", 2);
    table.shards_[1] = {"tcp://127.0.0.1:1", log_b};
    table.logs_ = {{log_a, "a", true, 77}, {log_b, "b", false, 0}};
    auto const table_back = table_from_json(to_json(table));
    ASSERT_TRUE(table_back.has_value());
    EXPECT_EQ(table_back.value(), table);
    EXPECT_FALSE(table_from_json("{}").has_value());
}
