// Threads and HTTP interface of the fake engine.
#include "fake_engine.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "engine_core.hpp"
#include "fake_http.hpp"

namespace auburnlb::fakes
{

namespace
{

using json = nlohmann::json;

/// A batch that follows another without a pause starts at that one's planned
/// end, so that late wake-ups do not add up; the lag made good is limited.
constexpr milliseconds max_lag{2};

/// One request with its steps; answered when all of them are done.
struct step_call
{
    std::shared_ptr<fake_reply> reply_;
    std::vector<engine_step_result> results_;
    std::size_t pending_ = 0;
};

struct queued_step
{
    engine_step step_;
    std::shared_ptr<step_call> call_;
    std::size_t index_ = 0;
};

engine_step parse_step(json const& value)
{
    engine_step step;
    step.stream_ = value.at("stream").get<std::string>();
    step.position_ = value.at("position").get<std::uint32_t>();
    step.inputs_ = value.at("inputs").get<std::vector<std::string>>();
    step.prompt_tokens_ = value.value("prompt_tokens", 0U);
    step.priority_ = value.value("priority", 0);
    step.is_last_stage_ = value.value("last_stage", false);
    return step;
}

std::string render(std::vector<engine_step_result> const& results)
{
    json rendered{{"results", json::array()}};
    for (auto const& result : results)
    {
        json each{{"stream", result.stream_},
                  {"failure", result.failure_},
                  {"outputs", result.outputs_},
                  {"end", result.is_end_},
                  {"cached_tokens", result.cached_tokens_}};
        if (result.position_)
        {
            each["position"] = *result.position_;
        }
        rendered["results"].push_back(std::move(each));
    }
    return rendered.dump();
}

std::string render(engine_status const& status)
{
    return json{{"layers", {status.layers_.first_, status.layers_.end_}},
                {"accelerator", status.accelerator_},
                {"tokens_per_second", status.tokens_per_second_},
                {"kv_tokens", status.kv_tokens_},
                {"kv_used_tokens", status.kv_used_tokens_},
                {"streams", status.streams_},
                {"queued", status.queued_}}
        .dump();
}

std::string render(fake_engine_counts const& counts)
{
    return json{{"batches", counts.batches_},
                {"steps", counts.steps_},
                {"positions", counts.positions_},
                {"prefilled_tokens", counts.prefilled_tokens_},
                {"cached_tokens", counts.cached_tokens_},
                {"kv_used_tokens", counts.kv_used_tokens_},
                {"streams", counts.streams_}}
        .dump();
}

std::string error_text(std::string const& text)
{
    return json{{"error", text}}.dump();
}

} // namespace

struct fake_engine::impl
{
    std::function<void()> on_crash_;
    std::size_t max_batch_;
    std::atomic<double> slowness_{1.0};

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    /// The members up to thread_ are guarded by mutex_.
    engine_core core_;
    /// Sorted by falling priority, then by arrival.
    std::vector<queued_step> queue_;
    bool is_stopping_ = false;
    std::thread thread_;
    std::unique_ptr<fake_http_server> server_;

    explicit impl(fake_engine_options const& options);
    ~impl();
    void handle(incoming_request const& request,
                std::shared_ptr<fake_reply> const& reply);
    void on_steps(json const& body, std::shared_ptr<fake_reply> const& reply);
    void on_release(json const& body, fake_reply& reply);
    void on_order(json const& body, fake_reply& reply);
    void enqueue(queued_step next);
    void complete(queued_step const& done, engine_step_result result);
    std::vector<queued_step> take_batch();
    void crash(std::vector<queued_step> const& batch);
    void run();
};

fake_engine::impl::impl(fake_engine_options const& options)
    : on_crash_(options.on_crash_)
    , max_batch_(std::max<std::size_t>(1, options.max_batch_))
    , core_(options)
{
    server_ = fake_http_server::start(
        options.port_, [this](incoming_request const& request,
                              std::shared_ptr<fake_reply> const& reply)
        { handle(request, reply); });
    thread_ = std::thread([this] { run(); });
}

fake_engine::impl::~impl()
{
    server_->stop();
    {
        std::lock_guard const lock(mutex_);
        is_stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
    queue_.clear();
}

void fake_engine::impl::handle(incoming_request const& request,
                               std::shared_ptr<fake_reply> const& reply)
try
{
    if (request.path_ == "/v1/status")
    {
        std::lock_guard const lock(mutex_);
        auto const queued = static_cast<std::uint32_t>(queue_.size());
        reply->send(json_response(200, render(core_.status(queued))));
        return;
    }
    if (request.path_ == "/fake/counts")
    {
        std::lock_guard const lock(mutex_);
        reply->send(json_response(200, render(core_.counts())));
        return;
    }
    json const body = json::parse(request.body_);
    if (request.path_ == "/v1/steps")
    {
        on_steps(body, reply);
    }
    else if (request.path_ == "/v1/release")
    {
        on_release(body, *reply);
    }
    else if (request.path_ == "/v1/orders")
    {
        on_order(body, *reply);
    }
    else if (request.path_ == "/fake/faults")
    {
        slowness_ = body.at("slow").get<double>();
        reply->send(json_response(200, "{}"));
    }
    else
    {
        reply->send(json_response(404, error_text("unknown path")));
    }
}
catch (json::exception const& failure)
{
    reply->send(json_response(400, error_text(failure.what())));
}

void fake_engine::impl::on_steps(json const& body,
                                 std::shared_ptr<fake_reply> const& reply)
{
    std::vector<engine_step> steps;
    for (auto const& value : body.at("steps"))
    {
        steps.push_back(parse_step(value));
    }
    if (steps.empty())
    {
        reply->send(
            json_response(200, render(std::vector<engine_step_result>{})));
        return;
    }
    auto call = std::make_shared<step_call>();
    call->reply_ = reply;
    call->results_.resize(steps.size());
    call->pending_ = steps.size();
    {
        std::lock_guard const lock(mutex_);
        for (std::size_t index = 0; index < steps.size(); ++index)
        {
            enqueue({std::move(steps[index]), call, index});
        }
    }
    changed_.notify_one();
}

void fake_engine::impl::enqueue(queued_step next)
{
    auto const place =
        std::upper_bound(queue_.begin(), queue_.end(), next.step_.priority_,
                         [](std::int32_t priority, queued_step const& queued)
                         { return priority > queued.step_.priority_; });
    queue_.insert(place, std::move(next));
}

void fake_engine::impl::complete(queued_step const& done,
                                 engine_step_result result)
{
    step_call& call = *done.call_;
    call.results_[done.index_] = std::move(result);
    if (--call.pending_ == 0)
    {
        call.reply_->send(json_response(200, render(call.results_)));
    }
}

void fake_engine::impl::on_release(json const& body, fake_reply& reply)
{
    auto const streams = body.at("streams").get<std::vector<std::string>>();
    std::lock_guard const lock(mutex_);
    auto const is_released = [&](queued_step const& queued)
    {
        return std::find(streams.begin(), streams.end(),
                         queued.step_.stream_) != streams.end();
    };
    for (auto const& queued : queue_)
    {
        if (is_released(queued))
        {
            complete(queued, {queued.step_.stream_, "released", {}, false, 0});
        }
    }
    std::erase_if(queue_, is_released);
    for (auto const& stream : streams)
    {
        core_.release(stream);
    }
    reply.send(json_response(200, "{}"));
}

void fake_engine::impl::on_order(json const& body, fake_reply& reply)
{
    layer_range const layers{body.at("layers").at(0).get<std::uint32_t>(),
                             body.at("layers").at(1).get<std::uint32_t>()};
    auto const fencing = body.at("fencing_number").get<std::uint64_t>();
    if (layers.first_ >= layers.end_)
    {
        reply.send(json_response(400, error_text("layers: first must be below "
                                                 "end")));
        return;
    }
    std::lock_guard const lock(mutex_);
    if (!core_.order(layers, fencing))
    {
        reply.send(json_response(409, error_text("old fencing number")));
        return;
    }
    reply.send(json_response(200, "{}"));
}

std::vector<queued_step> fake_engine::impl::take_batch()
{
    auto const count =
        static_cast<std::ptrdiff_t>(std::min(max_batch_, queue_.size()));
    std::vector<queued_step> batch(
        std::make_move_iterator(queue_.begin()),
        std::make_move_iterator(queue_.begin() + count));
    queue_.erase(queue_.begin(), queue_.begin() + count);
    return batch;
}

void fake_engine::impl::crash(std::vector<queued_step> const& batch)
{
    if (!on_crash_)
    {
        std::abort();
    }
    on_crash_();
    for (auto const& member : batch)
    {
        step_call& call = *member.call_;
        if (call.reply_)
        {
            call.reply_->drop();
            call.reply_.reset();
        }
    }
}

void fake_engine::impl::run()
{
    std::unique_lock lock(mutex_);
    time_point planned_end{};
    while (true)
    {
        bool const had_backlog = !queue_.empty();
        changed_.wait(lock, [&] { return is_stopping_ || !queue_.empty(); });
        if (is_stopping_)
        {
            return;
        }
        std::vector<queued_step> const batch = take_batch();
        if (std::any_of(batch.begin(), batch.end(),
                        [](auto const& member)
                        { return is_crashing(member.step_); }))
        {
            crash(batch);
            continue;
        }
        std::vector<engine_step_result> results;
        results.reserve(batch.size());
        for (auto const& member : batch)
        {
            results.push_back(core_.run(member.step_));
        }
        auto const time = std::chrono::duration_cast<nanoseconds>(
            core_.take_batch_time() * slowness_.load());
        auto const now = std::chrono::steady_clock::now();
        auto const start =
            had_backlog ? std::max<time_point>(planned_end, now - max_lag)
                        : now;
        planned_end = start + time;
        lock.unlock();
        std::this_thread::sleep_until(planned_end);
        lock.lock();
        for (std::size_t index = 0; index < batch.size(); ++index)
        {
            complete(batch[index], std::move(results[index]));
        }
    }
}

fake_engine::fake_engine(fake_engine_options const& options)
    : impl_(std::make_unique<impl>(options))
{
}

fake_engine::~fake_engine() = default;

std::uint16_t fake_engine::port() const
{
    return impl_->server_->port();
}

std::string fake_engine::base_url() const
{
    return loopback_url(port());
}

fake_engine_counts fake_engine::counts() const
{
    std::lock_guard const lock(impl_->mutex_);
    return impl_->core_.counts();
}

void fake_engine::set_slowness(double factor)
{
    impl_->slowness_ = factor;
}

} // namespace auburnlb::fakes
