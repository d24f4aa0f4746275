// Measures the gate's claims: one JSON line for each case.
//
// Three gates share a store that answers in about 2 ms. Calls with fresh keys
// arrive at a fixed rate; the same run without keys is the baseline, so that
// the difference is what the claim adds.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include <malloc.h>

#include "auburnlb/companion/call_proxy.hpp"
#include "auburnlb/protocol/claim_shards.hpp"
#include "auburnlb/state/log.hpp"
#include "auburnlb/transport/steady_clock.hpp"
#include "fake_plain_service.hpp"
#include "fake_platform.hpp"

using namespace auburnlb;

namespace
{

constexpr std::size_t proxy_count = 3;
constexpr std::uint32_t shard_count = 64;
constexpr seconds run_time{4};
constexpr milliseconds store_delay{2};

class real_clock final : public clock_source
{
public:
    time_point now() const override { return std::chrono::steady_clock::now(); }
};

/// Answers and their times.
struct tally
{
    std::mutex mutex_;
    std::unordered_map<request_id, time_point> sent_;
    std::vector<double> latencies_ms_;
    std::size_t failed_ = 0;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    auto const at = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

std::uint64_t claim_puts(fakes::fake_platform const& platform)
{
    auto const calls = platform.calls();
    auto const found = calls.find("PUT claims");
    return found == calls.end() ? 0 : found->second;
}

void run_case(std::size_t rate, bool is_keyed)
{
    fakes::fake_platform platform;
    std::vector<fakes::fake_plain_service> services(proxy_count);
    http_client http;
    platform_client client(http, platform.base_url());
    metrics_registry metrics;
    real_clock clock;
    service_config config;
    config.name_ = "desk";
    config.claim_shards_ = shard_count;
    auto shared = std::make_shared<service_config const>(config);
    tally seen;
    auto const on_reply = [&](std::string const&, message body)
    {
        auto const& reply = std::get<call_reply>(body);
        time_point const now = clock.now();
        std::lock_guard const lock(seen.mutex_);
        auto const found = seen.sent_.find(reply.request_);
        std::chrono::duration<double, std::milli> const spent =
            now - found->second;
        seen.latencies_ms_.push_back(spent.count());
        seen.failed_ += reply.status_ != 200 ? 1 : 0;
    };
    std::vector<std::unique_ptr<call_proxy>> proxies;
    std::vector<endpoint_description> fleet;
    for (std::size_t at = 0; at < proxy_count; ++at)
    {
        call_proxy_options options;
        options.endpoint_url_ = services[at].base_url();
        options.service_ = "desk";
        options.address_ = std::to_string(at);
        options.incarnation_ = at + 1;
        options.table_check_interval_ = milliseconds{20};
        proxies.push_back(std::make_unique<call_proxy>(
            http, client, options, on_reply, clock, metrics,
            [&shared]() -> std::shared_ptr<service_config const>
            { return shared; }));
        endpoint_description endpoint;
        endpoint.service_ = "desk";
        endpoint.address_ = options.address_;
        endpoint.incarnation_ = options.incarnation_;
        fleet.push_back(endpoint);
    }
    std::size_t owned = 0;
    for (auto const& gate : proxies)
    {
        gate->on_fleet_update(fleet);
    }
    while (owned != shard_count)
    {
        std::this_thread::sleep_for(milliseconds{10});
        owned = 0;
        for (auto const& gate : proxies)
        {
            owned += gate->owned_shard_count();
        }
    }
    auto const table =
        table_from_json(platform.find(claim_table_kind, "desk")->value_)
            .value();
    fakes::platform_faults faults;
    faults.delay_ = store_delay;
    platform.set_faults(faults);
    std::uint64_t const puts_before = claim_puts(platform);
    std::size_t const total = rate * static_cast<std::size_t>(run_time.count());
    time_point const start = clock.now();
    for (std::size_t at = 0; at < total; ++at)
    {
        std::this_thread::sleep_until(
            start + nanoseconds{1'000'000'000ULL * at / rate});
        call_request call;
        call.request_ = {1, at + 1};
        call.method_ = "POST";
        call.path_ = "/bookings";
        call.body_ = "{}";
        call.timeout_ms_ = 10'000;
        std::string const key = "workspace/" + std::to_string(at);
        std::size_t const gate = std::stoul(owner_of(table, key).address_);
        call.idempotency_key_ = is_keyed ? key : "";
        {
            std::lock_guard const lock(seen.mutex_);
            seen.sent_[call.request_] = clock.now();
        }
        proxies[gate]->on_call(std::move(call));
    }
    std::size_t done = 0;
    while (done < total && clock.now() - start < 4 * run_time)
    {
        std::this_thread::sleep_for(milliseconds{5});
        std::lock_guard const lock(seen.mutex_);
        done = seen.latencies_ms_.size();
    }
    std::chrono::duration<double> const spent = clock.now() - start;
    std::printf(
        "{\"case\":\"claims\",\"keyed\":%s,\"rate\":%zu,\"answered\":%zu,"
        "\"failed\":%zu,\"calls_per_second\":%.0f,\"p50_ms\":%.2f,"
        "\"p95_ms\":%.2f,\"p99_ms\":%.2f,\"store_writes_per_second\":%.1f}\n",
        is_keyed ? "true" : "false", rate, done, seen.failed_,
        static_cast<double>(done) / spent.count(),
        quantile(seen.latencies_ms_, 0.5), quantile(seen.latencies_ms_, 0.95),
        quantile(seen.latencies_ms_, 0.99),
        static_cast<double>(claim_puts(platform) - puts_before) /
            spent.count());
    std::fflush(stdout);
    proxies.clear();
}

/// Writes one object and waits for the answer.
void put_and_wait(platform_client& client, std::string kind, std::string name,
                  std::string value)
{
    std::promise<void> done;
    client.put({std::move(kind), std::move(name), 0, std::move(value), false},
               0, [&](result<std::uint64_t> const&) { done.set_value(); });
    done.get_future().wait();
}

/// Time to replace a dead home whose log has so many segments of ten keys.
void measure_takeover(std::uint64_t segments)
{
    fakes::fake_platform platform;
    fakes::fake_plain_service service;
    http_client http;
    platform_client client(http, platform.base_url());
    metrics_registry metrics;
    real_clock clock;
    claim_log_id const dead_log{99, 1};
    std::uint64_t next_key = 0;
    for (std::uint64_t number = 0; number < segments; ++number)
    {
        claim_segment segment{
            "desk", dead_log, number, 99, number, segment_kind::claims, {}, {}};
        for (int at = 0; at < 10; ++at)
        {
            key_id const key = make_key_id(std::to_string(next_key++));
            segment.keys_.push_back(
                {key, static_cast<std::uint32_t>(key.low_ % shard_count), 7,
                 nullptr});
        }
        put_and_wait(client, claim_segment_kind,
                     segment_name("desk", dead_log, number), to_json(segment));
    }
    claim_table table = make_claim_table("desk", shard_count);
    table.shards_.assign(shard_count, {"dead", dead_log});
    table.logs_ = {{dead_log, "dead", false, 0}};
    put_and_wait(client, claim_table_kind, "desk", to_json(table));

    service_config config;
    config.claim_shards_ = shard_count;
    auto shared = std::make_shared<service_config const>(config);
    call_proxy_options options;
    options.endpoint_url_ = service.base_url();
    options.service_ = "desk";
    options.address_ = "own";
    options.incarnation_ = 1;
    options.table_check_interval_ = milliseconds{20};
    options.dead_home_timeout_ = milliseconds{0};
    call_proxy gate(
        http, client, options, [](std::string const&, message const&) {}, clock,
        metrics,
        [&shared]() -> std::shared_ptr<service_config const>
        { return shared; });
    time_point const start = clock.now();
    gate.on_fleet_update({});
    while (gate.owned_shard_count() != shard_count &&
           clock.now() - start < seconds{20})
    {
        std::this_thread::sleep_for(milliseconds{1});
    }
    std::chrono::duration<double, std::milli> const spent = clock.now() - start;
    std::printf("{\"case\":\"takeover\",\"segments\":%llu,\"keys\":%llu,"
                "\"is_done\":%s,\"ms\":%.0f}\n",
                static_cast<unsigned long long>(segments),
                static_cast<unsigned long long>(next_key),
                gate.owned_shard_count() == shard_count ? "true" : "false",
                spent.count());
    std::fflush(stdout);
}

/// Memory and time of the transition function alone.
void measure_state(std::size_t keys, std::size_t body_bytes)
{
    shard_owner_settings settings;
    settings.max_outcome_bytes_ = 1U << 30U;
    auto home = make_shard_owner("desk", 1, {1, 1}, settings);
    time_point now{};
    apply(home, shards_acquired{{1, 1}, {0}, {}}, now);
    std::size_t const before = mallinfo2().uordblks;
    auto const start = std::chrono::steady_clock::now();
    for (std::size_t at = 0; at < keys; ++at)
    {
        std::string const key = "workspace/" + std::to_string(at);
        now += milliseconds{5};
        apply(home, call_arrived{{1, at + 1}, key, 7, now + seconds{10}, false},
              now);
        apply(home, put_finished{at, put_status::created}, now);
        auto const outcome = std::make_shared<call_outcome const>(
            call_outcome{200, {}, std::string(body_bytes, 'x')});
        apply(home,
              call_finished{make_key_id(key), call_status::answered, outcome},
              now);
    }
    std::chrono::duration<double, std::micro> const spent =
        std::chrono::steady_clock::now() - start;
    std::printf("{\"case\":\"state\",\"keys\":%zu,\"body_bytes\":%zu,"
                "\"bytes_per_key\":%.0f,\"us_per_call\":%.2f}\n",
                keys, body_bytes,
                static_cast<double>(mallinfo2().uordblks - before) /
                    static_cast<double>(keys),
                spent.count() / static_cast<double>(keys));
    std::fflush(stdout);
}

} // namespace

int main()
{
    steady_clock_source const clock;
    configure_log(log_level::error, log_format::text, "bench", clock);
    for (std::size_t const rate : {100U, 1'000U, 2'500U})
    {
        run_case(rate, false);
        run_case(rate, true);
    }
    for (std::uint64_t const segments : {100U, 1'000U, 10'000U})
    {
        measure_takeover(segments);
    }
    measure_state(200'000, 0);
    measure_state(200'000, 200);
}
