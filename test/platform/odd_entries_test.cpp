// Tests of store pages in which another writer left odd entries.
#include <array>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "protocol.hpp"

using namespace auburnlb;

namespace
{

/// Deep enough that recursion over it ends the process.
constexpr std::size_t overflowing_depth = 200'000;

std::string repeated(std::string const& text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t index = 0; index < count; ++index)
    {
        result += text;
    }
    return result;
}

std::string nested_arrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nested_objects(std::size_t depth)
{
    return repeated(R"({"a":)", depth) + "1" + std::string(depth, '}');
}

std::string object(std::string const& name, std::string const& revision,
                   std::string const& spec)
{
    return R"({"metadata": {"name": )" + name + R"(, "revision": )" + revision +
           R"(}, "spec": )" + spec + "}";
}

/// A list of an odd entry between two sound ones.
std::string list_around(std::string const& odd)
{
    return R"({"items": [)" + object(R"("a")", "3", R"({"x": "}\"]"})") + ", " +
           odd + ", " + object(R"("c")", "5", R"({"y":1})") +
           R"(], "has-more": false, "store-revision": 9})";
}

void expect_sound_entries(result<store_page> const& page)
{
    ASSERT_TRUE(page) << to_string(page.error());
    ASSERT_GE(page.value().objects_.size(), 2U);
    EXPECT_EQ(page.value().objects_.front().value_, R"({"x": "}\"]"})");
    EXPECT_EQ(page.value().objects_.back().name_, "c");
    EXPECT_EQ(page.value().objects_.back().value_, R"({"y":1})");
    EXPECT_EQ(page.value().revision_, 9U);
}

} // namespace

TEST(odd_entries, a_deep_entry_does_not_end_the_process)
{
    for (std::string const& spec :
         {nested_arrays(overflowing_depth), nested_objects(overflowing_depth)})
    {
        auto const page =
            platform::read_page(list_around(object(R"("b")", "4", spec)));
        expect_sound_entries(page);
        ASSERT_EQ(page.value().objects_.size(), 3U);
        EXPECT_EQ(page.value().objects_[1].name_, "b");
        EXPECT_FALSE(
            platform::read_endpoint("b", page.value().objects_[1].value_));
    }
}

TEST(odd_entries, an_odd_spec_or_revision_costs_only_its_entry)
{
    std::array<std::string, 6> const entries{
        object(R"("b")", "4", "1e999"),
        object(R"("b")", "4", R"({"batch-slots": -1e999})"),
        object(R"("b")", "-4", "{}"),
        object(R"("b")", R"("four")", "{}"),
        object(R"("b")", "1e999", "{}"),
        object(R"("b")", "4", "\"\xff\xfe\"")};
    for (std::string const& entry : entries)
    {
        auto const page = platform::read_page(list_around(entry));
        expect_sound_entries(page);
        ASSERT_EQ(page.value().objects_.size(), 3U) << entry;
        EXPECT_EQ(page.value().objects_[1].name_, "b") << entry;
        EXPECT_EQ(page.value().objects_[1].value_, "null") << entry;
    }
}

TEST(odd_entries, an_entry_without_a_name_costs_only_itself)
{
    std::array<std::string, 9> const entries{
        "{}",
        "null",
        "1e999",
        R"("text")",
        nested_arrays(overflowing_depth),
        R"({"metadata": {"revision": 4}, "spec": {}})",
        object("7", "4", "{}"),
        object(R"("")", "4", "{}"),
        object('"' + std::string(100'000, 'n') + '"', "4", "{}")};
    for (std::string const& entry : entries)
    {
        auto const page = platform::read_page(list_around(entry));
        expect_sound_entries(page);
        EXPECT_EQ(page.value().objects_.size(), 2U) << entry.substr(0, 50);
    }
}

TEST(odd_entries, a_deleted_odd_entry_is_deleted)
{
    auto const page = platform::read_page(
        R"({"events": [{"deleted": true, "object": )" +
        object(R"("b")", "4", nested_arrays(overflowing_depth)) +
        R"(}, {"object": 1e999}, {"deleted": 1e999, "object": )" +
        object(R"("d")", "5", R"({"x":1})") + R"(}, {"object": )" +
        object(R"("c")", "6", R"({"y":1})") + R"(}], "store-revision": 12})");
    ASSERT_TRUE(page) << to_string(page.error());
    auto const& objects = page.value().objects_;
    ASSERT_EQ(objects.size(), 3U);
    EXPECT_TRUE(objects[0].is_deleted_);
    EXPECT_EQ(objects[0].name_, "b");
    EXPECT_EQ(objects[1].value_, "null");
    EXPECT_EQ(objects[2].value_, R"({"y":1})");
    EXPECT_EQ(page.value().revision_, 12U);
}

TEST(odd_entries, a_page_that_is_cut_off_is_no_page)
{
    std::string const page = list_around(object(R"("b")", "4", "{}"));
    for (std::size_t length = 0; length < page.size(); ++length)
    {
        EXPECT_FALSE(platform::read_page(page.substr(0, length))) << length;
    }
    for (char const* const text :
         {"{}", "x", "[]", R"({"store-revision": -1})",
          R"({"store-revision": 1, "items": {}})",
          R"({"store-revision": 1, "items": [1], 2]})"})
    {
        EXPECT_FALSE(platform::read_page(text)) << text;
    }
}

TEST(odd_entries, a_deep_field_is_rejected_before_it_is_quoted)
{
    for (std::string const& value :
         {nested_arrays(overflowing_depth), nested_objects(overflowing_depth)})
    {
        EXPECT_FALSE(platform::read_endpoint(
            "a", R"({"service": "s", "address": )" + value + "}"));
        EXPECT_FALSE(platform::read_report(R"({"sequence": )" + value + "}"));
        EXPECT_FALSE(
            platform::read_route_table(R"({"version": )" + value + "}"));
        auto const lease =
            platform::read_object(object(R"("lease")", "4", value));
        ASSERT_TRUE(lease);
        EXPECT_EQ(lease.value().revision_, 4U);
        EXPECT_EQ(lease.value().value_, "null");
    }
}

TEST(odd_entries, a_number_that_its_field_cannot_hold_is_not_wrapped)
{
    constexpr char sound[] =
        R"({"service": "s", "address": "10.0.0.9:8080", "zone": "z",
            "batch-slots": 16, "state": "ready", "sequence": 4,
            "layers": {"from": 0, "to": 8}})";
    ASSERT_TRUE(platform::read_endpoint("a", sound));
    std::array<std::pair<std::string, std::string>, 8> const changes{{
        {R"("batch-slots": 16)", R"("batch-slots": 4294967297)"},
        {R"("batch-slots": 16)", R"("batch-slots": 0)"},
        {R"("batch-slots": 16)", R"("batch-slots": 1e300)"},
        {R"("sequence": 4)", R"("sequence": 18446744073709551616)"},
        {R"("sequence": 4)", R"("sequence": -1)"},
        {R"("to": 8)", R"("to": 4294967304)"},
        {R"("to": 8)", R"("to": 4000000000)"},
        {R"("from": 0)", R"("from": 9)"},
    }};
    for (auto const& [from, to] : changes)
    {
        std::string text = sound;
        text.replace(text.find(from), from.size(), to);
        EXPECT_FALSE(platform::read_endpoint("a", text)) << to;
    }
}

TEST(odd_entries, an_address_that_is_no_ip_and_port_names_no_endpoint)
{
    for (char const* const address :
         {"10.0.0.9:70000", "10.0.0.9:0", "10.0.0.9:", "10.0.0.9", "10.0.0:80",
          "engine:8080", "10.0.0.9:80x", "10.0.0.9:-1", "", ":80",
          "10.0.0.9:80\\r\\nX: y"})
    {
        EXPECT_FALSE(platform::read_endpoint(
            "a", R"({"service": "s", "zone": "z", "batch-slots": 16,
                     "state": "ready", "address": ")" +
                     std::string(address) + R"("})"))
            << address;
    }
}

TEST(odd_entries, a_name_that_would_not_stay_in_its_header_names_no_endpoint)
{
    constexpr char sound[] =
        R"({"service": "s", "address": "10.0.0.9:8080", "zone": "z",
            "batch-slots": 16, "state": "ready"})";
    ASSERT_TRUE(platform::read_endpoint("i-7f3a", sound));
    for (char const* const id : {"", "a\r\nX: y", "a b", "a\x7f", "\xc3\xa4"})
    {
        EXPECT_FALSE(platform::read_endpoint(id, sound)) << id;
    }
    EXPECT_EQ(platform::write_list_call("servers", "a b\r\n&x=%").target_,
              "/objects/servers?after=a%20b%0D%0A%26x%3D%25");
}

TEST(odd_entries, a_configuration_with_odd_numbers_is_read_or_rejected)
{
    auto const table = [](std::string const& timeout, std::string const& layers,
                          std::string const& weight)
    {
        return platform::read_route_table(
            R"({"version": 7, "services": [{"name": "s", "engine": {"layers": )" +
            layers +
            R"(}}], "routes": [{"name": "r", "host": "h", "path-prefix": "/",
                "kind": "safe", "timeout-ms": )" +
            timeout + R"(, "backends": [{"service": "s", "weight": )" + weight +
            "}]}]}");
    };
    ASSERT_TRUE(table("20000", "80", "90"));
    EXPECT_FALSE(table("-1", "80", "90"));
    EXPECT_FALSE(table("1e999", "80", "90"));
    EXPECT_FALSE(table("20000", "4000000000", "90"));
    EXPECT_FALSE(table("20000", "0", "90"));
    EXPECT_FALSE(table("20000", "80", "4294967297"));
    auto const unlimited = table("1e300", "80", "90");
    ASSERT_TRUE(unlimited);
    EXPECT_EQ(unlimited.value().routes_.front().timeout_,
              milliseconds(86'400'000));
}
