// Calls with timeouts over pooled connections.
#include "auburnlb/router/internal_http_client.hpp"

#include <utility>
#include <vector>

namespace auburnlb
{

namespace
{

/// Maximum idle time of a reused connection. Calls are rare, so connections
/// that were idle for longer are reopened.
constexpr milliseconds max_call_idle{3'000};

std::string render_call(std::string const& address, http_call const& call)
{
    std::string out = call.method_ + " " + call.target_ + " HTTP/1.1\r\n";
    append_field(out, "Host", address);
    for (http_field const& each : call.fields_)
    {
        append_field(out, each.name_, each.value_);
    }
    if (!call.body_.empty())
    {
        append_field(out, "Content-Type", "application/json");
        append_field(out, "Content-Length", std::to_string(call.body_.size()));
    }
    out += "\r\n";
    out += call.body_;
    return out;
}

error_code to_error_code(exchange_failure failure)
{
    switch (failure)
    {
    case exchange_failure::refused:
        return error_code::unreachable;
    case exchange_failure::not_connected:
        // A pause of this process may have used up the time.
        return error_code::timeout;
    default:
        return error_code::response_lost;
    }
}

} // namespace

/// A call in progress. Invariant: in pending_ until it is complete.
class internal_http_client::pending_call final
    : public std::enable_shared_from_this<pending_call>,
      public response_receiver
{
public:
    pending_call(internal_http_client& client, http_call const& call,
                 time_point deadline, handler handler)
        : client_(client)
        , step_(call.method_ + " " + call.target_)
        , deadline_(deadline)
        , handler_(std::move(handler))
        , max_reply_bytes_(max_reply_bytes(call.reply_))
        , reply_bytes_(budget_of(*client.memory_, call.reply_))
    {
    }

    void begin(std::shared_ptr<pooled_connection> connection,
               std::string const& request)
    {
        connection_ = std::move(connection);
        connection_->begin(request, *this);
    }

    time_point deadline() const { return deadline_; }

    void abandon() { connection_->cancel(); }

    void time_out()
    {
        connection_->cancel();
        complete(error{error_code::timeout, step_, connection_->address(),
                       "the call timed out"});
    }

    bool is_matching_response(http_head const&) override { return true; }

    void on_response_head(http_head const& head) override
    {
        reply_.head_ = head;
    }

    void on_response_body(std::string_view piece) override
    {
        if (reply_.body_.size() + piece.size() <= max_reply_bytes_ &&
            reply_bytes_.try_add(piece.size()))
        {
            reply_.body_.append(piece);
            return;
        }
        ++client_.oversized_replies_;
        connection_->cancel();
        complete(error{error_code::response_lost, step_, connection_->address(),
                       "the response exceeds the size limit"});
    }

    void on_response_end() override { complete(std::move(reply_)); }

    void on_exchange_failed(exchange_failure failure) override
    {
        complete(error{to_error_code(failure), step_, connection_->address(),
                       failure == exchange_failure::malformed
                           ? "the response is not valid HTTP"
                           : "the connection ended"});
    }

private:
    void complete(result<http_reply> outcome)
    {
        auto const keep_alive = shared_from_this();
        if (client_.pending_.erase(keep_alive) == 0)
        {
            return;
        }
        handler const handler = std::move(handler_);
        handler(std::move(outcome));
    }

    internal_http_client& client_;
    std::string step_;
    time_point deadline_;
    handler handler_;
    std::shared_ptr<pooled_connection> connection_;
    http_reply reply_;
    std::size_t max_reply_bytes_;
    /// The bytes of the reply's body.
    budgeted_bytes reply_bytes_;
};

internal_http_client::internal_http_client(
    asio::io_context& io, clock_source const& clock,
    std::shared_ptr<memory_budgets> memory)
    : clock_(clock)
    , memory_(memory != nullptr ? std::move(memory)
                                : std::make_shared<memory_budgets>())
    , pool_(io, clock)
{
}

internal_http_client::~internal_http_client()
{
    for (pending_ptr const& each : pending_)
    {
        each->abandon();
    }
}

void internal_http_client::call(std::string const& address,
                                http_call const& call, milliseconds timeout,
                                handler handler)
{
    auto const pending = std::make_shared<pending_call>(
        *this, call, clock_.now() + timeout, std::move(handler));
    pending_.insert(pending);
    pending->begin(pool_.acquire(address, max_call_idle),
                   render_call(address, call));
}

void internal_http_client::on_tick(time_point now)
{
    pool_.on_tick(now);
    std::vector<pending_ptr> late;
    for (pending_ptr const& each : pending_)
    {
        if (each->deadline() <= now)
        {
            late.push_back(each);
        }
    }
    for (pending_ptr const& each : late)
    {
        each->time_out();
    }
}

} // namespace auburnlb
