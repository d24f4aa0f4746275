// Connections of callers: requests are read whole, responses are sent as they
// arrive.
#ifndef AUBURNLB_ROUTER_CALLER_CONNECTION_HPP
#define AUBURNLB_ROUTER_CALLER_CONNECTION_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "auburnlb/coordination/body_eviction.hpp"
#include "auburnlb/coordination/memory_budgets.hpp"
#include "auburnlb/router/caller_events.hpp"
#include "auburnlb/router/http_message.hpp"
#include "auburnlb/router/tcp_channel.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/route_table.hpp"

namespace auburnlb
{

class caller_connection;

/// How much longer than announced a connection stays open: a request that the
/// caller sends at the end of the time is still on its way then.
inline constexpr milliseconds idle_close_margin{1'000};

/// Is notified when the caller of a request disconnects.
class disconnect_handler
{
public:
    virtual ~disconnect_handler() = default;
    /// The caller has disconnected; it can no longer receive a response.
    virtual void on_caller_left() = 0;
};

/// Handles the requests that arrive on caller connections.
class request_service
{
public:
    virtual ~request_service() = default;
    /// Starts to handle the request. Each request must end with a complete or
    /// an aborted response.
    virtual void serve(std::shared_ptr<caller_connection> caller,
                       http_head head, std::string body,
                       time_point received) = 0;
    virtual caller_limits limits() const = 0;
    /// Whether responses ask the caller to close the connection.
    virtual bool is_closing() const = 0;
    virtual time_point now() const = 0;
    virtual void on_connection_closed(caller_connection& connection) = 0;
    virtual void on_caller_event(caller_event, std::string const& /*peer*/) {}
    /// Ends unfinished requests of other connections, if that frees the missing
    /// bytes for a request of this one.
    virtual void make_room(caller_connection const& /*needing*/,
                           std::size_t /*missing*/)
    {
    }
    /// Time within which a body must bring min_stall_bytes; 0 for no limit.
    virtual milliseconds body_stall() const { return milliseconds(0); }
    /// The budgets that the service's connections share. By default, each has
    /// its own.
    virtual std::shared_ptr<memory_budgets> memory()
    {
        return std::make_shared<memory_budgets>();
    }
};

/// One connection of a caller. It handles one request at a time; bytes of later
/// requests are buffered meanwhile.
class caller_connection final
    : public std::enable_shared_from_this<caller_connection>,
      public channel_receiver,
      public http_message_sink
{
public:
    caller_connection(request_service& service,
                      std::shared_ptr<tcp_channel> channel);
    caller_connection(caller_connection const&) = delete;
    caller_connection& operator=(caller_connection const&) = delete;

    void start();

    /// Sets who is notified if the caller disconnects; reset at the end of the
    /// response.
    void set_disconnect_handler(disconnect_handler* handler)
    {
        disconnect_handler_ = handler;
    }

    /// Removes the handler unless that of a later request has replaced it.
    void remove_disconnect_handler(disconnect_handler const& handler)
    {
        if (disconnect_handler_ == &handler)
        {
            disconnect_handler_ = nullptr;
        }
    }

    /// Sends a complete response. The hop-by-hop fields and the Content-Length
    /// are set here.
    void send_response(http_head const& head, std::string_view body);
    /// Sends the head of a response whose body follows in pieces.
    void begin_response(http_head const& head);
    void send_body(std::string_view piece);
    void end_response();
    /// Closes the connection without ending the response, so that the caller
    /// sees that it is incomplete.
    void abort_response();
    /// Closes the connection at once, without what the caller has not taken.
    void drop();

    /// Sends raw bytes, as needed by fakes that violate the protocol.
    void send_raw(std::string_view bytes) { channel_->write(bytes); }

    /// Whether any part of a response was sent.
    bool has_begun_response() const { return has_begun_response_; }
    /// Whether no request is in progress. One that has arrived counts, even if
    /// it has not been read: the process may have been paused.
    bool is_idle() const
    {
        return !is_serving_ && !reader_.is_inside_message() &&
               !channel_->has_unread_bytes();
    }
    /// Whether bytes of the caller wait to be read.
    bool has_unread_bytes() const { return channel_->has_unread_bytes(); }
    /// Whether the caller has not acknowledged all that was sent.
    bool has_unacknowledged_bytes() const
    {
        return channel_->has_unacknowledged_bytes();
    }
    /// Bytes that are not yet written to the socket.
    std::size_t unsent_bytes() const { return channel_->unsent_bytes(); }
    /// Bytes that were written to the socket since the connection began.
    std::uint64_t sent_bytes() const { return channel_->sent_bytes(); }
    /// Whether bytes are still being written, also after the connection was
    /// closed.
    bool is_writing() const
    {
        return channel_->is_open() && !channel_->is_drained();
    }
    /// Whether the socket is open, also to read what arrives after the end.
    bool is_open() const { return channel_->is_open(); }
    void on_tick(time_point now);

    /// The address of the caller, without its port.
    std::string_view address() const;
    /// Whether a request is being read.
    bool is_unfinished() const
    {
        return !is_serving_ && !is_closed_ && reader_.is_inside_message();
    }
    /// What the request that is being read holds of the budget.
    unfinished_request unfinished(time_point now) const;
    open_connection state(time_point now) const;
    /// Ends the request that is being read; it has not run.
    void evict(caller_event reason);
    /// Closes the socket of a closed connection whose caller has received all.
    void end_linger();
    /// Closes the connection unless a request has begun or bytes wait.
    void close_silent();

private:
    void on_bytes(std::string_view bytes) override;
    void on_end(channel_end end) override;
    void on_head(http_head head) override;
    void on_body(std::string_view piece) override;
    /// The rest is done when the reader has returned.
    void on_message_end() override {}

    void read(std::string_view bytes);
    void read_pending();
    void serve();
    void reject(http_head const& head, std::string_view body);
    void reject(unsigned status);
    /// Whether so many bytes have room, for which others may give way.
    bool find_room(std::size_t size, std::size_t more);
    /// Counts the memory of the head and the trailer that are being read.
    void count_head();
    /// Refuses the request whose body has no room. The connection goes on.
    void refuse_body();
    /// Keeps bytes of later requests.
    void keep_pending(std::string_view bytes);
    /// Closes the connection and removes it from its service.
    void close(bool is_abrupt);
    void close_if_idle(time_point now);
    void finish_request();
    void report(caller_event event);
    /// Reports bytes of later requests that the close drops.
    void report_read_ahead();
    bool is_idle_time_over(time_point now) const;
    void append_connection_fields(std::string& out) const;

    request_service& service_;
    std::shared_ptr<memory_budgets> memory_;
    std::shared_ptr<tcp_channel> channel_;
    http_reader reader_;
    disconnect_handler* disconnect_handler_ = nullptr;
    http_head head_;
    std::string body_;
    /// The bytes of the body, until its request has ended.
    budgeted_bytes body_bytes_;
    /// Size of the body that is being read.
    std::size_t body_size_ = 0;
    /// Memory of the head before it.
    std::size_t head_size_ = 0;
    /// Of the message that is being read.
    read_progress progress_;
    /// Bytes received while a request was in progress.
    std::string pending_;
    budgeted_bytes pending_bytes_;
    /// Those in force when the message being read began.
    caller_limits message_limits_;
    /// When the message being read, or the idle time, began.
    time_point phase_began_at_{};
    /// The idle time that the caller relies on: that of the last response or,
    /// before the first one, of the limits when the connection was accepted.
    milliseconds announced_idle_timeout_;
    bool is_serving_ = false;
    bool is_reading_pending_ = false;
    bool has_begun_response_ = false;
    /// The connection closes after the request in progress.
    bool is_last_request_ = false;
    bool is_body_too_large_ = false;
    /// The body is read and dropped.
    bool is_body_refused_ = false;
    /// What still arrives belongs to a request that was ended.
    bool is_evicted_ = false;
    bool has_begun_request_ = false;
    bool is_closed_ = false;
};

} // namespace auburnlb

#endif
