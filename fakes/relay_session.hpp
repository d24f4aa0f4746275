// One connection through the relay.
#ifndef AUBURNLB_FAKES_RELAY_SESSION_HPP
#define AUBURNLB_FAKES_RELAY_SESSION_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio.hpp>

#include "auburnlb/state/clock.hpp"

namespace auburnlb::fakes
{

/// What applies to every connection; read and written on the relay's thread.
struct relay_condition
{
    milliseconds delay_{0};
    std::uint64_t bytes_per_second_ = 0;
    /// Size of the pieces that bytes are cut into; zero for as they come.
    std::size_t piece_bytes_ = 0;
    milliseconds piece_pause_{0};
    bool is_isolated_ = false;
    bool loses_answers_ = false;
};

/// Both directions of one connection. Used on the relay's thread.
class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    using refusal_handler = std::function<void(std::uint16_t client_port)>;

    /// The handler is told of a client whose connection the target refused.
    relay_session(asio::ip::tcp::socket client,
                  relay_condition const& condition, refusal_handler on_refused);

    void start(asio::ip::tcp::endpoint const& target);
    bool is_open() const { return client_.is_open(); }
    bool is_silent() const { return is_silent_; }
    /// Holds the connection and forwards nothing more.
    void silence() { is_silent_ = true; }
    void lose_answers() { loses_answers_ = true; }
    /// Closes with a reset instead of an orderly end.
    void reset();
    void close();

private:
    enum class chunk_kind
    {
        bytes,
        /// The sender's half is closed.
        end,
        reset,
    };

    struct delayed_chunk
    {
        time_point due_;
        std::string bytes_;
        chunk_kind kind_ = chunk_kind::bytes;
    };

    static constexpr std::size_t chunk_bytes = 16U << 10U;

    struct direction
    {
        asio::ip::tcp::socket& from_;
        asio::ip::tcp::socket& to_;
        asio::steady_timer timer_;
        std::array<char, chunk_bytes> buffer_{};
        std::deque<delayed_chunk> waiting_{};
        std::size_t waiting_bytes_ = 0;
        bool is_reading_ = false;
        bool is_writing_ = false;
        bool is_ended_ = false;
        bool is_reset_ = false;
        bool has_passed_end_ = false;
        /// When the rate lets the next byte through.
        time_point next_free_{};
        /// When the next piece may be passed on.
        time_point next_piece_{};

        direction(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to,
                  asio::ip::tcp::socket::executor_type const& executor);
    };

    void on_connected(asio::error_code error);
    void read(direction& way);
    void on_read(direction& way, asio::error_code error, std::size_t bytes);
    void pass_bytes(direction& way, std::string_view bytes);
    void pass_end(direction& way);
    void pass_reset(direction& way);
    /// After its end, a sender can still reset the connection.
    void watch_for_reset(direction& way);
    direction& opposite(direction const& way);
    time_point due_time(direction& way, std::size_t bytes) const;
    void write_next(direction& way);
    void write_now(direction& way);
    void write_end(direction& way);
    void on_written(direction& way, asio::error_code error);

    relay_condition const& condition_;
    refusal_handler on_refused_;
    asio::ip::tcp::socket client_;
    asio::ip::tcp::socket server_;
    direction upstream_;
    direction downstream_;
    bool is_silent_ = false;
    bool loses_answers_ = false;
};

} // namespace auburnlb::fakes

#endif
