// Tests of endpoint selection and of incarnation history.
#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/membership.hpp"

using namespace auburnlb;

namespace
{

std::vector<std::string> names(std::string const& prefix, std::size_t count)
{
    std::vector<std::string> all;
    for (std::size_t index = 0; index < count; ++index)
    {
        all.push_back(prefix + std::to_string(index));
    }
    return all;
}

std::vector<grouped_endpoint> group(std::size_t count)
{
    std::vector<grouped_endpoint> all;
    for (std::string const& name : names("engine-", count))
    {
        all.push_back({name, "kalai-writer 0-4"});
    }
    return all;
}

} // namespace

RC_GTEST_PROP(select_endpoints,
              every_endpoint_is_used_and_every_entry_has_the_minimum, ())
{
    auto const entries = names("entry-", *rc::gen::inRange<std::size_t>(1, 40));
    auto const endpoints = group(*rc::gen::inRange<std::size_t>(1, 100));
    subset_limits const limits;
    std::map<std::string, std::size_t> uses;
    for (std::string const& entry : entries)
    {
        auto const used = select_endpoints(entry, entries, endpoints, limits);
        RC_ASSERT(used.size() >=
                  std::min(limits.min_per_group_, endpoints.size()));
        for (std::string const& endpoint : used)
        {
            ++uses[endpoint];
        }
    }
    RC_ASSERT(uses.size() == endpoints.size());
}

RC_GTEST_PROP(select_endpoints, removing_an_endpoint_changes_few_selections, ())
{
    auto const entries = names("entry-", *rc::gen::inRange<std::size_t>(2, 30));
    std::size_t const count = *rc::gen::inRange<std::size_t>(2, 60);
    auto const before = group(count);
    auto after = before;
    std::size_t const removed_index = *rc::gen::inRange<std::size_t>(0, count);
    after.erase(after.begin() + static_cast<std::ptrdiff_t>(removed_index));
    std::size_t dropped = 0;
    for (std::string const& entry : entries)
    {
        auto const old_set = select_endpoints(entry, entries, before, {});
        auto const new_set = select_endpoints(entry, entries, after, {});
        for (std::string const& endpoint : old_set)
        {
            bool const is_kept =
                std::binary_search(new_set.begin(), new_set.end(), endpoint);
            dropped += !is_kept && endpoint != before[removed_index].address_;
        }
    }
    // Only endpoints that were added to reach the minimum may be dropped.
    RC_ASSERT(dropped <= entries.size());
}

TEST(select_endpoints, the_set_size_is_independent_of_the_number_of_endpoints)
{
    std::size_t largest = 0;
    for (std::size_t const size : {30U, 120U, 600U})
    {
        auto const entries = names("entry-", size / 3);
        auto const endpoints = group(size);
        for (std::string const& entry : entries)
        {
            auto const used = select_endpoints(entry, entries, endpoints, {});
            largest = std::max(largest, used.size());
        }
    }
    EXPECT_LE(largest, 24U);
    RecordProperty("largest", static_cast<int>(largest));
}

RC_GTEST_PROP(admit_incarnation, a_replaced_incarnation_is_rejected,
              (std::vector<std::uint8_t> const& answers))
{
    incarnation_history history;
    std::vector<incarnation_id> seen;
    for (std::uint8_t const answer : answers)
    {
        incarnation_id const incarnation = answer % 12;
        bool const is_admitted = admit_incarnation(history, "a", incarnation);
        auto const known = std::find(seen.begin(), seen.end(), incarnation);
        bool const is_replaced = known != seen.end() && known + 1 != seen.end();
        RC_ASSERT(is_admitted != is_replaced);
        if (known == seen.end())
        {
            seen.push_back(incarnation);
        }
    }
}
