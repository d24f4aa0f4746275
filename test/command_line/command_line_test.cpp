// Tests of the command line against the administration API in memory.
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "auburnlb/command_line/command_line.hpp"
#include "auburnlb/coordination/admin_api.hpp"
#include "coordination/memory_store.hpp"

using namespace auburnlb;
using namespace auburnlb::test;
using nlohmann::json;

namespace
{

std::string const writer_file =
    std::string(AUBURNLB_SOURCE_DIR) + "/examples/kalaiwala/kalai-writer.json";

class command_line_test : public testing::Test
{
protected:
    exit_status run(std::vector<std::string> arguments)
    {
        out_.str("");
        err_.str("");
        arguments.insert(arguments.begin(), "auburnlb");
        return run_command_line(arguments, environment_);
    }

    result<admin_response> call(admin_request const& request)
    {
        ++calls_;
        admin_response response;
        api_.handle(request, [&](admin_response answer)
                    { response = std::move(answer); });
        store_.settle();
        if (lost_answers_ > 0 && request.method_ != "GET")
        {
            --lost_answers_;
            return error{error_code::response_lost, "send request", "", "cut"};
        }
        return response;
    }

    memory_store store_;
    int calls_ = 0;
    int lost_answers_ = 0;
    int change_ids_ = 0;
    std::map<std::string, std::string> variables_{
        {"AUBURNLB_ADMIN", "http://127.0.0.1:1"},
        {"AUBURNLB_TOKEN", "secret"},
        {"USER", "asha"}};
    std::ostringstream out_;
    std::ostringstream err_;
    admin_api api_{
        store_,
        "secret",
        {[]
         {
             return std::string(
                 R"({"host": "e1", "endpoints": [{"name": "engine-1"}]})");
         },
         [](std::string const&,
            std::function<void(result<std::string>)> const& handler)
         { handler(std::string(R"({"state": "leaving"})")); },
         nullptr,
         []
         {
             return std::string(R"({"entry": "0.1.0"})");
         }}};
    command_environment environment_{
        out_,
        err_,
        [this](std::string const& name) -> std::optional<std::string>
        {
            auto const found = variables_.find(name);
            return found == variables_.end()
                       ? std::nullopt
                       : std::optional<std::string>(found->second);
        },
        nullptr,
        [this] { return "change-" + std::to_string(++change_ids_); },
        [this](std::string const&, admin_request const& request)
        {
            return call(request);
        }};
};

} // namespace

TEST_F(command_line_test, every_command_has_help_and_wrong_usage_is_code_2)
{
    for (char const* name :
         {"questionnaire", "generate", "check", "apply", "amend", "status",
          "drain", "history", "version", "schema"})
    {
        EXPECT_EQ(run({name, "--help"}), exit_status::ok);
        EXPECT_NE(out_.str().find(std::string("Usage: auburnlb ") + name),
                  std::string::npos);
    }
    EXPECT_EQ(run({"--help"}), exit_status::ok);
    std::vector<std::string> const wrong[] = {
        {},
        {"fly"},
        {"check"},
        {"generate", "a", "b"},
        {"status", "--loud"},
        {"history", "s", "--show", "new"},
        {"apply", "--comment"},
        {"amend", "kalai-writer"},
        {"amend", "kalai-writer", "max_tokens"},
        {"questionnaire", "--kind", "odd"},
    };
    for (auto const& arguments : wrong)
    {
        EXPECT_EQ(run(arguments), exit_status::usage);
        EXPECT_FALSE(err_.str().empty());
    }
    variables_.erase("AUBURNLB_TOKEN");
    EXPECT_EQ(run({"status"}), exit_status::usage);
    variables_.clear();
    EXPECT_EQ(run({"status"}), exit_status::usage);
    EXPECT_EQ(calls_, 0);
}

TEST_F(command_line_test, files_are_checked_and_generated_without_a_server)
{
    EXPECT_EQ(run({"check", writer_file}), exit_status::ok);
    EXPECT_EQ(run({"check", writer_file, "/nonexistent.json"}),
              exit_status::failure);
    EXPECT_EQ(run({"generate", writer_file}), exit_status::ok);
    EXPECT_NE(out_.str().find("four times requests.answer_tokens"),
              std::string::npos);
    EXPECT_EQ(run({"generate", writer_file, "--json"}), exit_status::ok);
    EXPECT_EQ(json::parse(out_.str())["fields"]["max_tokens"]["value"], 640);
    for (char const* kind : {"model", "plain"})
    {
        std::string const path =
            testing::TempDir() + "questionnaire-" + kind + ".json";
        EXPECT_EQ(run({"questionnaire", "--kind", kind}), exit_status::ok);
        std::ofstream(path) << out_.str();
        EXPECT_EQ(run({"check", path}), exit_status::ok) << err_.str();
        std::remove(path.c_str());
    }
    EXPECT_EQ(calls_, 0);
}

TEST_F(command_line_test, apply_needs_yes_without_a_terminal)
{
    EXPECT_EQ(run({"apply", writer_file}), exit_status::failure);
    EXPECT_NE(err_.str().find("--yes"), std::string::npos);
    EXPECT_TRUE(store_.log().empty());
    environment_.confirm_ = [](std::string const&)
    {
        return false;
    };
    EXPECT_EQ(run({"apply", writer_file}), exit_status::failure);
    EXPECT_TRUE(store_.log().empty());
    environment_.confirm_ = [](std::string const&)
    {
        return true;
    };
    EXPECT_EQ(run({"apply", writer_file}), exit_status::ok);
    EXPECT_NE(out_.str().find("Accepted as version"), std::string::npos);
    EXPECT_EQ(run({"apply", writer_file, "--yes"}), exit_status::ok);
    EXPECT_NE(err_.str().find("in force already"), std::string::npos);
    EXPECT_EQ(store_.log().size(), 1U);
}

TEST_F(command_line_test, amend_shows_the_difference_and_keeps_history)
{
    run({"apply", writer_file, "--yes"});
    EXPECT_EQ(run({"amend", "kalai-writer", "max_tokens=900", "--yes",
                   "--comment", "long cards"}),
              exit_status::ok);
    EXPECT_NE(out_.str().find("max_tokens  640     900"), std::string::npos)
        << out_.str();
    EXPECT_EQ(run({"history", "kalai-writer", "--json"}), exit_status::ok);
    auto const versions = json::parse(out_.str())["versions"];
    ASSERT_EQ(versions.size(), 2U);
    EXPECT_EQ(versions[0]["comment"], "long cards");
    EXPECT_EQ(versions[0]["author"], "asha");
    std::string const first = versions[1]["version"].dump();
    EXPECT_EQ(run({"history", "kalai-writer", "--show", first}),
              exit_status::ok);
    EXPECT_EQ(run({"history", "kalai-writer", "--rollback", first, "--yes"}),
              exit_status::ok);
    EXPECT_NE(out_.str().find("max_tokens  900     640"), std::string::npos);
    EXPECT_EQ(run({"amend", "kalai-writer", "max_tokens=many", "--yes"}),
              exit_status::failure);
    EXPECT_NE(err_.str().find("field max_tokens"), std::string::npos);
}

TEST_F(command_line_test, the_slower_of_two_operators_gets_code_3)
{
    run({"apply", writer_file, "--yes"});
    run({"history", "kalai-writer", "--json"});
    std::string const seen =
        json::parse(out_.str())["versions"][0]["version"].dump();
    EXPECT_EQ(run({"amend", "kalai-writer", "max_tokens=900", "--yes",
                   "--expect", seen}),
              exit_status::ok);
    EXPECT_EQ(run({"amend", "kalai-writer", "max_tokens=800", "--yes",
                   "--expect", seen}),
              exit_status::conflict);
    EXPECT_NE(err_.str().find("by asha"), std::string::npos) << err_.str();
    EXPECT_NE(err_.str().find("max_tokens  640     900"), std::string::npos);
}

TEST_F(command_line_test, a_lost_answer_is_sent_again_under_the_same_id)
{
    lost_answers_ = 2;
    EXPECT_EQ(run({"apply", writer_file, "--yes"}), exit_status::ok);
    EXPECT_EQ(store_.log().size(), 1U);
    lost_answers_ = 3;
    EXPECT_EQ(run({"amend", "kalai-writer", "max_tokens=900", "--yes"}),
              exit_status::failure);
    EXPECT_NE(err_.str().find("--change-id change-2 --expect 1"),
              std::string::npos)
        << err_.str();
    EXPECT_EQ(run({"amend", "kalai-writer", "max_tokens=900", "--yes",
                   "--change-id", "change-2", "--expect", "1"}),
              exit_status::ok);
    EXPECT_EQ(json::parse(store_.log().back().value_)["change_id"], "change-2");
}

TEST_F(command_line_test, status_drain_and_version_print_tables_or_json)
{
    run({"apply", writer_file, "--yes"});
    EXPECT_EQ(run({"status"}), exit_status::ok);
    EXPECT_NE(out_.str().find("engine-1"), std::string::npos);
    EXPECT_NE(out_.str().find("kalai-writer"), std::string::npos);
    EXPECT_EQ(run({"status", "--json"}), exit_status::ok);
    EXPECT_EQ(json::parse(out_.str())["host"], "e1");
    EXPECT_EQ(run({"drain", "engine-1"}), exit_status::failure);
    EXPECT_EQ(run({"drain", "engine-1", "--yes"}), exit_status::ok);
    EXPECT_EQ(run({"version"}), exit_status::ok);
    EXPECT_NE(out_.str().find("entry: 0.1.0"), std::string::npos);
    variables_["AUBURNLB_TOKEN"] = "wrong";
    EXPECT_EQ(run({"status"}), exit_status::failure);
    EXPECT_NE(err_.str().find("401"), std::string::npos);
}
