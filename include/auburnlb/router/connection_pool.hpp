// Connections to endpoints, kept between requests.
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

/// Why an exchange ended without a complete answer.
enum class exchange_failure
{
    /// No connection came about: no byte of the request left this host.
    not_connected,
    /// The connection ended before the answer did.
    broken,
    /// What came is no answer of the protocol.
    malformed,
};

/// Receives the answer to one request.
class response_receiver
{
public:
    virtual ~response_receiver() = default;
    /// Whether the answer belongs to the request; one that does not is skipped
    /// and the next is awaited.
    virtual bool is_matching_response(http_head const& head) = 0;
    virtual void on_response_head(http_head const& head) = 0;
    virtual void on_response_body(std::string_view piece) = 0;
    virtual void on_response_end() = 0;
    virtual void on_exchange_failed(exchange_failure failure) = 0;
};

class connection_pool;

/// One connection to an endpoint, which carries one request at a time.
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

    /// Sends a request. The receiver must live until the answer ended, the
    /// exchange failed, or cancel() was called.
    /// @param is_head the answer has no body, whatever its head says
    void begin(std::string_view request, response_receiver& receiver,
               bool is_head = false);

    /// Closes the connection, which tells the endpoint to stop the work. The
    /// receiver hears nothing more.
    void cancel();

    std::string const& address() const { return address_; }

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
    /// An answer has ended; more says that bytes followed it at once.
    void finish_exchange(bool has_more_bytes);

    connection_pool& pool_;
    std::string address_;
    std::shared_ptr<tcp_channel> channel_;
    std::unique_ptr<http_reader> reader_;
    /// Null while the connection is idle.
    response_receiver* receiver_ = nullptr;
    bool is_connected_ = false;
    /// The message being read belongs to no request of ours.
    bool is_skipping_ = false;
    bool has_response_ended_ = false;
    bool may_reuse_ = true;
    time_point connecting_since_{};
    time_point idle_since_{};
    /// How long the endpoint keeps it open when idle.
    milliseconds idle_limit_;
};

/// The connections to all endpoints.
class connection_pool
{
public:
    connection_pool(asio::io_context& io, clock_source const& clock);
    ~connection_pool();

    /// A connection for one request: the idle one that was used last, or a new
    /// one.
    /// @param max_idle the longest time that it may have been idle
    std::shared_ptr<pooled_connection> acquire(std::string const& address,
                                               milliseconds max_idle);

    /// Connections to the address, idle or not.
    std::size_t count(std::string const& address) const;

    /// Closes idle connections, for instance when the address may have been
    /// given to another endpoint.
    void close_idle(std::string const& address);
    void close_all_idle();

    /// Ends connections that do not come about, and those idle for too long.
    void on_tick(time_point now);

private:
    friend class pooled_connection;
    using connection_ptr = std::shared_ptr<pooled_connection>;

    void add_idle(connection_ptr const& connection);
    void remove(pooled_connection& connection);

    asio::io_context& io_;
    clock_source const& clock_;
    /// By address, the one used last at the end.
    std::map<std::string, std::vector<connection_ptr>> idle_;
    std::map<std::string, std::size_t> counts_;
    /// Connections whose outcome is not known yet.
    std::set<connection_ptr> connecting_;
};

} // namespace auburnlb

#endif
