// Tests of route lookup, API keys and the memory limits of engines.
#include <gtest/gtest.h>

#include "auburnlb/state/route_table.hpp"

using namespace auburnlb;

namespace
{

route make_route(std::string const& name, std::string const& prefix)
{
    route value;
    value.name_ = name;
    value.host_ = "host.example";
    value.path_prefix_ = prefix;
    value.services_ = {{"service", 1}};
    return value;
}

route_index make_index()
{
    route_table table;
    table.routes_ = {make_route("short", "/a/"), make_route("long", "/a/b/")};
    table.workspaces_ = {{"one", {"key-1", "key-2"}, 1},
                         {"two", {"key-3"}, std::nullopt}};
    return route_index(std::move(table));
}

std::string matched_route_name(route_index const& index,
                               std::string const& path,
                               std::string const& host = "host.example")
{
    route const* const route = index.find_route(host, path);
    return route == nullptr ? "" : route->name_;
}

} // namespace

TEST(route_table, the_longest_matching_prefix_is_selected)
{
    route_index const index = make_index();
    EXPECT_EQ(matched_route_name(index, "/a/x"), "short");
    EXPECT_EQ(matched_route_name(index, "/a/b/x"), "long");
    EXPECT_EQ(matched_route_name(index, "/a/b/"), "long");
    EXPECT_EQ(matched_route_name(index, "/a/b"), "short");
    EXPECT_EQ(matched_route_name(index, "/a/x?path=/a/b/"), "short");
}

TEST(route_table, other_paths_and_hosts_have_no_route)
{
    route_index const index = make_index();
    EXPECT_EQ(matched_route_name(index, "/"), "");
    EXPECT_EQ(matched_route_name(index, "/ab/"), "");
    EXPECT_EQ(matched_route_name(index, ""), "");
    EXPECT_EQ(matched_route_name(index, "/a/x", "other.example"), "");
}

TEST(route_table, each_api_key_belongs_to_its_workspace)
{
    route_index const index = make_index();
    ASSERT_NE(index.find_workspace("key-2"), nullptr);
    EXPECT_EQ(index.find_workspace("key-2")->name_, "one");
    EXPECT_EQ(index.find_workspace("key-3")->name_, "two");
    EXPECT_EQ(index.find_workspace("key-4"), nullptr);
    EXPECT_EQ(index.find_workspace(""), nullptr);
}

TEST(route_table, requests_are_distributed_by_weight)
{
    route value = make_route("split", "/");
    value.services_ = {{"most", 90}, {"few", 10}};
    int few = 0;
    for (std::uint64_t sample = 0; sample < 1'000; ++sample)
    {
        few += pick_service(value, sample) == "few" ? 1 : 0;
    }
    EXPECT_EQ(few, 100);
    EXPECT_EQ(pick_service(value, 95), pick_service(value, 95));
}

TEST(model_profile, more_layers_leave_less_memory_for_the_kv_cache)
{
    model_profile model;
    model.layers_ = 80;
    model.layer_mb_ = 1'750;
    model.kv_bytes_per_token_ = 918'000;
    accelerator_profile const large{72'000, 1, 1};
    EXPECT_EQ(max_layers(model, large), 41U);
    EXPECT_GT(kv_capacity_tokens(model, large, 30),
              kv_capacity_tokens(model, large, 40));
    EXPECT_EQ(kv_capacity_tokens(model, large, 42), 0);
    EXPECT_EQ(kv_capacity_tokens(model, large, 0), 0);
}
