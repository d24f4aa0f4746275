// Tests of the rendering of log events, and of docs/EVENTS.md against the code.
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "auburnlb/state/log.hpp"

using namespace auburnlb;

namespace
{

std::string read_source(std::string const& path)
{
    std::ifstream file(std::string(AUBURNLB_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

using numbered_names = std::set<std::pair<int, std::string>>;

/// Returns the number and the name captured by each match of the pattern.
numbered_names collect(std::string const& text, std::string const& pattern,
                       int number_group, int name_group)
{
    numbered_names found;
    std::regex const expression(pattern);
    for (std::sregex_iterator match(text.begin(), text.end(), expression);
         match != std::sregex_iterator(); ++match)
    {
        found.emplace(std::stoi((*match)[number_group]), (*match)[name_group]);
    }
    return found;
}

numbered_names events_in_code()
{
    numbered_names found;
    for (log_event const event : all_log_events())
    {
        found.emplace(static_cast<int>(event), to_string(event));
    }
    return found;
}

std::string render(log_format format, std::string_view message)
{
    return render_event(format, "entry-1", "2026-01-02T03:04:05Z",
                        log_level::warning, log_event::stream_resumed,
                        {{"request", "1f-3"}, {"peer", "tcp://x y"}}, message);
}

} // namespace

TEST(log_event, all_log_events_lists_every_declared_event)
{
    std::string const header = read_source("include/auburnlb/state/log.hpp");
    auto const begin = header.find("enum class log_event");
    std::string const body =
        header.substr(begin, header.find("};", begin) - begin);
    auto const declared = collect(body, R"((\w+) = (\d+),)", 2, 1);
    ASSERT_FALSE(declared.empty());
    EXPECT_EQ(events_in_code(), declared);
}

TEST(log_event, the_events_page_lists_exactly_the_declared_events)
{
    auto const catalogue = collect(read_source("docs/EVENTS.md"),
                                   R"(\n\| E(\d{4}) \| `(\w+)` \|)", 1, 2);
    EXPECT_EQ(events_in_code(), catalogue);
}

TEST(log, text_lines_contain_number_fields_and_message)
{
    EXPECT_EQ(render(log_format::text, "two\nlines"),
              "2026-01-02T03:04:05Z warning E0401 stream_resumed "
              "process=entry-1 request=1f-3 peer=\"tcp://x y\" two lines");
}

TEST(log, json_lines_are_one_object_even_for_invalid_utf8)
{
    std::string const line = render(log_format::json, "bad \xFF\n\"byte\"");
    EXPECT_EQ(line.find('\n'), std::string::npos);
    auto const parsed = nlohmann::json::parse(line);
    EXPECT_EQ(parsed["event"], "E0401");
    EXPECT_EQ(parsed["level"], "warning");
    EXPECT_EQ(parsed["request"], "1f-3");
    EXPECT_EQ(parsed["peer"], "tcp://x y");
}

TEST(log, events_below_the_lowest_level_are_not_written)
{
    static manual_clock const clock;
    configure_log(log_level::warning, log_format::text, "test", clock,
                  log_target::standard_error);
    testing::internal::CaptureStderr();
    log(log_level::info, log_event::peer_joined, {}, "left out");
    log(log_level::error, log_event::peer_lost, {{"peer", "a"}}, "kept");
    std::string const written = testing::internal::GetCapturedStderr();
    EXPECT_EQ(written.find("left out"), std::string::npos);
    EXPECT_NE(written.find("error E0302 peer_lost process=test peer=a kept\n"),
              std::string::npos);
    EXPECT_EQ(std::count(written.begin(), written.end(), '\n'), 1);
}

TEST(log, lines_over_the_rate_limit_are_reported_a_second_later)
{
    static manual_clock clock;
    configure_log(log_level::info, log_format::text, "test", clock,
                  log_target::standard_error);
    testing::internal::CaptureStderr();
    constexpr int lines_above_the_limit = 250;
    for (int line = 0; line < lines_above_the_limit; ++line)
    {
        log(log_level::info, log_event::request_refused, {}, "too many");
    }
    clock.advance(seconds(1));
    log(log_level::info, log_event::request_refused, {}, "again");
    std::string const written = testing::internal::GetCapturedStderr();
    EXPECT_EQ(std::count(written.begin(), written.end(), '\n'), 202);
    EXPECT_NE(written.find("of_event=400 lines=50"), std::string::npos);
    EXPECT_NE(written.find("again"), std::string::npos);
}
