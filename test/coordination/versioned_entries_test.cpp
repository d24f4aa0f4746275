// Tests of versioned entries and their deltas.
#include "auburnlb/coordination/versioned_entries.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace auburnlb
{

namespace
{

std::map<std::string, std::string> values_of(versioned_entries const& entries)
{
    std::map<std::string, std::string> values;
    for (auto const& [name, entry] : entries.entries_)
    {
        values[name] = entry.value_;
    }
    return values;
}

/// Generates a change of one of a few names.
entries_delta draw_change(store_version const& version)
{
    entries_delta delta;
    delta.version_ = version;
    std::string const value = std::to_string(version.epoch_) + "/" +
                              std::to_string(version.revision_);
    std::string const name(1, *rc::gen::inRange('a', 'f'));
    switch (*rc::gen::inRange(0, 6))
    {
    case 0:
        delta.is_full_ = true;
        delta.changed_ = {{name, value}};
        break;
    case 1:
    case 2:
        delta.removed_ = {name};
        break;
    default:
        delta.changed_ = {{name, value}};
    }
    return delta;
}

} // namespace

TEST(versioned_entries, changes_that_are_not_newer_are_ignored)
{
    versioned_entries entries;
    EXPECT_TRUE(apply_delta(entries, {{1, 7}, true, {{"a", "1"}}, {}}));
    EXPECT_FALSE(apply_delta(entries, {{1, 7}, false, {{"a", "0"}}, {}}));
    EXPECT_FALSE(apply_delta(entries, {{1, 6}, true, {}, {}}));
    EXPECT_EQ(values_of(entries),
              (std::map<std::string, std::string>{{"a", "1"}}));
    EXPECT_EQ(changes_since(entries, {1, 7}), std::nullopt);
}

TEST(versioned_entries, a_router_too_far_behind_gets_all_entries)
{
    versioned_entries entries;
    apply_delta(entries, {{1, 7}, true, {{"a", "1"}}, {}});
    EXPECT_TRUE(changes_since(entries, {1, 3})->is_full_);
    std::uint64_t revision = 7;
    for (std::size_t index = 0; index <= max_kept_removals; ++index)
    {
        std::string const name = "n" + std::to_string(index);
        apply_delta(entries, {{1, ++revision}, false, {{name, "1"}}, {}});
        apply_delta(entries, {{1, ++revision}, false, {}, {name}});
    }
    EXPECT_EQ(entries.removed_.size(), max_kept_removals);
    EXPECT_TRUE(changes_since(entries, {1, 8})->is_full_);
    EXPECT_FALSE(changes_since(entries, {1, 9})->is_full_);
}

TEST(versioned_entries, a_list_of_a_restored_store_replaces_a_later_revision)
{
    versioned_entries entries;
    apply_delta(entries, {{1, 7}, true, {{"a", "1"}, {"b", "1"}}, {}});
    EXPECT_FALSE(apply_delta(entries, {{2, 9}, false, {{"a", "2"}}, {}}));
    EXPECT_TRUE(apply_delta(entries, {{2, 3}, true, {{"a", "0"}}, {}}));
    EXPECT_EQ(values_of(entries),
              (std::map<std::string, std::string>{{"a", "0"}}));
    EXPECT_FALSE(apply_delta(entries, {{1, 8}, false, {{"a", "1"}}, {}}));
    EXPECT_TRUE(changes_since(entries, {1, 7})->is_full_);
    EXPECT_TRUE(changes_since(entries, {2, 2})->is_full_);
    EXPECT_TRUE(apply_delta(entries, {{2, 4}, false, {{"a", "2"}}, {}}));
    EXPECT_FALSE(changes_since(entries, {2, 3})->is_full_);
}

/// Two routers get changes from a third, directly or through each other, at
/// arbitrary times. The store of the third is restored from copies.
RC_GTEST_PROP(versioned_entries, routers_that_exchange_changes_converge, ())
{
    versioned_entries source;
    versioned_entries direct;
    versioned_entries indirect;
    versioned_entries copy;
    apply_delta(source, {{1, 1}, true, {{"a", "1"}}, {}});
    auto const send_changes =
        [](versioned_entries const& from, versioned_entries& to)
    {
        if (auto const delta = changes_since(from, to.version_))
        {
            apply_delta(to, *delta);
        }
    };
    auto const steps = *rc::gen::inRange(1, 60);
    store_version version{1, 1};
    for (int step = 0; step < steps; ++step)
    {
        switch (*rc::gen::inRange(0, 9))
        {
        case 0:
            send_changes(source, direct);
            break;
        case 1:
            send_changes(direct, indirect);
            break;
        case 2:
            send_changes(source, indirect);
            break;
        case 3:
            version = {version.epoch_ + 1, *rc::gen::inRange<std::uint64_t>(
                                               1, version.revision_ + 1)};
            apply_delta(source, {version, true, values_of(copy), {}});
            break;
        case 4:
            copy = source;
            break;
        default:
            version.revision_ += *rc::gen::inRange<std::uint64_t>(1, 3);
            apply_delta(source, draw_change(version));
        }
    }
    send_changes(source, direct);
    send_changes(direct, indirect);
    RC_ASSERT(values_of(direct) == values_of(source));
    RC_ASSERT(values_of(indirect) == values_of(source));
}

} // namespace auburnlb
