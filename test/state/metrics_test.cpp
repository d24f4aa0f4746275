// Tests of merging metrics across threads, and of the text format.
#include <algorithm>
#include <fstream>
#include <random>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "auburnlb/state/metrics.hpp"

using namespace auburnlb;

namespace
{

/// Returns the value of a series in the exposition, or -1 if it is absent.
double line_value(std::string const& text, std::string const& series)
{
    auto const begin = text.find("\n" + series + " ");
    return begin == std::string::npos
               ? -1
               : std::stod(text.substr(begin + series.size() + 2));
}

/// Returns the names of the enumerators that refusal.hpp declares.
std::set<std::string> declared_names(std::string const& enumeration)
{
    std::ifstream file(std::string(AUBURNLB_SOURCE_DIR) +
                       "/include/auburnlb/state/refusal.hpp");
    std::ostringstream text;
    text << file.rdbuf();
    std::string const header = text.str();
    auto const begin = header.find("enum class " + enumeration);
    std::string const body =
        header.substr(begin, header.find("};", begin) - begin);
    std::regex const enumerator(R"(\n\s+(\w+)( = \d+)?,)");
    std::set<std::string> names;
    for (std::sregex_iterator match(body.begin(), body.end(), enumerator);
         match != std::sregex_iterator(); ++match)
    {
        names.insert((*match)[1]);
    }
    return names;
}

template <class Reasons>
std::set<std::string> names_of(Reasons const& reasons)
{
    std::set<std::string> names;
    for (auto const reason : reasons)
    {
        names.insert(to_string(reason));
    }
    return names;
}

} // namespace

TEST(metrics, counters_are_summed_across_threads)
{
    metrics_registry metrics;
    std::vector<std::thread> threads;
    threads.reserve(40);
    for (int thread = 0; thread < 40; ++thread)
    {
        threads.emplace_back(
            [&]
            {
                for (int round = 0; round < 1'000; ++round)
                {
                    metrics.add("auburnlb_requests_total", "service=\"a\"");
                }
            });
    }
    for (auto& each : threads)
    {
        each.join();
    }
    EXPECT_EQ(metrics.counter_value("auburnlb_requests_total", "service=\"a\""),
              40'000);
    EXPECT_EQ(metrics.counter_value("auburnlb_requests_total"), 0);
}

TEST(metrics, merged_quantiles_approximate_the_exact_ones)
{
    constexpr int thread_count = 8;
    std::vector<std::vector<double>> samples_s(thread_count);
    for (int index = 0; index < thread_count; ++index)
    {
        // The distributions differ, so that no single thread's samples give
        // the quantiles of all.
        std::mt19937_64 random(static_cast<std::uint64_t>(index) + 1);
        std::exponential_distribution<double> latency(100.0 / (index + 1));
        for (int count = 0; count < 5'000; ++count)
        {
            samples_s[index].push_back(latency(random));
        }
    }
    metrics_registry metrics;
    std::vector<std::thread> threads;
    threads.reserve(samples_s.size());
    for (auto const& part : samples_s)
    {
        threads.emplace_back(
            [&]
            {
                for (double const value_s : part)
                {
                    metrics.observe(
                        "auburnlb_wait_seconds", "",
                        nanoseconds(static_cast<std::int64_t>(value_s * 1e9)));
                }
            });
    }
    for (auto& each : threads)
    {
        each.join();
    }
    std::vector<double> all;
    for (auto const& part : samples_s)
    {
        all.insert(all.end(), part.begin(), part.end());
    }
    std::sort(all.begin(), all.end());
    std::string const text = metrics.render();
    EXPECT_EQ(line_value(text, "auburnlb_wait_seconds_count"), all.size());
    for (auto const& [label, quantile] :
         {std::pair{"0.5", 0.5}, {"0.95", 0.95}, {"0.99", 0.99}})
    {
        double const exact = all[static_cast<std::size_t>(
            quantile * static_cast<double>(all.size()))];
        double const reported =
            line_value(text, std::string("auburnlb_wait_seconds{quantile=\"") +
                                 label + "\"}");
        EXPECT_NEAR(reported / exact, 1, 0.1) << label;
    }
}

TEST(metrics, latencies_outside_the_bucket_range_are_counted)
{
    metrics_registry metrics;
    metrics.observe("auburnlb_wait_seconds", "a=\"1\"", nanoseconds(0));
    metrics.observe("auburnlb_wait_seconds", "a=\"1\"", nanoseconds(-5));
    metrics.observe("auburnlb_wait_seconds", "a=\"1\"", seconds(1'000'000));
    std::string const text = metrics.render();
    EXPECT_EQ(line_value(text, "auburnlb_wait_seconds_count{a=\"1\"}"), 3);
    EXPECT_EQ(
        line_value(text, "auburnlb_wait_seconds{a=\"1\",quantile=\"0.99\"}"),
        1'000'000);
}

TEST(metrics, every_reason_is_exposed_with_value_zero_at_start)
{
    EXPECT_EQ(names_of(all_refusal_reasons()),
              declared_names("refusal_reason"));
    EXPECT_EQ(names_of(all_retry_reasons()), declared_names("retry_reason"));
    metrics_registry metrics;
    std::string const text = metrics.render();
    for (auto const& name : declared_names("refusal_reason"))
    {
        EXPECT_EQ(line_value(text, "auburnlb_refusals_total{reason=\"" + name +
                                       "\"}"),
                  0)
            << name;
    }
    for (auto const& name : declared_names("retry_reason"))
    {
        EXPECT_EQ(
            line_value(text, "auburnlb_retries_total{reason=\"" + name + "\"}"),
            0)
            << name;
    }
}

TEST(metrics, each_reason_has_its_own_counter)
{
    metrics_registry metrics;
    metrics.count_refusal(refusal_reason::overloaded);
    metrics.count_refusal(refusal_reason::overloaded);
    metrics.count_retry(retry_reason::stage_died);
    std::string const text = metrics.render();
    EXPECT_EQ(
        line_value(text, "auburnlb_refusals_total{reason=\"overloaded\"}"), 2);
    EXPECT_EQ(line_value(text, "auburnlb_refusals_total{reason=\"no_chain\"}"),
              0);
    EXPECT_EQ(line_value(text, "auburnlb_retries_total{reason=\"stage_died\"}"),
              1);
}

TEST(metrics, each_metric_name_has_one_type_line)
{
    metrics_registry metrics;
    metrics.set_gauge("auburnlb_queue", "service=\"a\"", 1.5);
    metrics.set_gauge("auburnlb_queue", "service=\"b\"", 2);
    metrics.set_gauge("auburnlb_queue", "service=\"a\"", 3);
    std::string const text = metrics.render();
    auto const first = text.find("# TYPE auburnlb_queue gauge\n");
    ASSERT_NE(first, std::string::npos);
    EXPECT_EQ(text.find("# TYPE auburnlb_queue", first + 1), std::string::npos);
    EXPECT_EQ(line_value(text, "auburnlb_queue{service=\"a\"}"), 3);
}
