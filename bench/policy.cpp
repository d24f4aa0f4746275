// Choice and admission in virtual time: work served over the bound, as JSON
// lines. A calculation of shared rates, without processes or messages.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "auburnlb/coordination/admission.hpp"
#include "auburnlb/coordination/chain_choice.hpp"
#include "auburnlb/coordination/route_plan.hpp"

#include "routing_baselines.hpp"
#include "shared_resources.hpp"

using namespace auburnlb;
using bench::stream;

namespace
{

constexpr int entries = 4;
constexpr int workspaces = 10;
constexpr std::uint32_t depth = 48;
constexpr double tick_s = 0.01;
constexpr int report_ticks = 50;
constexpr double warm_up_s = 20;
constexpr double measured_s = 60;
/// After it a request's caller has given up and the work was for nothing.
constexpr double deadline_s = 60;
/// Time of a step at one stage for a stream that is alone.
constexpr double step_s = 0.004;
/// Cost of a prompt token in answer tokens.
constexpr double prompt_cost = 0.02;
/// A prompt's tokens pass in chunks beside single steps of other streams, so
/// that it gets this many times the rate of a stream that generates.
constexpr double prefill_speed = 4;
std::string const service = "model";

enum class choice_policy
{
    flow,
    fixed_chains,
    least_loaded,
    random_of_two,
};

char const* name_of(choice_policy policy)
{
    switch (policy)
    {
    case choice_policy::flow:
        return "flow";
    case choice_policy::fixed_chains:
        return "round_robin_fixed_chains";
    case choice_policy::least_loaded:
        return "least_loaded";
    case choice_policy::random_of_two:
        return "random_of_two";
    }
    return "";
}

struct scenario
{
    choice_policy policy_ = choice_policy::flow;
    bool has_admission_ = true;
    /// Offered work of each workspace over the bound.
    std::vector<double> offered_;
    char const* name_ = "";
    double load_ = 0;
};

std::string centre_name(int number)
{
    return "centre-" + std::to_string(number);
}

/// Thirty engines of four kinds in three data centres. One link carries a
/// hundredth of the others.
fleet_snapshot make_fleet()
{
    double const kinds[] = {400, 800, 1'600, 3'200};
    fleet_snapshot fleet;
    service_config config;
    config.name_ = service;
    config.layers_ = depth;
    config.version_ = 1;
    for (int number = 0; number < workspaces; ++number)
    {
        workspace_limits limits;
        limits.name_ = std::to_string(number);
        config.workspaces_.push_back(limits);
    }
    fleet.services_[service] = std::make_shared<service_config const>(config);
    for (int number = 0; number < 30; ++number)
    {
        endpoint_description endpoint;
        endpoint.name_ = "engine-" + std::to_string(number);
        endpoint.address_ = "tcp://10.0.0." + std::to_string(100 + number);
        endpoint.incarnation_ = 1;
        endpoint.service_ = service;
        endpoint.data_centre_ = centre_name(number / 3 % 3);
        auto const stage = static_cast<std::uint32_t>(number % 3);
        endpoint.layers_ = {stage * 16, (stage + 1) * 16};
        endpoint.tokens_per_second_ = kinds[(number * 7 + number / 3) % 4];
        fleet.endpoints_.push_back(endpoint);
    }
    return fleet;
}

link_rates make_links()
{
    link_rates links;
    for (int from = 0; from < 3; ++from)
    {
        for (int to = 0; to < 3; ++to)
        {
            if (from != to)
            {
                double const rate = from + to == 3 ? 80 : 8'000;
                links.between_[{centre_name(from), centre_name(to)}] = {
                    rate, microseconds(700)};
            }
        }
    }
    return links;
}

struct job
{
    int entry_ = 0;
    int workspace_ = 0;
    double prompt_ = 0;
    double answer_ = 0;
    double arrived_s_ = 0;
    double admitted_s_ = 0;
    double done_ = 0;
    bool has_first_token_ = false;
    std::vector<chain_stage> chain_;

    double cost() const { return prompt_ + answer_; }
};

/// Sums over the measured time.
struct totals
{
    double useful_ = 0;
    double wasted_ = 0;
    std::vector<double> by_workspace_ = std::vector<double>(workspaces, 0);
    std::vector<double> first_token_ms_;
    /// Of the workspaces other than the first.
    std::vector<double> small_first_token_ms_;
    std::vector<double> interval_ms_;
    int refused_ = 0;
    int admitted_ = 0;
};

double percentile_95(std::vector<double>& values)
{
    if (values.empty())
    {
        return 0;
    }
    auto const at =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() * 95 / 100);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

class run
{
public:
    run(fleet_snapshot const& fleet, link_rates const& links,
        scenario const& chosen, std::uint64_t seed)
        : scenario_(chosen)
        , plan_(plan_routes(fleet, links))
        , planned_(plan_.services_.at(service))
        , random_(seed)
    {
        fixed_ = baseline::fixed_chains(planned_);
        for (planned_endpoint const& endpoint : planned_.endpoints_)
        {
            resource_of_[endpoint.description_.address_] = capacities_.size();
            centre_of_[endpoint.description_.address_] =
                endpoint.description_.data_centre_;
            capacities_.push_back(endpoint.description_.tokens_per_second_);
        }
        for (auto const& [pair, rate] : links.between_)
        {
            link_of_[pair] = capacities_.size();
            capacities_.push_back(rate.tokens_per_second_);
        }
        service_config const& config = *fleet.services_.at(service);
        for (int entry = 0; entry < entries; ++entry)
        {
            choices_.push_back(make_selector_state(
                seed + static_cast<unsigned>(entry), entries));
            admissions_.push_back(make_admission(
                config, {static_cast<unsigned>(entry), entries}, bound(), {}));
        }
        views_.resize(entries);
    }

    double bound() const { return planned_.bound_.tokens_per_second_; }

    totals simulate()
    {
        int const ticks = static_cast<int>((warm_up_s + measured_s) / tick_s);
        for (int tick = 0; tick < ticks; ++tick)
        {
            now_s_ = tick * tick_s;
            if (tick % report_ticks == 0)
            {
                report();
            }
            arrive();
            decide_waiting();
            bench::share_resources(streams_, capacities_);
            advance();
        }
        return std::move(totals_);
    }

private:
    bool is_measured() const { return now_s_ >= warm_up_s; }

    time_point now() const
    {
        return time_point{} + std::chrono::duration_cast<nanoseconds>(
                                  std::chrono::duration<double>(now_s_));
    }

    static nanoseconds to_duration(double span_s)
    {
        return std::chrono::duration_cast<nanoseconds>(
            std::chrono::duration<double>(span_s));
    }

    void report()
    {
        std::map<std::string, std::uint32_t> active;
        for (stream const& each : streams_)
        {
            for (chain_stage const& stage : jobs_.at(each.ticket_).chain_)
            {
                ++active[stage.address_];
            }
        }
        for (int entry = 0; entry < entries; ++entry)
        {
            for (auto const& [address, resource] : resource_of_)
            {
                load_report load;
                load.active_ = active[address];
                on_load_report(choices_[static_cast<std::size_t>(entry)],
                               address, load);
                views_[static_cast<std::size_t>(entry)][address] = load.active_;
            }
        }
    }

    void arrive()
    {
        for (int workspace = 0; workspace < workspaces; ++workspace)
        {
            constexpr double mean_cost = 210;
            double const mean =
                scenario_.offered_[static_cast<std::size_t>(workspace)] *
                bound() / mean_cost * tick_s;
            int const count = std::poisson_distribution<int>(mean)(random_);
            for (int number = 0; number < count; ++number)
            {
                offer(workspace);
            }
        }
    }

    void offer(int workspace)
    {
        job next;
        next.workspace_ = workspace;
        next.entry_ = static_cast<int>(random_() % entries);
        next.prompt_ =
            std::uniform_real_distribution<double>(200, 800)(random_) *
            prompt_cost;
        next.answer_ = std::floor(
            20 + std::exponential_distribution<double>(1.0 / 180)(random_));
        next.arrived_s_ = now_s_;
        std::uint64_t const ticket = ++ticket_;
        jobs_[ticket] = next;
        if (!scenario_.has_admission_)
        {
            begin(ticket);
            return;
        }
        admission_request request;
        request.ticket_ = ticket;
        request.workspace_ = std::to_string(workspace);
        // The length of the answer is not known beforehand.
        request.token_cost_ = next.prompt_ + 200;
        request.deadline_ = now() + to_duration(deadline_s);
        take(admit(admissions_[static_cast<std::size_t>(next.entry_)], request,
                   now()));
    }

    void take(admission_decision const& decision)
    {
        if (decision.verdict_ == admission_verdict::admit)
        {
            begin(decision.ticket_);
            return;
        }
        if (decision.verdict_ == admission_verdict::refuse)
        {
            totals_.refused_ += is_measured() ? 1 : 0;
            jobs_.erase(decision.ticket_);
        }
    }

    void decide_waiting()
    {
        for (admission_state& admission : admissions_)
        {
            for (admission_decision const& decision : on_tick(admission, now()))
            {
                take(decision);
            }
        }
    }

    std::vector<chain_stage> choose(std::size_t entry)
    {
        switch (scenario_.policy_)
        {
        case choice_policy::flow:
            return choose_chain(plan_, service, choices_[entry], {}).value();
        case choice_policy::fixed_chains:
            return fixed_[next_fixed_++ % fixed_.size()];
        case choice_policy::least_loaded:
            return baseline::least_loaded(planned_, views_[entry]);
        case choice_policy::random_of_two:
            return baseline::random_of_two(planned_, views_[entry], random_);
        }
        return {};
    }

    void begin(std::uint64_t ticket)
    {
        job& started = jobs_.at(ticket);
        auto const entry = static_cast<std::size_t>(started.entry_);
        started.admitted_s_ = now_s_;
        started.chain_ = choose(entry);
        record_request_start(choices_[entry], started.chain_);
        stream added;
        added.ticket_ = ticket;
        double alone_s = 0;
        std::string previous;
        for (chain_stage const& stage : started.chain_)
        {
            views_[entry][stage.address_] += 1;
            added.resources_.push_back(resource_of_.at(stage.address_));
            alone_s += step_s;
            std::string const& centre = centre_of_.at(stage.address_);
            auto const link = link_of_.find({previous, centre});
            if (link != link_of_.end())
            {
                added.resources_.push_back(link->second);
                alone_s += 0.0007;
            }
            previous = centre;
        }
        added.own_rate_ = prefill_speed / alone_s;
        added.weight_ = prefill_speed;
        streams_.push_back(std::move(added));
        totals_.admitted_ += is_measured() ? 1 : 0;
    }

    void advance()
    {
        std::erase_if(streams_,
                      [&](stream& each)
                      {
                          job& running = jobs_.at(each.ticket_);
                          step(each, running);
                          if (running.done_ < running.cost() &&
                              now_s_ - running.arrived_s_ < deadline_s)
                          {
                              return false;
                          }
                          finish(each.ticket_, running);
                          return true;
                      });
    }

    void step(stream& each, job& running)
    {
        double const before = running.done_;
        running.done_ += each.rate_ * tick_s;
        admission_state& admission =
            admissions_[static_cast<std::size_t>(running.entry_)];
        if (running.done_ < running.prompt_ + 1)
        {
            return;
        }
        if (!running.has_first_token_)
        {
            running.has_first_token_ = true;
            each.own_rate_ /= prefill_speed;
            each.weight_ = 1;
            double const waited_s = now_s_ + tick_s - running.arrived_s_;
            on_first_token(admission,
                           to_duration(now_s_ + tick_s - running.admitted_s_));
            if (is_measured())
            {
                totals_.first_token_ms_.push_back(waited_s * 1'000);
                if (running.workspace_ != 0)
                {
                    totals_.small_first_token_ms_.push_back(waited_s * 1'000);
                }
            }
            return;
        }
        auto const tokens =
            static_cast<int>(std::floor(running.done_) - std::floor(before));
        for (int token = 0; token < tokens; ++token)
        {
            on_token_interval(admission, to_duration(1 / each.rate_));
            if (is_measured())
            {
                totals_.interval_ms_.push_back(1'000 / each.rate_);
            }
        }
    }

    void finish(std::uint64_t ticket, job const& ended)
    {
        auto const entry = static_cast<std::size_t>(ended.entry_);
        if (is_measured())
        {
            bool const is_complete = ended.done_ >= ended.cost();
            (is_complete ? totals_.useful_ : totals_.wasted_) +=
                std::min(ended.done_, ended.cost());
            totals_.by_workspace_[static_cast<std::size_t>(ended.workspace_)] +=
                is_complete ? ended.cost() : 0;
        }
        for (chain_stage const& stage : ended.chain_)
        {
            views_[entry][stage.address_] -= 1;
        }
        record_request_end(choices_[entry], ended.chain_);
        on_finish(admissions_[entry], ticket, ended.cost(),
                  to_duration(now_s_ - ended.admitted_s_));
        jobs_.erase(ticket);
    }

    scenario scenario_;
    route_plan plan_;
    service_plan const& planned_;
    std::mt19937_64 random_;
    std::vector<std::vector<chain_stage>> fixed_;
    std::size_t next_fixed_ = 0;
    std::vector<double> capacities_;
    std::map<std::string, std::size_t> resource_of_;
    std::map<std::string, std::string> centre_of_;
    std::map<std::pair<std::string, std::string>, std::size_t> link_of_;
    std::vector<selector_state> choices_;
    std::vector<admission_state> admissions_;
    std::vector<baseline::load_view> views_;
    std::map<std::uint64_t, job> jobs_;
    std::vector<stream> streams_;
    std::uint64_t ticket_ = 0;
    double now_s_ = 0;
    totals totals_;
};

/// Jain's index of what each workspace got over what it may claim: its offer
/// or an equal share, whichever is less.
double fairness(totals const& result, scenario const& ran, double bound)
{
    double const share = bound * measured_s / workspaces;
    double sum = 0;
    double squares = 0;
    for (std::size_t index = 0; index < workspaces; ++index)
    {
        double const offered = ran.offered_[index] * bound * measured_s;
        double const got = std::min(1.0, result.by_workspace_[index] /
                                             std::min(offered, share));
        sum += got;
        squares += got * got;
    }
    return squares <= 0 ? 0 : sum * sum / (workspaces * squares);
}

double rounded(double value, double unit)
{
    return std::round(value / unit) * unit;
}

void run_scenario(scenario const& chosen, std::uint64_t seed)
{
    run simulated(make_fleet(), make_links(), chosen, seed);
    double const bound = simulated.bound();
    totals result = simulated.simulate();
    nlohmann::json const line{
        {"bench", "policy"},
        {"scenario", chosen.name_},
        {"seed", seed},
        {"load_over_bound", chosen.load_},
        {"choice", name_of(chosen.policy_)},
        {"admission", chosen.has_admission_},
        {"bound", rounded(bound, 0.1)},
        {"useful_over_bound",
         rounded(result.useful_ / measured_s / bound, 0.001)},
        {"wasted_over_bound",
         rounded(result.wasted_ / measured_s / bound, 0.001)},
        {"first_token_p95_ms",
         rounded(percentile_95(result.first_token_ms_), 1)},
        {"small_first_token_p95_ms",
         rounded(percentile_95(result.small_first_token_ms_), 1)},
        {"interval_p95_ms", rounded(percentile_95(result.interval_ms_), 0.1)},
        {"admitted", result.admitted_},
        {"refused", result.refused_},
        {"jain", rounded(fairness(result, chosen, bound), 0.0001)}};
    std::printf("%s\n", line.dump().c_str());
}

scenario even_load(choice_policy policy, bool has_admission, double load)
{
    return {policy, has_admission,
            std::vector<double>(workspaces, load / workspaces), "even", load};
}

/// Nine workspaces within their share, the first at twenty times its own.
scenario greedy_load(choice_policy policy, bool has_admission, double greed)
{
    std::vector<double> offered(workspaces, 0.8 / workspaces);
    offered[0] = greed / workspaces;
    double load = 0;
    for (double const part : offered)
    {
        load += part;
    }
    return {policy, has_admission, offered,
            greed > 0 ? "one_workspace_at_20_times" : "small_workspaces_alone",
            load};
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    constexpr std::uint64_t seed = 20261204;
    constexpr std::uint64_t further_seeds[] = {1, 2};
    for (double const load : {0.5, 0.9, 1.2, 2.0, 5.0})
    {
        run_scenario(even_load(choice_policy::flow, true, load), seed);
        for (std::uint64_t const further : further_seeds)
        {
            run_scenario(even_load(choice_policy::flow, true, load), further);
        }
        run_scenario(even_load(choice_policy::flow, false, load), seed);
        for (choice_policy const policy :
             {choice_policy::fixed_chains, choice_policy::least_loaded,
              choice_policy::random_of_two})
        {
            run_scenario(even_load(policy, true, load), seed);
            run_scenario(even_load(policy, false, load), seed);
        }
    }
    run_scenario(greedy_load(choice_policy::flow, true, 0), seed);
    run_scenario(greedy_load(choice_policy::flow, true, 20), seed);
    run_scenario(greedy_load(choice_policy::flow, false, 20), seed);
    run_scenario(greedy_load(choice_policy::random_of_two, false, 20), seed);
}
