// Time and memory of the pure decisions at several sizes, as JSON lines.
#include <algorithm>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>

#include <vector>

#include <malloc.h>

#include <nlohmann/json.hpp>

#include "auburnlb/coordination/admission.hpp"
#include "auburnlb/coordination/chain_choice.hpp"
#include "auburnlb/coordination/crash_suspicion.hpp"
#include "auburnlb/coordination/placement.hpp"
#include "auburnlb/coordination/retry_budget.hpp"
#include "auburnlb/coordination/route_plan.hpp"

#include "routing_baselines.hpp"
#include "synthetic_fleet.hpp"

using namespace auburnlb;

namespace
{

struct timing
{
    double p50_us_ = 0;
    double p99_us_ = 0;
};

/// Times each call by itself.
timing time_calls(int calls, std::function<void(int)> const& call)
{
    using clock = std::chrono::steady_clock;
    std::vector<double> micros;
    micros.reserve(static_cast<std::size_t>(calls));
    for (int number = 0; number < calls; ++number)
    {
        clock::time_point const begin = clock::now();
        call(number);
        micros.push_back(
            std::chrono::duration<double, std::micro>(clock::now() - begin)
                .count());
    }
    std::sort(micros.begin(), micros.end());
    return {micros[micros.size() / 2], micros[micros.size() * 99 / 100]};
}

/// Bytes in use on the heap and in blocks that were mapped one by one.
std::size_t heap_bytes()
{
    struct mallinfo2 const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

struct size
{
    int engines_ = 0;
    int services_ = 0;
    int workspaces_ = 0;
};

void print_line(char const* what, size const& at, timing const& taken,
                nlohmann::json const& extra = nlohmann::json::object())
{
    nlohmann::json line{{"bench", "decision"},
                        {"what", what},
                        {"engines", at.engines_},
                        {"services", at.services_},
                        {"workspaces", at.workspaces_},
                        {"p50_us", std::round(taken.p50_us_ * 1'000) / 1'000},
                        {"p99_us", std::round(taken.p99_us_ * 1'000) / 1'000}};
    line.update(extra);
    std::printf("%s\n", line.dump().c_str());
}

constexpr int centres = 7;
constexpr int calls = 20'000;
constexpr std::size_t in_progress = 500;

std::string service_name(int number, size const& at)
{
    return "model-" + std::to_string(number % at.services_);
}

using chain = std::vector<chain_stage>;

/// Chooses with requests that begin and end around each choice.
void bench_choice(size const& at, route_plan const& plan, char const* what,
                  std::set<std::string> const& excluded, bool with_prefix)
{
    std::size_t const before = heap_bytes();
    selector_state state = make_selector_state(1, 50);
    std::deque<chain> running;
    std::vector<std::string> names;
    for (int service = 0; service < at.services_; ++service)
    {
        names.push_back(service_name(service, at));
        choose_chain(plan, names.back(), state, {});
    }
    std::size_t const bytes = heap_bytes() - before;
    auto const choose = [&](int number)
    {
        auto const service = static_cast<std::size_t>(number % at.services_);
        std::uint64_t const prefix =
            with_prefix ? static_cast<std::uint64_t>(number % 100) + 1 : 0;
        auto chosen =
            choose_chain(plan, names[service], state, excluded, prefix, 100);
        if (!chosen)
        {
            std::abort();
        }
        record_request_start(state, *chosen);
        running.push_back(std::move(*chosen));
        if (running.size() > in_progress)
        {
            record_request_end(state, running.front());
            running.pop_front();
        }
    };
    time_calls(calls / 10, choose);
    print_line(what, at, time_calls(calls, choose), {{"state_bytes", bytes}});
}

void bench_baselines(size const& at, route_plan const& plan)
{
    service_plan const& service = plan.services_.begin()->second;
    baseline::load_view loads;
    std::mt19937_64 random(1);
    print_line("choose_least_loaded", at,
               time_calls(calls / 4,
                          [&](int)
                          {
                              for (chain_stage const& stage :
                                   baseline::least_loaded(service, loads))
                              {
                                  loads[stage.address_] += 1;
                              }
                          }));
    print_line(
        "choose_random_of_two", at,
        time_calls(calls / 4,
                   [&](int)
                   {
                       for (chain_stage const& stage :
                            baseline::random_of_two(service, loads, random))
                       {
                           loads[stage.address_] += 1;
                       }
                   }));
}

void bench_plan(size const& at, fleet_snapshot const& fleet,
                link_rates const& links)
{
    std::size_t bytes = 0;
    timing const taken = time_calls(50,
                                    [&](int)
                                    {
                                        std::size_t const before = heap_bytes();
                                        route_plan const plan =
                                            plan_routes(fleet, links);
                                        bytes = heap_bytes() - before;
                                    });
    print_line("plan_routes", at, taken, {{"state_bytes", bytes}});
}

admission_request request_of(int number, size const& at, time_point now)
{
    admission_request request;
    request.ticket_ = static_cast<std::uint64_t>(number) + 1;
    // One workspace sends a third of all requests.
    int const workspace =
        number % 3 == 0 ? 0
                        : static_cast<int>(number * 7919LL % at.workspaces_);
    request.workspace_ = "workspace-" + std::to_string(workspace);
    request.priority_ = number % 4;
    request.token_cost_ = 100 + number % 50;
    request.deadline_ = now + seconds(30 + number % 30);
    return request;
}

/// Requests arrive at a multiple of the rate at which they end; each tenth
/// arrival a tick decides on those that wait.
void bench_admission(size const& at, service_config const& config,
                     double overload, char const* what)
{
    std::size_t const before = heap_bytes();
    admission_state state = make_admission(config, {0, 50}, 100'000, {});
    std::size_t const bytes = heap_bytes() - before;
    double const arrivals_per_s = 50 * overload;
    constexpr double service_s = 2;
    state.limit_ = 100;
    state.min_limit_ = 100;
    state.max_limit_ = 100;
    state.service_time_s_ = service_s;
    time_point now{};
    std::deque<std::pair<time_point, std::uint64_t>> ends;
    std::size_t most_waiting = 0;
    std::vector<double> ticks;
    std::vector<double> admits;
    using clock = std::chrono::steady_clock;
    for (int number = 0; number < calls; ++number)
    {
        now += std::chrono::duration_cast<nanoseconds>(
            std::chrono::duration<double>(1 / arrivals_per_s));
        while (!ends.empty() && ends.front().first <= now)
        {
            on_finish(state, ends.front().second, 120, seconds(2));
            ends.pop_front();
        }
        clock::time_point const tick_begin = clock::now();
        auto const decisions = on_tick(state, now);
        ticks.push_back(
            std::chrono::duration<double, std::micro>(clock::now() - tick_begin)
                .count());
        for (admission_decision const& decision : decisions)
        {
            if (decision.verdict_ == admission_verdict::admit)
            {
                ends.emplace_back(now + seconds(2), decision.ticket_);
            }
        }
        admission_request const request = request_of(number, at, now);
        clock::time_point const begin = clock::now();
        admission_decision const decision = admit(state, request, now);
        admits.push_back(
            std::chrono::duration<double, std::micro>(clock::now() - begin)
                .count());
        if (decision.verdict_ == admission_verdict::admit)
        {
            ends.emplace_back(now + seconds(2), request.ticket_);
        }
        most_waiting = std::max(most_waiting, state.waiting_.size());
    }
    std::sort(admits.begin(), admits.end());
    std::sort(ticks.begin(), ticks.end());
    print_line(what, at,
               {admits[admits.size() / 2], admits[admits.size() * 99 / 100]},
               {{"state_bytes", bytes},
                {"most_waiting", most_waiting},
                {"tick_p50_us", ticks[ticks.size() / 2]},
                {"tick_p99_us", ticks[ticks.size() * 99 / 100]}});
}

void bench_suspicion(size const& at)
{
    crash_suspicion state;
    std::uint64_t sequence = 0;
    std::string const body(2'000, 'x');
    auto const begin = [&](int)
    {
        request_fingerprint const fingerprint =
            fingerprint_of("workspace", "service", body) + ++sequence;
        may_run(state, fingerprint, {});
        record_run(state, {1, sequence}, fingerprint, {"a", "b", "c"}, 0);
        if (sequence > in_progress)
        {
            on_run_end(state, {1, sequence - in_progress}, true);
        }
    };
    print_line("suspicion_begin", at, time_calls(calls, begin));
    retry_budget budget = make_retry_budget(0.1);
    print_line("retry_budget", at,
               time_calls(calls,
                          [&](int)
                          {
                              on_request_begun(budget);
                              try_spend(budget, retry_reason::stage_died);
                          }));
}

void bench_placement(size const& at, fleet_snapshot const& fleet,
                     link_rates const& links)
{
    std::string const& name = fleet.services_.begin()->first;
    std::uint32_t const layers = fleet.services_.begin()->second->layers_;
    std::vector<endpoint_description> endpoints;
    for (endpoint_description const& endpoint : fleet.endpoints_)
    {
        if (endpoint.service_ == name)
        {
            endpoints.push_back(endpoint);
        }
    }
    print_line(
        "propose_move_of_one_service", at,
        time_calls(5, [&](int)
                   { propose_move(endpoints, layers, links, {}, {}, {}); }));
}

void bench_fleet(size const& at)
{
    std::size_t const before = heap_bytes();
    fleet_snapshot const fleet = synthetic::make_fleet(
        at.engines_, at.services_, centres, at.workspaces_);
    print_line("fleet_snapshot", at, {},
               {{"state_bytes", heap_bytes() - before}});
    link_rates const links = synthetic::make_links(centres);
    route_plan const plan = plan_routes(fleet, links);
    bench_plan(at, fleet, links);
    bench_placement(at, fleet, links);
    bench_choice(at, plan, "choose_chain", {}, false);
    bench_choice(at, plan, "choose_chain_prefix", {}, true);
    bench_choice(at, plan, "choose_chain_excluded",
                 {fleet.endpoints_.front().address_}, false);
    bench_baselines(at, plan);
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    print_line("clock", {}, time_calls(calls, [](int) {}));
    // All engines in one service is the worst case of a single choice.
    for (size const at :
         {size{30, 1, 10}, size{600, 21, 10}, size{1'200, 21, 10},
          size{600, 21, 1'200}, size{600, 1, 10}, size{1'200, 1, 10}})
    {
        bench_fleet(at);
    }
    for (int const workspaces : {10, 1'200})
    {
        size const at{600, 21, workspaces};
        fleet_snapshot const fleet =
            synthetic::make_fleet(21, 1, centres, workspaces);
        service_config const& config = *fleet.services_.begin()->second;
        bench_admission(at, config, 0.5, "admit_at_half_load");
        bench_admission(at, config, 5, "admit_at_five_times_load");
    }
    bench_suspicion({600, 21, 1'200});
}
