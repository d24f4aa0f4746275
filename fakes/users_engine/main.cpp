// A stand-in of the users' engines: a model engine that takes layers, orders
// and paths and streams events, or a plain service that counts its runs. It
// registers itself in the store.
//
// A test may post to /fake/fault: "none"; "shed" refuses without running;
// "error" answers 500; "lose" runs and closes without an answer; "half" breaks
// off within an event, "stumble" too unless the stream was resumed; "extra"
// sends a second answer; "foreign" answers with another request's id first;
// "unframed" sends neither length nor chunks, and "torn" breaks off within an
// event of such a stream; "mute" never answers; "early" answers before a body
// is read; "deny" answers 409; "head" breaks off within the head, and "bare"
// after it, of an answer without a length, "bare-denial" the same of 409;
// "repeat" refuses, and writes each refusal once more before the next answer on
// its connection, "anonymous" the same without ids; "held" begins a stream
// without events; "spill" sends text without end in a stream, "drip" the same
// in small chunks, "flood" large events without end, "bulk" large events;
// "slow FACTOR" writes events more
// slowly; "after MS" answers a call later; "large" answers it with 12 MB;
// "status TEXT" answers with that status. A post to /fake/limit sets the rate
// limit that responses name, an empty one ends it. A post to /fake/backoff sets
// the backoff in seconds that "shed" asks for. A post to /fake/leave makes all
// responses say that the engine leaves, one to /fake/register writes its entry
// again. GET /fake/runs gives the runs by id, the orders that it accepted and
// those for other engines.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/socket.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "asio_server.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "names.hpp"
#include "program.hpp"
#include "protocol.hpp"
#include "users_engine_options.hpp"
#include "users_engine_stream.hpp"

namespace
{

using namespace auburnlb;
using nlohmann::json;
namespace names = platform::names;

constexpr milliseconds tick_interval{5};
constexpr milliseconds call_timeout{300};
constexpr milliseconds registration_retry{500};
constexpr unsigned unavailable = 503;
/// Tells an end by a request from one by a fault of this program.
constexpr int crashed_exit_code = 3;
constexpr std::size_t large_body_bytes = std::size_t{12} * 1024 * 1024;

/// Addresses of a path's other parts.
std::vector<std::string> other_parts(http_head const& head)
{
    std::vector<std::string> addresses;
    std::string const* const text = head.find(names::path);
    std::size_t at = text == nullptr ? std::string::npos : text->find(',');
    while (at != std::string::npos)
    {
        std::size_t const begin = at + 1;
        at = text->find(',', begin);
        std::string const part = text->substr(begin, at - begin);
        addresses.push_back(part.substr(0, part.find('=')));
    }
    return addresses;
}

/// Whether a part other than the last of the request's prompt has this
/// identifier.
bool has_shared_part(http_head const& head, std::string const& id)
{
    auto const request = platform::read_request(head);
    if (!request || id.empty())
    {
        return false;
    }
    auto const& parts = request.value().shared_prompt_parts_;
    return std::find(parts.begin(), parts.end(), id) != parts.end();
}

/// Makes each socket of the process end with a reset, which discards what was
/// not sent.
void reset_connections()
{
    constexpr int max_descriptor = 1'024;
    linger const discard{1, 0};
    for (int descriptor = 0; descriptor < max_descriptor; ++descriptor)
    {
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard,
                     sizeof(discard));
    }
}

class engine
{
public:
    engine(asio::io_context& io, fakes::users_engine_options options)
        : io_(io)
        , options_(std::move(options))
        , calls_(io, clock_)
        , tick_(io)
        , record_(options_.record_, std::ios::app)
        , server_(io, options_.port_,
                  [this](std::shared_ptr<caller_connection> const& caller,
                         http_head const& head, std::string const& body)
                  { serve(caller, head, body); })
    {
        state_.born_ = static_cast<std::uint64_t>(
            clock_.now().time_since_epoch() / milliseconds(1));
        tick();
        register_entry();
    }

    std::uint16_t port() const { return server_.port(); }

private:
    void tick()
    {
        tick_.expires_after(tick_interval);
        tick_.async_wait(
            [this](asio::error_code const& failure)
            {
                if (!failure)
                {
                    calls_.on_tick(clock_.now());
                    if (clock_.now() >= next_registration_)
                    {
                        register_entry();
                    }
                    tick();
                }
            });
    }

    std::string address() const
    {
        return options_.advertised_.empty()
                   ? "127.0.0.1:" + std::to_string(server_.port())
                   : options_.advertised_;
    }

    /// Writes the entry; each change writes it again.
    void register_entry()
    {
        json entry{{"service", options_.service_},
                   {"address", address()},
                   {"zone", options_.zone_},
                   {"version", "v1"},
                   {"batch-slots", 16},
                   {"state", state_.is_draining_ ? "draining" : "ready"},
                   {"sequence", ++beats_},
                   {"born", state_.born_}};
        if (!options_.kind_.empty())
        {
            entry["kind"] = options_.kind_;
        }
        if (state_.layers_)
        {
            entry["layers"] = {{"from", state_.layers_->first_},
                               {"to", state_.layers_->end_},
                               {"version", 1}};
        }
        store_object object;
        object.name_ = options_.id_;
        object.value_ = entry.dump();
        http_call call = platform::write_put_call("servers", object);
        call.method_ = "PUT";
        call.target_ += "/" + options_.id_;
        next_registration_ = clock_.now() + registration_retry;
        calls_.call(options_.store_, call, call_timeout,
                    [this, beat = beats_](result<http_reply> const& reply)
                    {
                        constexpr unsigned status_ok = 200;
                        if (reply && reply.value().head_.status_ == status_ok &&
                            beat == beats_)
                        {
                            next_registration_ = time_point::max();
                        }
                    });
    }

    void serve(std::shared_ptr<caller_connection> const& caller,
               http_head const& head, std::string const& body)
    {
        if (head.target_.starts_with("/fake/"))
        {
            control(*caller, head, body);
        }
        else if (head.target_ == "/report")
        {
            fakes::answer_json(*caller, 200, report().dump());
        }
        else if (head.target_ == "/order")
        {
            order(*caller, head, json::parse(body));
        }
        else
        {
            run(caller, head, body);
        }
    }

    void control(caller_connection& caller, http_head const& head,
                 std::string const& body)
    {
        if (head.target_ == "/fake/fault")
        {
            state_.fault_ = body;
        }
        if (head.target_ == "/fake/crash")
        {
            crash();
        }
        if (head.target_ == "/fake/limit")
        {
            state_.rate_limit_ = body;
        }
        if (head.target_ == "/fake/backoff")
        {
            state_.backoff_ = body;
        }
        if (head.target_ == "/fake/leave")
        {
            state_.is_leaving_ = true;
        }
        if (head.target_ == "/fake/register")
        {
            register_entry();
        }
        if (head.target_ == "/fake/drain")
        {
            state_.is_draining_ = true;
            register_entry();
        }
        fakes::answer_json(
            caller, 200,
            json{{"runs", state_.runs_},
                 {"cancelled", state_.cancelled_},
                 {"arrivals_ms", state_.arrivals_ms_},
                 {"refusals_ms", state_.refusals_ms_},
                 {"orders", state_.accepted_orders_},
                 {"misdirected_orders", state_.misdirected_orders_},
                 {"streams", state_.streams_}}
                .dump());
    }

    json report() const
    {
        json value{{"busy", state_.is_busy_},
                   {"sequence", state_.orders_},
                   {"born", state_.born_},
                   {"running", 0}};
        if (state_.layers_)
        {
            value["layers"] = {{"from", state_.layers_->first_},
                               {"to", state_.layers_->end_}};
        }
        return value;
    }

    void order(caller_connection& caller, http_head const& head,
               json const& body)
    {
        std::string const* const instance = head.find(names::expect_instance);
        if (instance != nullptr && *instance != options_.id_)
        {
            constexpr unsigned misdirected = 421;
            state_.misdirected_orders_.push_back(body);
            fakes::answer_json(caller, misdirected, "{}");
            return;
        }
        if (state_.is_busy_ ||
            body.value("expect", state_.orders_) != state_.orders_)
        {
            fakes::answer_json(caller, 409, "{}");
            return;
        }
        layer_range const layers{body["from"], body["to"]};
        state_.accepted_orders_.push_back(body);
        ++state_.orders_;
        state_.is_busy_ = true;
        state_.layers_.reset();
        auto timer = std::make_shared<asio::steady_timer>(io_, options_.load_);
        timer->async_wait(
            [this, timer, layers](asio::error_code const&)
            {
                state_.is_busy_ = false;
                state_.layers_ = layers;
                register_entry();
            });
        fakes::answer_json(caller, 202, "{}");
    }

    void refuse(caller_connection& caller, unsigned status,
                std::string const& id)
    {
        http_head head;
        head.status_ = status;
        head.fields_ = {{std::string(names::not_run), "1"}};
        if (!id.empty())
        {
            head.fields_.push_back({std::string(names::request_id), id});
        }
        if (state_.is_leaving_)
        {
            head.fields_.push_back({std::string(names::leaving), "1"});
        }
        if (!state_.backoff_.empty() && status == unavailable)
        {
            head.fields_.push_back(
                {std::string(names::retry_after), state_.backoff_});
        }
        caller.send_response(head, "");
    }

    void run(std::shared_ptr<caller_connection> const& caller,
             http_head const& head, std::string const& body)
    {
        std::string const* const id = head.find(names::request_id);
        std::string const* const instance = head.find(names::expect_instance);
        constexpr unsigned misdirected = 421;
        if (id == nullptr || (instance != nullptr && *instance != options_.id_))
        {
            refuse(*caller, misdirected, id == nullptr ? "" : *id);
            return;
        }
        auto const now_ms = clock_.now().time_since_epoch() / milliseconds(1);
        state_.arrivals_ms_.push_back(now_ms);
        if (state_.fault_ == "shed")
        {
            state_.refusals_ms_.push_back(now_ms);
            refuse(*caller, unavailable, *id);
            return;
        }
        if (repeats_refusal(*caller, *id))
        {
            return;
        }
        ++state_.runs_[*id];
        record_ << options_.id_ << ' ' << *id << '\n' << std::flush;
        bool const is_crashing =
            has_shared_part(head, options_.crash_part_) ||
            (!options_.crash_body_.empty() && body == options_.crash_body_);
        if (breaks_head_off(*caller, *id) || writes_odd_status(*caller, *id))
        {
            return;
        }
        if (state_.fault_ == "deny")
        {
            caller->send_response(fakes::completion_metadata(409, *id, state_),
                                  "denied");
            return;
        }
        if (options_.kind_.empty())
        {
            if (is_crashing)
            {
                crash();
                return;
            }
            run_plain_later(caller, *id, fakes::answer_delay(state_));
            return;
        }
        if (state_.fault_ == "mute")
        {
            return;
        }
        if (state_.fault_ == "error")
        {
            caller->send_response(fakes::completion_metadata(500, *id, state_),
                                  "failed");
            return;
        }
        std::string const* const last = head.find(names::last_event_id);
        std::uint64_t const next = last == nullptr ? 1 : std::stoull(*last) + 1;
        std::make_shared<fakes::running_stream>(
            io_,
            fakes::stream_owner{state_, options_, calls_,
                                [this]
                                {
                                    crash();
                                }},
            caller, *id, fakes::event_range{next, last_event(head)},
            other_parts(head), is_crashing)
            ->begin();
    }

    /// Returns the number of events in a whole answer to the request.
    std::uint64_t last_event(http_head const& head) const
    {
        auto const request = platform::read_request(head);
        std::uint64_t const asked =
            request ? request.value().max_output_tokens_ : 0;
        return asked == 0 ? options_.events_
                          : std::min<std::uint64_t>(asked, options_.events_);
    }

    /// Refuses the first request of a connection. Writes that refusal once more
    /// when the next one comes, which runs. Returns whether it has refused.
    bool repeats_refusal(caller_connection& caller, std::string const& id)
    {
        bool const is_anonymous = state_.fault_ == "anonymous";
        if (!is_anonymous && state_.fault_ != "repeat")
        {
            return false;
        }
        auto const [refused, is_first] =
            refused_ids_.try_emplace(caller.weak_from_this(), id);
        if (is_first)
        {
            refuse(caller, unavailable, is_anonymous ? "" : id);
            return true;
        }
        std::string const id_line =
            is_anonymous ? ""
                         : "Auburnlb-Request-Id: " + refused->second + "\r\n";
        caller.send_raw("HTTP/1.1 503 Service Unavailable\r\n" + id_line +
                        "Auburnlb-Not-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
        return false;
    }

    /// Breaks an answer without a length off within its head, or after it.
    bool breaks_head_off(caller_connection& caller, std::string const& id)
    {
        std::string const& fault = state_.fault_;
        if (fault != "head" && fault != "bare" && fault != "bare-denial")
        {
            return false;
        }
        std::string const status =
            fault == "bare-denial" ? "409 Conflict" : "200 OK";
        caller.send_raw("HTTP/1.1 " + status + "\r\nAuburnlb-Request-Id: " +
                        id + "\r\nAuburnlb-Response-Stamp: s\r\n" +
                        (fault == "head" ? "Content-Ty" : "\r\n"));
        caller.abort_response();
        return true;
    }

    /// Writes a response with the status that the test has set.
    bool writes_odd_status(caller_connection& caller, std::string const& id)
    {
        constexpr std::string_view prefix = "status ";
        if (!state_.fault_.starts_with(prefix))
        {
            return false;
        }
        caller.send_raw("HTTP/1.1 " + state_.fault_.substr(prefix.size()) +
                        "\r\nAuburnlb-Request-Id: " + id +
                        "\r\nAuburnlb-Response-Stamp: s\r\n"
                        "Content-Length: 4\r\n\r\nodd\n");
        return true;
    }

    /// Ends the process, or begins a new run under the same identifier and
    /// address that knows nothing of before.
    void crash()
    {
        if (options_.resets_connections_)
        {
            reset_connections();
        }
        if (!options_.restarts_at_once_)
        {
            std::_Exit(crashed_exit_code);
        }
        server_.drop_connections();
        std::uint64_t const born = state_.born_;
        state_ = {};
        state_.born_ = born + 1;
        register_entry();
    }

    void run_plain_later(std::shared_ptr<caller_connection> const& caller,
                         std::string const& id, milliseconds delay)
    {
        if (delay == milliseconds(0))
        {
            run_plain(*caller, id);
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(io_, delay);
        timer->async_wait([this, timer, caller, id](asio::error_code const&)
                          { run_plain(*caller, id); });
    }

    void run_plain(caller_connection& caller, std::string const& id)
    {
        std::string const& fault = state_.fault_;
        if (fault == "mute")
        {
            return;
        }
        if (fault == "lose")
        {
            caller.abort_response();
            return;
        }
        if (fault == "foreign")
        {
            // The late answer to a request that was given up before.
            caller.send_raw("HTTP/1.1 200 OK\r\nAuburnlb-Request-Id: other\r\n"
                            "Auburnlb-Response-Stamp: s\r\n"
                            "Content-Length: 5\r\n\r\nwrong");
        }
        if (fault == "unframed")
        {
            caller.send_raw("HTTP/1.1 200 OK\r\nAuburnlb-Request-Id: " + id +
                            "\r\nAuburnlb-Response-Stamp: signed-" + id +
                            "\r\n\r\nran " + id);
            caller.abort_response();
            return;
        }
        unsigned const status = fault == "error" ? 500 : 200;
        caller.send_response(fakes::completion_metadata(status, id, state_),
                             fault == "large"
                                 ? std::string(large_body_bytes, 'x')
                                 : "ran " + id);
        if (fault == "extra")
        {
            caller.send_raw(
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
        }
    }

    asio::io_context& io_;
    boot_clock clock_;
    fakes::users_engine_options options_;
    fakes::engine_state state_;
    std::uint64_t beats_ = 0;
    /// When the entry is written again unless the store takes it before.
    time_point next_registration_ = time_point::max();
    internal_http_client calls_;
    asio::steady_timer tick_;
    std::ofstream record_;
    /// The request that was refused on each connection.
    std::map<std::weak_ptr<caller_connection>, std::string, std::owner_less<>>
        refused_ids_;
    fakes::asio_server server_;
};

} // namespace

int main(int argc, char** argv)
{
    asio::io_context io;
    engine running(io, fakes::read_users_engine_options(argc, argv));
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](asio::error_code const&, int) { io.stop(); });
    fakes::announce("engine", running.port());
    io.run();
    // Streams hold each other through callbacks; the process ends at once.
    std::_Exit(EXIT_SUCCESS);
}
