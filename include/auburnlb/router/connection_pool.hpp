// HTTP connections to endpoints and other servers, reused between requests.
#ifndef AUBURNLB_ROUTER_CONNECTION_POOL_HPP
#define AUBURNLB_ROUTER_CONNECTION_POOL_HPP

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <asio/io_context.hpp>

#include "auburnlb/router/http_message.hpp"
#include "auburnlb/router/tcp_channel.hpp"
#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Why an exchange ended without a complete response.
enum class exchange_failure
{
    /// The connection could not be established; no byte of the request was
    /// sent.
    not_connected,
    /// The same, because no process listens at the address.
    refused,
    /// The connection ended before the response did.
    broken,
    /// The bytes received are not a valid HTTP response.
    malformed,
};

/// Receives the response to one request.
class response_receiver
{
public:
    virtual ~response_receiver() = default;
    /// Whether the response belongs to the request. A response that does not is
    /// skipped, and the next one is awaited.
    virtual bool is_matching_response(http_head const& head) = 0;
    virtual void on_response_head(http_head const& head) = 0;
    virtual void on_response_body(std::string_view piece) = 0;
    virtual void on_response_end() = 0;
    virtual void on_exchange_failed(exchange_failure failure) = 0;
};

class connection_pool;

/// One connection to a server, which carries one request at a time.
class pooled_connection final
    : public std::enable_shared_from_this<pooled_connection>,
      public channel_receiver,
      public http_message_sink
{
public:
    pooled_connection(connection_pool& pool, std::string address);
    ~pooled_connection() override;
    pooled_connection(pooled_connection const&) = delete;
    pooled_connection& operator=(pooled_connection const&) = delete;

    /// Sends a request. The receiver must live until the response has ended,
    /// the exchange has failed, or cancel() was called.
    /// @param is_head the request is a HEAD, so its response has no body
    void begin(std::string_view request, response_receiver& receiver,
               bool is_head = false);

    /// Hands the rest of the exchange in progress to another receiver.
    void set_receiver(response_receiver& receiver) { receiver_ = &receiver; }

    /// Closes the connection, which makes the endpoint cancel the request. The
    /// receiver is not called any more.
    void cancel();

    std::string const& address() const { return address_; }

    /// Once the response has ended: the first bytes that followed it. The
    /// response may be shorter than its length, so that these complete it.
    std::string const& following_bytes() const { return following_bytes_; }
    /// Reads nothing more of the response until it is resumed.
    void pause_reading() { channel_->pause_reading(); }
    void resume_reading() { channel_->resume_reading(); }
    /// Bounds what the kernel holds of a response while it is paused.
    void bound_receive_buffer() { channel_->bound_receive_buffer(); }

    /// Whether the connection has carried other requests.
    bool is_reused() const { return idle_since_ != time_point{}; }

private:
    friend class connection_pool;

    void connect(time_point now);
    void on_connected() override { is_connected_ = true; }
    void on_bytes(std::string_view bytes) override;
    void on_end(channel_end end) override;
    void on_head(http_head head) override;
    void on_body(std::string_view piece) override;
    void on_message_end() override;
    void fail(exchange_failure failure);
    /// Ends the exchange after a complete response.
    /// @param is_clean nothing followed the response on its open connection
    void finish_exchange(bool is_clean);

    connection_pool& pool_;
    std::string address_;
    std::shared_ptr<tcp_channel> channel_;
    std::unique_ptr<http_reader> reader_;
    /// Null while the connection is idle.
    response_receiver* receiver_ = nullptr;
    bool is_connected_ = false;
    /// The message being read is not the response to the current request.
    bool is_skipping_ = false;
    bool has_matching_head_ = false;
    /// Bytes of the exchange before the head of its response.
    std::size_t skipped_bytes_ = 0;
    bool has_response_ended_ = false;
    std::string following_bytes_;
    bool may_reuse_ = true;
    time_point connecting_since_{};
    time_point idle_since_{};
    /// How long the connection may stay idle before it is closed.
    milliseconds idle_limit_;
};

/// Reuses idle connections, by address. Not thread-safe.
class connection_pool
{
public:
    connection_pool(asio::io_context& io, clock_source const& clock);
    ~connection_pool();

    /// Returns a connection for one request: the most recently used idle one,
    /// or a new one.
    /// @param max_idle the longest time that it may have been idle; 0 for a new
    /// one
    std::shared_ptr<pooled_connection> acquire(std::string const& address,
                                               milliseconds max_idle);

    /// Counts the bytes that servers have not taken in a budget.
    void charge_to(std::shared_ptr<byte_budget> budget)
    {
        budget_ = std::move(budget);
    }

    /// Number of connections to the address, idle or not.
    std::size_t count(std::string const& address) const;

    /// Closes idle connections, for instance when the address may have been
    /// reassigned to another endpoint.
    void close_idle(std::string const& address);
    void close_all_idle();

    /// Closes connections that exceed the connect timeout or their idle limit.
    void on_tick(time_point now);

private:
    friend class pooled_connection;
    using connection_ptr = std::shared_ptr<pooled_connection>;

    void add_idle(connection_ptr const& connection);
    void remove(pooled_connection& connection);

    asio::io_context& io_;
    clock_source const& clock_;
    /// Null if these bytes are not counted.
    std::shared_ptr<byte_budget> budget_;
    /// By address, the most recently used one last.
    std::map<std::string, std::vector<connection_ptr>> idle_;
    std::map<std::string, std::size_t> counts_;
    /// Connections that are not known to be established.
    std::set<connection_ptr> connecting_;
};

} // namespace auburnlb

#endif
