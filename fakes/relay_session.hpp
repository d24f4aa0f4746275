// One connection through the relay.
#ifndef AUBURNLB_FAKES_RELAY_SESSION_HPP
#define AUBURNLB_FAKES_RELAY_SESSION_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <asio.hpp>

#include "auburnlb/state/clock.hpp"

namespace auburnlb::fakes
{

/// What applies to every connection; read and written on the relay's thread.
struct relay_condition
{
    milliseconds delay_{0};
    std::uint64_t bytes_per_second_ = 0;
    bool is_isolated_ = false;
    bool loses_answers_ = false;
};

/// Both directions of one connection. Used on the relay's thread.
class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    relay_session(asio::ip::tcp::socket client,
                  relay_condition const& condition);

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
    struct delayed_chunk
    {
        time_point due_;
        std::string bytes_;
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
        /// When the rate lets the next byte through.
        time_point next_free_{};

        direction(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to,
                  asio::ip::tcp::socket::executor_type const& executor);
    };

    void on_connected(asio::error_code error);
    void read(direction& way);
    void on_read(direction& way, asio::error_code error, std::size_t bytes);
    time_point due_time(direction& way, std::size_t bytes) const;
    void write_next(direction& way);
    void write_now(direction& way);
    void on_written(direction& way, asio::error_code error);
    void close_when_drained(direction& way);

    relay_condition const& condition_;
    asio::ip::tcp::socket client_;
    asio::ip::tcp::socket server_;
    direction upstream_;
    direction downstream_;
    bool is_silent_ = false;
    bool loses_answers_ = false;
};

} // namespace auburnlb::fakes

#endif
