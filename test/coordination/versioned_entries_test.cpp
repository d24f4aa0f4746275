// Tests of entries with revisions.
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

/// A change of one of a few names.
entries_delta draw_change(std::uint64_t revision)
{
    entries_delta delta;
    delta.revision_ = revision;
    std::string const name(1, *rc::gen::inRange('a', 'f'));
    switch (*rc::gen::inRange(0, 6))
    {
    case 0:
        delta.is_full_ = true;
        delta.changed_ = {{name, std::to_string(revision)}};
        break;
    case 1:
    case 2:
        delta.removed_ = {name};
        break;
    default:
        delta.changed_ = {{name, std::to_string(revision)}};
    }
    return delta;
}

} // namespace

TEST(versioned_entries, changes_that_are_in_already_change_nothing)
{
    versioned_entries entries;
    EXPECT_TRUE(apply_delta(entries, {7, true, {{"a", "1"}}, {}}));
    EXPECT_FALSE(apply_delta(entries, {7, false, {{"a", "0"}}, {}}));
    EXPECT_FALSE(apply_delta(entries, {6, true, {}, {}}));
    EXPECT_EQ(values_of(entries),
              (std::map<std::string, std::string>{{"a", "1"}}));
    EXPECT_EQ(changes_since(entries, 7), std::nullopt);
}

TEST(versioned_entries, who_is_too_far_behind_gets_all)
{
    versioned_entries entries;
    apply_delta(entries, {7, true, {{"a", "1"}}, {}});
    EXPECT_TRUE(changes_since(entries, 3)->is_full_);
    std::uint64_t revision = 7;
    for (std::size_t index = 0; index <= max_remembered_removals; ++index)
    {
        std::string const name = "n" + std::to_string(index);
        apply_delta(entries, {++revision, false, {{name, "1"}}, {}});
        apply_delta(entries, {++revision, false, {}, {name}});
    }
    EXPECT_EQ(entries.removed_.size(), max_remembered_removals);
    EXPECT_TRUE(changes_since(entries, 8)->is_full_);
    EXPECT_FALSE(changes_since(entries, 9)->is_full_);
}

/// Two routers that follow a third, directly or through the other, at any time.
RC_GTEST_PROP(versioned_entries, routers_that_tell_each_other_know_the_same, ())
{
    versioned_entries source;
    versioned_entries near;
    versioned_entries far;
    apply_delta(source, {1, true, {{"a", "1"}}, {}});
    auto const tell = [](versioned_entries const& from, versioned_entries& to)
    {
        if (auto const delta = changes_since(from, to.revision_))
        {
            apply_delta(to, *delta);
        }
    };
    auto const steps = *rc::gen::inRange(1, 60);
    std::uint64_t revision = 1;
    for (int step = 0; step < steps; ++step)
    {
        switch (*rc::gen::inRange(0, 6))
        {
        case 0:
            tell(source, near);
            break;
        case 1:
            tell(near, far);
            break;
        case 2:
            tell(source, far);
            break;
        default:
            revision += *rc::gen::inRange<std::uint64_t>(1, 3);
            apply_delta(source, draw_change(revision));
        }
    }
    tell(source, near);
    tell(near, far);
    RC_ASSERT(values_of(near) == values_of(source));
    RC_ASSERT(values_of(far) == values_of(source));
}

} // namespace auburnlb
