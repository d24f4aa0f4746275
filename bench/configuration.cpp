// Processor time and memory of the steps that a router takes for one change of
// the configuration, at several numbers of routes.
#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <memory>
#include <new>
#include <string>

#include <malloc.h>

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include "auburnlb/state/route_table.hpp"

#include "protocol.hpp"

using namespace auburnlb;
using nlohmann::json;

namespace
{

std::size_t live_bytes = 0;
std::size_t peak_bytes = 0;

void* count_block(void* block)
{
    if (block == nullptr)
    {
        throw std::bad_alloc();
    }
    live_bytes += malloc_usable_size(block);
    peak_bytes = std::max(peak_bytes, live_bytes);
    return block;
}

/// A route with each of the usual fields; one in four splits its requests.
json make_route(std::size_t number)
{
    std::string const name = "route-" + std::to_string(number);
    json route{{"name", name},
               {"host", name + ".example.internal"},
               {"path-prefix", "/v1/" + name + "/"},
               {"kind", number % 3 == 0 ? "streaming" : "unsafe"},
               {"timeout-ms", 20'000},
               {"latency-target-ms", 500},
               {"priority", 1},
               {"max-attempts", 2},
               {"public", false},
               {"resumable", true},
               {"gap-aim-ms", 200}};
    if (number % 4 != 0)
    {
        route["service"] = "service-" + std::to_string(number % 20);
        return route;
    }
    route["backends"] = {{{"service", "service-1"}, {"weight", 90}},
                         {{"service", "service-2"}, {"weight", 10}}};
    return route;
}

json make_configuration(std::size_t routes)
{
    json document{
        {"version", 7},
        {"routes", json::array()},
        {"services", json::array()},
        {"tenants", json::array()},
        {"limits",
         {{"header-timeout-ms", 3'000}, {"idle-timeout-ms", 15'000}}}};
    for (std::size_t number = 0; number < routes; ++number)
    {
        document["routes"].push_back(make_route(number));
    }
    for (int number = 0; number < 20; ++number)
    {
        document["services"].push_back(
            {{"name", "service-" + std::to_string(number)},
             {"max-connections", 96}});
    }
    for (int number = 0; number < 200; ++number)
    {
        std::string const name = "workspace-" + std::to_string(number);
        document["tenants"].push_back(
            {{"name", name}, {"api-keys", {name + "-key-1", name + "-key-2"}}});
    }
    return document;
}

std::string make_page(std::size_t routes)
{
    json const object{{"metadata", {{"name", "main"}, {"revision", 9}}},
                      {"spec", make_configuration(routes)}};
    return json{{"store-revision", 9},
                {"events", {{{"deleted", false}, {"object", object}}}}}
        .dump();
}

std::string make_text(std::size_t routes)
{
    return platform::read_page(make_page(routes)).value().objects_[0].value_;
}

/// Runs the step with the number of routes, and reports the most memory that it
/// held beyond what it was given.
template <class Step>
void measure(benchmark::State& state, Step step)
{
    std::size_t most = 0;
    for (auto _ : state)
    {
        std::size_t const before = live_bytes;
        peak_bytes = live_bytes;
        step();
        most = std::max(most, peak_bytes - before);
    }
    state.counters["peak_kb"] = static_cast<double>(most) / 1'024;
}

std::size_t routes_of(benchmark::State const& state)
{
    return static_cast<std::size_t>(state.range(0));
}

void read_page(benchmark::State& state)
{
    std::string const page = make_page(routes_of(state));
    measure(state,
            [&] { benchmark::DoNotOptimize(platform::read_page(page)); });
    state.counters["page_kb"] = static_cast<double>(page.size()) / 1'024;
}

void read_route_table(benchmark::State& state)
{
    std::string const text = make_text(routes_of(state));
    measure(state, [&]
            { benchmark::DoNotOptimize(platform::read_route_table(text)); });
}

void build_index(benchmark::State& state)
{
    route_table const table =
        platform::read_route_table(make_text(routes_of(state))).value();
    measure(state,
            [&] {
                benchmark::DoNotOptimize(
                    std::make_shared<route_index const>(table));
            });
}

void write_in_peer_message(benchmark::State& state)
{
    std::string const text = make_text(routes_of(state));
    measure(state,
            [&]
            {
                json message;
                message["configuration"] = text;
                benchmark::DoNotOptimize(message.dump(
                    -1, ' ', false, json::error_handler_t::replace));
            });
}

void read_in_peer_message(benchmark::State& state)
{
    std::string const message =
        json{{"configuration", make_text(routes_of(state))}}.dump();
    measure(state,
            [&]
            {
                json const document = json::parse(message);
                benchmark::DoNotOptimize(
                    document.at("configuration").get<std::string>());
            });
}

/// All of the work of a watcher, from the page to the index.
void take_page(benchmark::State& state)
{
    std::string const page = make_page(routes_of(state));
    measure(state,
            [&]
            {
                auto const objects = platform::read_page(page).value().objects_;
                benchmark::DoNotOptimize(std::make_shared<route_index const>(
                    platform::read_route_table(objects[0].value_).value()));
            });
}

} // namespace

void* operator new(std::size_t size)
{
    return count_block(std::malloc(size));
}

void operator delete(void* block) noexcept
{
    live_bytes -= malloc_usable_size(block);
    std::free(block);
}

void operator delete(void* block, std::size_t) noexcept
{
    operator delete(block);
}

BENCHMARK(read_page)->Arg(1'400)->Arg(3'000)->Unit(benchmark::kMillisecond);
BENCHMARK(read_route_table)
    ->Arg(1'400)
    ->Arg(3'000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(build_index)->Arg(1'400)->Arg(3'000)->Unit(benchmark::kMillisecond);
BENCHMARK(write_in_peer_message)
    ->Arg(1'400)
    ->Arg(3'000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(read_in_peer_message)
    ->Arg(1'400)
    ->Arg(3'000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(take_page)->Arg(1'400)->Arg(3'000)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
