// Random histories of one streamed answer over two interchangeable endpoints
// for each of three stages. Frames are delayed, reordered, duplicated and
// lost; companions restart, pause and come back. Every step runs the reference
// arithmetic, so that a skipped, repeated or crossed layer shows in the text.
#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "auburnlb/protocol/stage.hpp"
#include "auburnlb/protocol/stream.hpp"
#include "reference_model.hpp"

using namespace auburnlb;

namespace
{

constexpr std::uint32_t model_layers = 6;
constexpr std::uint32_t answer_tokens = 8;
constexpr int faulty_steps = 400;
constexpr int quiet_steps = 4'000;

/// Chances of each fault for one step, in percent.
struct fault_rates
{
    std::uint32_t lose_ = 0;
    std::uint32_t duplicate_ = 0;
    std::uint32_t reorder_ = 0;
    std::uint32_t restart_ = 0;
    std::uint32_t pause_ = 0;
};

struct companion_model
{
    stage_table table_;
    /// KV caches by engine stream, with the next position that they expect.
    std::map<std::string, std::pair<fakes::layer_cache, std::uint32_t>> caches_;
    bool is_paused_ = false;
};

/// A step that the engine has run and whose result waits in the companion.
struct finished_step
{
    step_frame frame_;
    step_output output_;
};

struct packet
{
    std::string to_;
    std::variant<message, finished_step> body_;
};

/// Sampling differs between attempts, as it does for real engines, so that an
/// answer that mixes attempts wrongly differs from every right one.
std::string sample_for(std::uint32_t attempt, std::string const& activation)
{
    return fakes::sample(activation + "/" + std::to_string(attempt));
}

class history
{
public:
    history(std::uint32_t seed, fault_rates rates)
        : random_(seed)
        , rates_(rates)
    {
        for (std::uint32_t stage = 0; stage < 3; ++stage)
        {
            for (std::uint32_t copy = 0; copy < 2; ++copy)
            {
                companion_model fresh;
                fresh.table_.address_ =
                    "s" + std::to_string(stage) + std::to_string(copy);
                fresh.table_.incarnation_ = ++last_incarnation_;
                fresh.table_.layers_ = {stage * 2, stage * 2 + 2};
                companions_.emplace(fresh.table_.address_, fresh);
            }
        }
        stream_.request_ = {1, 1};
        stream_.prompt_ = "prompt";
        stream_.limits_.max_attempts_ = 1'000;
        stream_.deadline_ = now_ + std::chrono::hours(1);
        start_attempt();
    }

    /// Runs to the end of the answer; checks each token on the way.
    void run()
    {
        for (int step = 0; step < faulty_steps + quiet_steps && !is_done_;
             ++step)
        {
            if (step == faulty_steps)
            {
                end_faults();
            }
            take_step();
        }
        if (is_done_)
        {
            drain();
        }
    }

    /// KV caches that no companion would ever release.
    std::size_t leaked_caches() const
    {
        std::size_t caches = 0;
        for (auto const& [address, each] : companions_)
        {
            caches += each.caches_.size();
        }
        return caches;
    }

    bool is_done() const { return is_done_; }
    std::uint32_t attempts() const { return stream_.attempt_; }

private:
    bool chance(std::uint32_t percent)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, 99)(random_) <
               percent;
    }

    companion_model& pick()
    {
        auto found = companions_.begin();
        std::advance(found, std::uniform_int_distribution<std::size_t>(
                                0, companions_.size() - 1)(random_));
        return found->second;
    }

    void check_counts() const
    {
        for (auto const& [address, each] : companions_)
        {
            auto const running = std::count_if(
                each.table_.streams_.begin(), each.table_.streams_.end(),
                [](auto const& stream) { return stream.second.is_running_; });
            RC_ASSERT(running_streams(each.table_) ==
                      static_cast<std::size_t>(running));
        }
    }

    void take_step()
    {
        check_counts();
        now_ += milliseconds(10);
        if (chance(rates_.restart_))
        {
            restart(pick());
        }
        if (chance(rates_.pause_))
        {
            companion_model& one = pick();
            one.is_paused_ = !one.is_paused_;
        }
        if (!network_.empty())
        {
            deliver(take_packet());
        }
        apply(on_tick(stream_, now_));
    }

    void end_faults()
    {
        rates_ = {};
        for (auto& [address, each] : companions_)
        {
            each.is_paused_ = false;
        }
    }

    void drain()
    {
        end_faults();
        while (!network_.empty())
        {
            deliver(take_packet());
        }
    }

    void restart(companion_model& one)
    {
        one.table_.streams_.clear();
        one.table_.running_ = 0;
        one.table_.incarnation_ = ++last_incarnation_;
        one.caches_.clear();
    }

    packet take_packet()
    {
        std::size_t const at = chance(rates_.reorder_)
                                   ? std::uniform_int_distribution<std::size_t>(
                                         0, network_.size() - 1)(random_)
                                   : 0;
        packet chosen = network_[at];
        // A copy stays behind and arrives later.
        if (!chance(rates_.duplicate_))
        {
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(at));
        }
        return chosen;
    }

    void send(std::string to, message body)
    {
        if (!chance(rates_.lose_))
        {
            network_.push_back({std::move(to), std::move(body)});
        }
    }

    static void release(companion_model& one, request_id const& request,
                        std::optional<std::uint32_t> attempt)
    {
        if (attempt)
        {
            one.caches_.erase(engine_stream_name(request, *attempt));
        }
    }

    void deliver(packet const& arrived)
    {
        auto const* const finished = std::get_if<finished_step>(&arrived.body_);
        if (arrived.to_ == "entry")
        {
            on_entry(std::get<message>(arrived.body_));
            return;
        }
        companion_model& one = companions_.at(arrived.to_);
        if (one.is_paused_)
        {
            network_.push_back(arrived);
            return;
        }
        if (finished != nullptr)
        {
            for (outgoing_message& forward : forward_step(
                     one.table_, finished->frame_, finished->output_, {}))
            {
                send(forward.address_, std::move(forward.body_));
            }
            return;
        }
        on_companion(one, std::get<message>(arrived.body_));
    }

    void on_companion(companion_model& one, message const& body)
    {
        if (auto const* const frame = std::get_if<step_frame>(&body))
        {
            on_step(one, *frame);
        }
        else if (auto const* const cancel = std::get_if<cancel_stream>(&body))
        {
            release(one, cancel->request_,
                    cancel_at_stage(one.table_, *cancel, now_));
        }
        else if (std::holds_alternative<hello>(body))
        {
            endpoint_description self;
            self.address_ = one.table_.address_;
            self.incarnation_ = one.table_.incarnation_;
            send("entry", hello_reply{0, self.address_, self, {}});
        }
    }

    void on_entry(message const& body)
    {
        if (auto const* const token = std::get_if<token_frame>(&body))
        {
            token_attempt_ = token->attempt_;
            apply(on_token(stream_, *token, now_));
        }
        else if (auto const* const refusal = std::get_if<step_refusal>(&body))
        {
            apply(on_refusal(stream_, *refusal, now_));
        }
        else if (auto const* const reply = std::get_if<hello_reply>(&body))
        {
            apply(on_probe_reply(stream_, reply->from_address_,
                                 reply->endpoint_->incarnation_, now_));
        }
    }

    void on_step(companion_model& one, step_frame const& frame)
    {
        step_decision const verdict = accept_step(one.table_, frame, now_);
        if (std::holds_alternative<refusal_reason>(verdict))
        {
            return;
        }
        release(one, frame.request_,
                std::get<step_accepted>(verdict).replaced_attempt_);
        std::string const name =
            engine_stream_name(frame.request_, frame.attempt_);
        auto& [cache, next] = one.caches_[name];
        // The engine itself has no check: the companion's must suffice.
        RC_ASSERT(next == frame.position_);
        bool const is_first = one.table_.layers_.first_ == 0;
        bool const is_last = one.table_.layers_.end_ == model_layers;
        step_output output;
        for (std::string const& input : frame.inputs_)
        {
            ++next;
            std::string activation =
                fakes::run_layers(one.table_.layers_, cache,
                                  is_first ? fakes::embed(input) : input);
            if (is_last)
            {
                output.outputs_ = {sample_for(frame.attempt_, activation)};
                continue;
            }
            output.outputs_.push_back(std::move(activation));
        }
        network_.push_back(
            {one.table_.address_, finished_step{frame, std::move(output)}});
    }

    void start_attempt()
    {
        chain_route route;
        route.entry_address_ = "entry";
        route.model_layers_ = model_layers;
        route.max_tokens_ = answer_tokens;
        for (std::uint32_t stage = 0; stage < 3; ++stage)
        {
            std::string const first = "s" + std::to_string(stage) + "0";
            std::string const second = "s" + std::to_string(stage) + "1";
            std::string const& chosen =
                stream_.excluded_.contains(first) ? second : first;
            stage_table const& table = companions_.at(chosen).table_;
            route.stages_.push_back(
                {chosen, table.incarnation_, table.layers_});
        }
        stream_.excluded_.clear();
        std::string const first = route.stages_.front().address_;
        send(first, begin_attempt(stream_, std::move(route), 1, now_));
    }

    /// A right token follows from all tokens that the caller got before it.
    void check_token(deliver_token const& token)
    {
        RC_ASSERT(token.index_ == delivered_.size());
        fakes::layer_cache cache;
        std::string activation = fakes::run_layers(
            {0, model_layers}, cache, fakes::embed(stream_.prompt_));
        for (std::string const& before : delivered_)
        {
            activation = fakes::run_layers({0, model_layers}, cache,
                                           fakes::embed(before));
        }
        RC_ASSERT(token.text_ == sample_for(token_attempt_, activation));
        delivered_.push_back(token.text_);
    }

    void apply(stream_actions const& actions)
    {
        for (stream_action const& action : actions)
        {
            if (auto const* const token = std::get_if<deliver_token>(&action))
            {
                check_token(*token);
                is_done_ = token->is_end_;
            }
            else if (auto const* const probe =
                         std::get_if<probe_stage>(&action))
            {
                send(probe->address_, hello{});
            }
            else if (auto const* const cancel =
                         std::get_if<cancel_attempt>(&action))
            {
                for (std::string const& address : cancel->addresses_)
                {
                    send(address,
                         cancel_stream{stream_.request_, cancel->attempt_});
                }
            }
            else if (std::holds_alternative<restart_stream>(action))
            {
                start_attempt();
            }
            else
            {
                RC_ASSERT(!std::holds_alternative<fail_stream>(action));
            }
        }
    }

    std::mt19937 random_;
    fault_rates rates_;
    std::map<std::string, companion_model> companions_;
    std::deque<packet> network_;
    stream_state stream_;
    time_point now_{};
    incarnation_id last_incarnation_ = 0;
    std::vector<std::string> delivered_;
    std::uint32_t token_attempt_ = 0;
    bool is_done_ = false;
};

} // namespace

TEST(chain_property, every_caller_gets_the_whole_answer_under_faults)
{
    std::uint32_t most_attempts = 0;
    EXPECT_TRUE(rc::check(
        [&]
        {
            fault_rates rates;
            rates.lose_ = *rc::gen::inRange(0U, 10U);
            rates.duplicate_ = *rc::gen::inRange(0U, 20U);
            rates.reorder_ = *rc::gen::inRange(0U, 50U);
            rates.restart_ = *rc::gen::inRange(0U, 4U);
            rates.pause_ = *rc::gen::inRange(0U, 4U);
            for (int round = 0; round < 30; ++round)
            {
                history one(*rc::gen::inRange(0U, 1U << 30U), rates);
                one.run();
                RC_ASSERT(one.is_done());
                most_attempts = std::max(most_attempts, one.attempts());
            }
        }));
    // Otherwise the faults were too rare to prove anything.
    EXPECT_GT(most_attempts, 3U);
}

TEST(chain_property, nothing_stays_in_memory_when_no_cancel_is_lost)
{
    EXPECT_TRUE(rc::check(
        [&]
        {
            fault_rates rates;
            rates.duplicate_ = *rc::gen::inRange(0U, 20U);
            rates.reorder_ = *rc::gen::inRange(0U, 50U);
            rates.restart_ = *rc::gen::inRange(0U, 4U);
            rates.pause_ = *rc::gen::inRange(0U, 4U);
            for (int round = 0; round < 30; ++round)
            {
                history one(*rc::gen::inRange(0U, 1U << 30U), rates);
                one.run();
                RC_ASSERT(one.is_done());
                RC_ASSERT(one.leaked_caches() == 0U);
            }
        }));
}
