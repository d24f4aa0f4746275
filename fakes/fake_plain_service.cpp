// HTTP interface and counts of the fake plain service.
#include "fake_plain_service.hpp"

#include <mutex>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "fake_http.hpp"
#include "timer_thread.hpp"

namespace auburnlb::fakes
{

namespace
{

using json = nlohmann::json;

bool take_one(std::uint32_t& count)
{
    if (count == 0)
    {
        return false;
    }
    --count;
    return true;
}

plain_service_faults parse_faults(json const& body, plain_service_faults faults)
{
    faults.close_before_run_ =
        body.value("close_before_run", faults.close_before_run_);
    faults.close_after_run_ =
        body.value("close_after_run", faults.close_after_run_);
    faults.delay_ = milliseconds(body.value("delay_ms", faults.delay_.count()));
    return faults;
}

std::string render(plain_service_executions const& executions)
{
    return json{{"total", executions.total_},
                {"by_key", executions.by_key_},
                {"by_path", executions.by_path_}}
        .dump();
}

} // namespace

struct fake_plain_service::impl
{
    milliseconds const latency_;
    mutable std::mutex mutex_;
    /// Guarded by mutex_.
    plain_service_faults faults_;
    /// Guarded by mutex_.
    plain_service_executions executions_;
    std::unique_ptr<fake_http_server> server_;
    /// Declared after the server, and so destroyed before it, because its
    /// functions hold replies.
    timer_thread timers_;

    impl(std::uint16_t port, milliseconds latency);
    ~impl();
    void handle(incoming_request const& request,
                std::shared_ptr<fake_reply> const& reply);
    http_response handle_control(incoming_request const& request);
    void execute(incoming_request const& request,
                 std::shared_ptr<fake_reply> const& reply);
    std::string record(incoming_request const& request);
};

fake_plain_service::impl::impl(std::uint16_t port, milliseconds latency)
    : latency_(latency)
{
    server_ = fake_http_server::start(
        port, [this](incoming_request const& request,
                     std::shared_ptr<fake_reply> const& reply)
        { handle(request, reply); });
}

fake_plain_service::impl::~impl()
{
    server_->stop();
    timers_.stop();
}

void fake_plain_service::impl::handle(incoming_request const& request,
                                      std::shared_ptr<fake_reply> const& reply)
{
    if (request.path_.rfind("/fake/", 0) == 0)
    {
        reply->send(handle_control(request));
        return;
    }
    execute(request, reply);
}

http_response
fake_plain_service::impl::handle_control(incoming_request const& request)
try
{
    std::lock_guard const lock(mutex_);
    if (request.path_ == "/fake/executions")
    {
        return json_response(200, render(executions_));
    }
    if (request.path_ == "/fake/faults")
    {
        faults_ = parse_faults(json::parse(request.body_), faults_);
        return json_response(200, "{}");
    }
    return json_response(404, json{{"error", "unknown path"}}.dump());
}
catch (json::exception const& failure)
{
    return json_response(400, json{{"error", failure.what()}}.dump());
}

void fake_plain_service::impl::execute(incoming_request const& request,
                                       std::shared_ptr<fake_reply> const& reply)
{
    std::lock_guard const lock(mutex_);
    if (take_one(faults_.close_before_run_))
    {
        reply->drop();
        return;
    }
    std::string answer = record(request);
    bool const is_answer_lost = take_one(faults_.close_after_run_);
    timers_.after(latency_ + faults_.delay_,
                  [reply, is_answer_lost, answer = std::move(answer)]
                  {
                      if (is_answer_lost)
                      {
                          reply->drop();
                          return;
                      }
                      reply->send(json_response(200, answer));
                  });
}

std::string fake_plain_service::impl::record(incoming_request const& request)
{
    std::string const key = find_header(request.headers_, "Idempotency-Key");
    ++executions_.total_;
    std::uint64_t execution = ++executions_.by_path_[request.path_];
    if (!key.empty())
    {
        execution = ++executions_.by_key_[key];
    }
    return json{{"path", request.path_},
                {"key", key},
                {"execution", execution},
                {"body_hash", body_hash(request.body_)}}
        .dump();
}

fake_plain_service::fake_plain_service(std::uint16_t port, milliseconds latency)
    : impl_(std::make_unique<impl>(port, latency))
{
}

fake_plain_service::~fake_plain_service() = default;

std::uint16_t fake_plain_service::port() const
{
    return impl_->server_->port();
}

std::string fake_plain_service::base_url() const
{
    return loopback_url(port());
}

void fake_plain_service::set_faults(plain_service_faults const& faults)
{
    std::lock_guard const lock(impl_->mutex_);
    impl_->faults_ = faults;
}

plain_service_executions fake_plain_service::executions() const
{
    std::lock_guard const lock(impl_->mutex_);
    return impl_->executions_;
}

std::string body_hash(std::string const& body)
{
    return fmt::format("{:016x}", XXH64(body.data(), body.size(), 0));
}

} // namespace auburnlb::fakes
