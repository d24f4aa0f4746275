// Tests of settings files, and of the schema and documentation generated from
// the catalogue.
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "auburnlb/state/json_depth.hpp"
#include "auburnlb/state/settings.hpp"

using namespace auburnlb;
namespace catalogue = auburnlb::settings_catalogue;

namespace
{

std::string read_source_file(std::string const& path)
{
    std::ifstream file(std::string(AUBURNLB_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::size_t count_occurrences(std::string const& text,
                              std::string const& pattern)
{
    std::size_t count = 0;
    for (auto position = text.find(pattern); position != std::string::npos;
         position = text.find(pattern, position + 1))
    {
        ++count;
    }
    return count;
}

struct invalid_file
{
    char const* json_;
    char const* field_;
    char const* value_;
    char const* allowed_;
};

} // namespace

TEST(settings, omitted_fields_have_their_defaults)
{
    settings const defaults = settings::parse("f.json", "{}").value();
    EXPECT_EQ(defaults.get(catalogue::peers_address), "tcp://127.0.0.1:0");
    EXPECT_EQ(defaults.get(catalogue::callers_port), 0);
    EXPECT_EQ(defaults.get(catalogue::timing_heartbeat),
              std::chrono::milliseconds(5'000));
    EXPECT_FALSE(defaults.get(catalogue::admin_enabled));
}

TEST(settings, given_fields_are_parsed_in_their_declared_types)
{
    settings const parsed =
        settings::parse("f.json", R"({"node": {"name": "surat-1"},
            "callers": {"port": 8080},
            "admin": {"enabled": true, "token": "t"},
            "endpoint": {"tokens_per_second": 40, "kv_tokens": 7},
            "timing": {"drain_limit_s": 5, "beat_ms": 20}})")
            .value();
    EXPECT_EQ(parsed.get(catalogue::node_name), "surat-1");
    EXPECT_EQ(parsed.get(catalogue::callers_port), 8080);
    EXPECT_TRUE(parsed.get(catalogue::admin_enabled));
    EXPECT_EQ(parsed.get(catalogue::endpoint_tokens_per_second), 40.0);
    EXPECT_EQ(parsed.get(catalogue::endpoint_kv_tokens), 7U);
    EXPECT_EQ(parsed.get(catalogue::timing_drain_limit),
              std::chrono::seconds(5));
    EXPECT_EQ(parsed.get(catalogue::timing_heartbeat),
              std::chrono::milliseconds(20));
}

TEST(settings, errors_name_file_field_value_and_allowed_values)
{
    invalid_file const cases[] = {
        {R"({"nodes": {}})", "nodes", "{}", "node, peers"},
        {R"({"node": 3})", "node", "3", "an object"},
        {R"({"node": {"nam": "x"}})", "node.nam", "\"x\"", "name, data_centre"},
        {R"({"callers": {"port": 65536}})", "callers.port", "65536",
         "0 to 65535"},
        {R"({"callers": {"port": -1}})", "callers.port", "-1", "0 to 65535"},
        {R"({"callers": {"port": "80"}})", "callers.port", "\"80\"", "integer"},
        {R"({"callers": {"threads": 1.5}})", "callers.threads", "1.5",
         "integer"},
        {R"({"callers": {"max_body_bytes": 1e30}})", "callers.max_body_bytes",
         "1e+30", "integer"},
        {R"({"log": {"level": "loud"}})", "log.level", "\"loud\"",
         "debug, info, warning, error"},
        {R"({"admin": {"enabled": 1}})", "admin.enabled", "1", "true or false"},
        {R"({"admin": {"enabled": true}})", "admin.token", "\"\"", "non-empty"},
        {R"([1])", "(document)", "[1]", "an object"},
    };
    for (invalid_file const& invalid : cases)
    {
        auto const parsed = settings::parse("f.json", invalid.json_);
        ASSERT_FALSE(parsed) << invalid.json_;
        EXPECT_EQ(parsed.error().code_, error_code::invalid_input);
        EXPECT_EQ(parsed.error().peer_, "f.json");
        std::string const& detail = parsed.error().detail_;
        EXPECT_NE(detail.find(std::string("field ") + invalid.field_),
                  std::string::npos)
            << detail;
        EXPECT_NE(detail.find(invalid.value_), std::string::npos) << detail;
        EXPECT_NE(detail.find(invalid.allowed_), std::string::npos) << detail;
    }
}

TEST(settings, invalid_json_and_a_missing_file_are_errors)
{
    auto const broken = settings::parse("f.json", "{\"node\": ");
    ASSERT_FALSE(broken);
    EXPECT_NE(broken.error().detail_.find("parse error"), std::string::npos);
    auto const missing_file = settings::load("/nonexistent/f.json");
    ASSERT_FALSE(missing_file);
    EXPECT_EQ(missing_file.error().code_, error_code::not_found);
}

TEST(settings, a_text_that_is_nested_too_deeply_is_rejected)
{
    std::string const deep(1'000'000, '[');
    auto const parsed = settings::parse("f.json", deep);
    ASSERT_FALSE(parsed);
    EXPECT_NE(parsed.error().detail_.find("nested"), std::string::npos);
    EXPECT_FALSE(
        is_nested_too_deep(R"({"a": "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[)"
                           R"([[\"[[[[", "b": [[]]})"));
}

TEST(settings, the_error_for_a_missing_required_field_names_it)
{
    settings const defaults = settings::parse("f.json", "{}").value();
    auto const missing = defaults.require(catalogue::node_name);
    ASSERT_TRUE(missing);
    EXPECT_NE(missing->detail_.find("node.name"), std::string::npos);
}

TEST(settings, every_declared_setting_is_described_and_its_default_is_valid)
{
    std::string const header =
        read_source_file("include/auburnlb/state/settings.hpp");
    EXPECT_EQ(count_occurrences(header, "inline constexpr setting<"),
              describe_settings().size());
    for (setting_description const& entry : describe_settings())
    {
        std::string const json = "{\"" + entry.section_ + "\": {\"" +
                                 entry.key_ + "\": " + entry.default_ + "}}";
        EXPECT_TRUE(settings::parse("f.json", json)) << json;
    }
}

TEST(settings, committed_schema_and_documentation_match_the_catalogue)
{
    EXPECT_EQ(read_source_file("schema/settings.schema.json"),
              settings_schema());
    EXPECT_NE(read_source_file("docs/SETTINGS.md").find(settings_reference()),
              std::string::npos);
}
