// Tests of the platform's objects: configuration, engines and store pages.
#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "protocol.hpp"

using namespace auburnlb;
using nlohmann::json;

namespace
{

json configuration()
{
    return json::parse(R"({
      "version": 7,
      "routes": [
        {"name": "stream", "host": "h", "path-prefix": "/s/",
         "kind": "streaming", "timeout-ms": 20000, "latency-target-ms": 500,
         "priority": 1, "max-attempts": 2, "public": false, "resumable": true,
         "gap-aim-ms": 200,
         "backends": [{"service": "model", "weight": 90},
                      {"service": "other", "weight": 10}]},
        {"name": "call", "host": "h", "path-prefix": "/c/", "kind": "unsafe",
         "timeout-ms": 600, "service": "other"}],
      "services": [
        {"name": "model", "max-connections": 1128,
         "engine": {"batch-slots": 192, "kv-bytes": 918000, "stride": 3,
                    "models": [{"name": "m", "load-s": 14.0}],
                    "step_ms": 1.02, "read_per_s": 105000.0,
                    "chunk": 512, "layers": 80, "layer-mb": 1750.0,
                    "act-bytes": 45900, "pipe-mbps": 26000.0,
                    "loads_at_once": 5,
                    "usual": {"prompt": 774, "answer": 200},
                    "kinds": [{"name": "a100", "mb": 72000.0, "pace": 2.4,
                               "read-x": 3.2}]}},
        {"name": "other", "max-connections": 96}],
      "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                 "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
      "tenants": [{"name": "w", "api-keys": ["k1", "k2"], "priority": 1}]})");
}

json engine_entry()
{
    return json::parse(R"({"service": "model", "address": "10.0.0.9:8080",
        "zone": "surat", "version": "v1", "batch-slots": 192,
        "state": "ready", "kind": "a100", "born": 1700000000000,
        "layers": {"from": 20, "to": 31, "version": 1}, "sequence": 4})");
}

} // namespace

TEST(platform_configuration, reads_routes_services_and_workspaces)
{
    route_table const table =
        platform::read_route_table(configuration().dump()).value();
    EXPECT_EQ(table.version_, 7U);
    ASSERT_EQ(table.routes_.size(), 2U);
    route const& stream = table.routes_.front();
    EXPECT_EQ(stream.kind_, route_kind::stream);
    EXPECT_EQ(stream.timeout_, milliseconds(20'000));
    EXPECT_TRUE(stream.is_resumable_);
    EXPECT_EQ(stream.max_event_gap_, milliseconds(200));
    EXPECT_EQ(stream.caller_stall_timeout_, milliseconds(2'000));
    EXPECT_EQ(stream.services_,
              (std::vector<weighted_service>{{"model", 90}, {"other", 10}}));
    EXPECT_EQ(table.routes_.back().kind_, route_kind::non_idempotent);
    EXPECT_EQ(table.routes_.back().max_attempts_, 1U);
    ASSERT_TRUE(table.services_.front().model_);
    model_profile const& model = *table.services_.front().model_;
    EXPECT_EQ(model.layers_, 80U);
    EXPECT_EQ(model.load_s_, 14.0);
    EXPECT_EQ(model.steps_per_event_, 3U);
    EXPECT_EQ(model.prefill_tokens_per_step_, 512);
    EXPECT_EQ(model.accelerators_.at("a100").step_factor_, 2.4);
    EXPECT_FALSE(table.services_.back().model_);
    EXPECT_EQ(table.workspaces_.front().api_keys_.size(), 2U);
    EXPECT_EQ(table.limits_.idle_timeout_, milliseconds(15'000));
}

// Calls of such a route would not be sent at all.
TEST(platform_configuration, a_route_without_attempts_has_one)
{
    json value = configuration();
    value["routes"][0]["max-attempts"] = 0;
    route_table const table = platform::read_route_table(value.dump()).value();
    EXPECT_EQ(table.routes_.front().max_attempts_, 1U);
}

TEST(platform_configuration, an_unknown_kind_promises_most)
{
    json document = configuration();
    document["routes"][0]["kind"] = "something-new";
    EXPECT_EQ(platform::read_route_table(document.dump())
                  .value()
                  .routes_.front()
                  .kind_,
              route_kind::non_idempotent);
}

TEST(platform_configuration, errors_name_field_and_value)
{
    struct bad
    {
        json::json_pointer where_;
        json value_;
        std::string field_;
    };
    for (bad const& each :
         {bad{json::json_pointer("/version"), "seven", "version"},
          bad{json::json_pointer("/routes/0/path-prefix"), 3, "path-prefix"},
          bad{json::json_pointer("/routes/1/timeout-ms"), "long", "timeout-ms"},
          bad{json::json_pointer("/routes"), "none", "routes"},
          bad{json::json_pointer("/tenants/0/api-keys/0"), 5, "api-keys"}})
    {
        json document = configuration();
        document[each.where_] = each.value_;
        auto const table = platform::read_route_table(document.dump());
        ASSERT_FALSE(table) << each.field_;
        EXPECT_NE(table.error().detail_.find(each.field_), std::string::npos);
        EXPECT_NE(table.error().detail_.find(each.value_.dump()),
                  std::string::npos);
    }
    EXPECT_FALSE(platform::read_route_table("{"));
    EXPECT_FALSE(platform::read_route_table("[]"));
}

TEST(platform_engines, reads_an_entry)
{
    endpoint_record const record =
        platform::read_endpoint("i-1", engine_entry().dump()).value();
    EXPECT_EQ(record.id_, "i-1");
    EXPECT_EQ(record.data_centre_, "surat");
    EXPECT_EQ(record.layers_, (layer_range{20, 31}));
    EXPECT_EQ(record.accelerator_, "a100");
    EXPECT_EQ(record.started_ms_, 1'700'000'000'000U);
    EXPECT_FALSE(record.is_draining_);
}

TEST(platform_engines, an_engine_without_layers_holds_none)
{
    json entry = engine_entry();
    entry.erase("layers");
    EXPECT_EQ(platform::read_endpoint("i", entry.dump()).value().layers_,
              std::nullopt);
    entry["layers"] = {{"from", 0}, {"to", 0}};
    EXPECT_EQ(platform::read_endpoint("i", entry.dump()).value().layers_,
              std::nullopt);
}

TEST(platform_engines, entries_of_other_writers_name_no_endpoint)
{
    for (char const* const field :
         {"service", "address", "zone", "batch-slots", "state"})
    {
        json entry = engine_entry();
        entry[field] = json::array();
        EXPECT_FALSE(platform::read_endpoint("i", entry.dump())) << field;
        entry.erase(field);
        EXPECT_FALSE(platform::read_endpoint("i", entry.dump())) << field;
    }
    json entry = engine_entry();
    entry["state"] = "resting";
    EXPECT_FALSE(platform::read_endpoint("i", entry.dump()));
    EXPECT_FALSE(platform::read_endpoint("i", "\"\\u0000\""));
    EXPECT_FALSE(platform::read_endpoint("i", "null"));
    EXPECT_FALSE(platform::read_endpoint("i", ""));
}

TEST(platform_engines, reads_a_report)
{
    auto const report =
        platform::read_report(
            R"({"busy": true, "sequence": 2, "born": 5, "pace": 3.5,
                "layers": {"from": 0, "to": 4},
                "stalled": [{"id": "r", "address": "a"}]})")
            .value();
    EXPECT_TRUE(report.is_busy_);
    EXPECT_EQ(report.orders_, 2U);
    EXPECT_EQ(report.slowness_, 3.5);
    EXPECT_EQ(report.layers_, (layer_range{0, 4}));
    ASSERT_EQ(report.stalled_.size(), 1U);
    EXPECT_EQ(report.stalled_.front().faulty_address_, "a");
    EXPECT_FALSE(platform::read_report("{}"));
}

TEST(platform_engines, an_order_names_engine_layers_and_expected_orders)
{
    http_call const call =
        platform::write_placement_call("engine-7", {20, 31}, 4);
    EXPECT_EQ(call.fields_, (std::vector<http_field>{
                                {"Auburnlb-Expect-Instance", "engine-7"}}));
    EXPECT_EQ(call.method_, "POST");
    EXPECT_EQ(call.target_, "/order");
    EXPECT_EQ(json::parse(call.body_),
              json::parse(R"({"operation": "place", "from": 20, "to": 31,
                              "drain-mode": "wait", "expect": 4})"));
}

TEST(platform_store, reads_lists_and_events)
{
    auto const list =
        platform::read_page(
            R"({"items": [{"metadata": {"name": "a", "revision": 3},
                           "spec": {"x": 1}}],
                "has-more": true, "store-revision": 9})")
            .value();
    ASSERT_EQ(list.objects_.size(), 1U);
    EXPECT_EQ(list.objects_.front().name_, "a");
    EXPECT_EQ(list.objects_.front().value_, R"({"x": 1})");
    EXPECT_TRUE(list.has_more_);
    EXPECT_EQ(list.revision_, 9U);
    auto const events = platform::read_page(
                            R"({"events": [{"deleted": true, "object":
                  {"metadata": {"name": "b", "revision": 4}, "spec": null}}],
                "store-revision": 12})")
                            .value();
    ASSERT_EQ(events.objects_.size(), 1U);
    EXPECT_TRUE(events.objects_.front().is_deleted_);
    EXPECT_FALSE(platform::read_page("{}"));
    EXPECT_FALSE(platform::read_page("x"));
}

/// A large spec was parsed and written again with each page.
TEST(platform_store, a_spec_is_handed_on_as_it_stands)
{
    std::string const spec = R"({"z":  1.50, "a": [ {"spec": "}"} ],
        "\u0061": "\/"})";
    std::string const object =
        R"({"metadata": {"name": "a", "revision": 3}, "status": {"spec": 8},
            "spec" : )" +
        spec + " }";
    auto const list = platform::read_page(R"({"items": [)" + object + ", " +
                                          object + R"(], "store-revision": 9})")
                          .value();
    ASSERT_EQ(list.objects_.size(), 2U);
    EXPECT_EQ(list.objects_.front().value_, spec);
    EXPECT_EQ(list.objects_.back().value_, spec);
    auto const events =
        platform::read_page(R"({"store-revision": 9, "events": [{"object": )" +
                            object + R"(, "deleted": false}]})")
            .value();
    EXPECT_EQ(events.objects_.front().value_, spec);
    EXPECT_EQ(platform::read_object(object).value().value_, spec);
}

TEST(platform_store, a_new_object_is_created_and_a_known_one_replaced)
{
    store_object object;
    object.name_ = "lease";
    object.value_ = R"({"holder":"a"})";
    http_call const create = platform::write_put_call("kind", object);
    EXPECT_EQ(create.method_, "POST");
    EXPECT_EQ(create.target_, "/objects/kind");
    object.revision_ = 5;
    http_call const replace = platform::write_put_call("kind", object);
    EXPECT_EQ(replace.method_, "PUT");
    EXPECT_EQ(replace.target_, "/objects/kind/lease");
    EXPECT_EQ(json::parse(replace.body_)["metadata"]["revision"], 5);
    EXPECT_EQ(platform::write_watch_call("kind", 7, milliseconds(100)).target_,
              "/objects/kind?watch=7&wait-ms=100");
    EXPECT_EQ(platform::write_list_call("kind", "a").target_,
              "/objects/kind?after=a");
}

TEST(platform_store, reads_the_number_of_the_history)
{
    http_head head;
    EXPECT_EQ(platform::read_store_epoch(head), std::nullopt);
    head.fields_ = {{"store-era", "3"}};
    EXPECT_EQ(platform::read_store_epoch(head), 3U);
    for (char const* const text : {"", "3x", "-1", "1.5"})
    {
        head.fields_ = {{"Store-Era", text}};
        EXPECT_EQ(platform::read_store_epoch(head), std::nullopt) << text;
    }
}
