// A stream that the stand-in of the users' engines writes, and the state that
// its responses depend on.
#ifndef AUBURNLB_FAKES_USERS_ENGINE_STREAM_HPP
#define AUBURNLB_FAKES_USERS_ENGINE_STREAM_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "auburnlb/router/caller_connection.hpp"
#include "auburnlb/router/internal_http_client.hpp"
#include "users_engine_options.hpp"

namespace auburnlb::fakes
{

struct engine_state
{
    std::optional<layer_range> layers_;
    std::uint64_t orders_ = 0;
    /// Bodies of the orders that it accepted, and of those that it refused
    /// since they are for another engine.
    std::vector<nlohmann::json> accepted_orders_;
    std::vector<nlohmann::json> misdirected_orders_;
    bool is_busy_ = false;
    bool is_draining_ = false;
    std::string fault_ = "none";
    std::map<std::string, int> runs_;
    std::map<std::string, int> cancelled_;
    /// Value of the rate limit that all responses name; empty for none.
    std::string rate_limit_;
    /// Backoff in seconds that refusals ask for; empty for none.
    std::string backoff_;
    /// All responses say that the engine leaves.
    bool is_leaving_ = false;
    /// Arrivals of requests since the start, and those of them that were
    /// refused.
    std::vector<std::int64_t> arrivals_ms_;
    std::vector<std::int64_t> refusals_ms_;
    std::uint64_t born_ = 0;
    /// Streams whose caller is there.
    std::uint32_t streams_ = 0;
};

/// Returns the head of a response to a request that was run.
http_head completion_metadata(unsigned status, std::string const& request_id,
                              engine_state const& state);

/// Returns how much later than at once a call is answered.
milliseconds answer_delay(engine_state const& state);

/// Returns the factor by which the events of a stream come later.
std::int64_t slowness(engine_state const& state);

/// What a stream uses of its engine, which outlives it.
struct stream_owner
{
    engine_state& state_;
    users_engine_options const& options_;
    internal_http_client& calls_;
    /// Ends the engine's run.
    std::function<void()> crash_;
};

/// Identifiers of the events that a stream writes, both ends included.
struct event_range
{
    std::uint64_t first_ = 1;
    std::uint64_t last_ = 1;
};

/// One stream that this engine writes.
class running_stream final
    : public std::enable_shared_from_this<running_stream>,
      public disconnect_handler
{
public:
    running_stream(asio::io_context& io, stream_owner const& owner,
                   std::shared_ptr<caller_connection> caller, std::string id,
                   event_range events, std::vector<std::string> parts,
                   bool is_crashing)
        : owner_(owner)
        , caller_(std::move(caller))
        , id_(std::move(id))
        , first_(events.first_)
        , next_(events.first_)
        , last_(events.last_)
        , is_resumed_(events.first_ > 1)
        , parts_(std::move(parts))
        , is_crashing_(is_crashing)
        , timer_(io)
    {
    }

    void begin();
    void on_caller_left() override;

private:
    void write_head();
    /// Whether the engine crashes before it writes the next event.
    bool is_at_crash_point() const;
    void crash_after(milliseconds delay);
    /// Makes the last engine of the path crash, if the options say so. Returns
    /// whether they do.
    bool crash_later_engine();
    /// Waits for an engine of the path that does not answer, to a limit.
    void stall();
    void step();
    void check_part(std::size_t index);
    void write_event();
    void write_endless();
    void write(std::string_view text);
    /// Ends the response as its framing asks for.
    void finish();
    void wait(milliseconds pause);
    /// Ends the stream; gives the caller whose answer is to be ended.
    std::shared_ptr<caller_connection> release_caller();

    stream_owner owner_;
    std::shared_ptr<caller_connection> caller_;
    std::string id_;
    std::uint64_t first_;
    std::uint64_t next_;
    std::uint64_t last_;
    bool is_resumed_;
    std::vector<std::string> parts_;
    /// The engine crashes at the point that its options name.
    bool is_crashing_;
    bool is_crash_sent_ = false;
    asio::steady_timer timer_;
    milliseconds stalled_{0};
    /// The response ends with its connection.
    bool is_unframed_ = false;
};

} // namespace auburnlb::fakes

#endif
