// Requests in progress on the server's connections.
//
// An exchange is one request with its reply. Calls of http_reply only queue
// work in it. All access to the connection happens on a server thread and by
// one writer at a time, which preserves the order of chunks.
#ifndef AUBURNLB_SRC_TRANSPORT_HTTP_EXCHANGE_HPP
#define AUBURNLB_SRC_TRANSPORT_HTTP_EXCHANGE_HPP

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <restinio/all.hpp>

#include "auburnlb/transport/http_server.hpp"
#include "http_rejection.hpp"

namespace auburnlb
{

class connection_table;

using stream_builder = restinio::response_builder_t<restinio::chunked_output_t>;

/// What responses tell callers about the end of their connection.
struct connection_ending
{
    /// Value of Keep-Alive; empty if nothing is promised.
    std::string keep_alive_;
    std::atomic<bool> is_closing_{false};
};

/// One request and its reply.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(asio::io_context& context, connection_table& table,
             connection_ending const& ending,
             restinio::request_handle_t request);

    void send(http_response response);
    void begin_stream(int status, http_headers headers);
    void write(std::string const& chunk);
    void end_stream();
    std::size_t unsent_bytes() const { return unsent_bytes_; }
    void on_closed(std::function<void()> handler);
    /// Ends the exchange when the user releases the last reference to the
    /// reply: sends an error response, or aborts a stream that has not ended.
    void abandon();

    /// Ends the exchange after its connection closed. Called on a server
    /// thread.
    void close();
    /// Releases the connection. Called only after the server's threads have
    /// ended.
    void detach();

private:
    enum class phase
    {
        waiting,
        streaming,
        ended,
    };

    /// Queued work that the writer takes in one step.
    struct batch
    {
        std::optional<http_response> response_;
        std::optional<http_response> stream_header_;
        std::string chunks_;
        bool is_end_ = false;
        bool is_abort_ = false;

        bool is_empty() const
        {
            return !response_ && !stream_header_ && chunks_.empty() &&
                   !is_end_ && !is_abort_;
        }
    };

    std::function<void()> end();
    void schedule_writer();
    void run_writer();
    std::optional<batch> take_batch();
    void write_batch(batch work);
    void write_response(http_response response);
    void write_chunks(std::string chunks, bool is_end);
    void open_stream(http_response const& head);
    void abort_connection();
    void complete();
    void release_connection();
    template <class Builder>
    void set_header(Builder& builder, http_headers const& headers) const;

    std::mutex mutex_;
    /// Guarded by mutex_, as are the members up to closed_handler_. Null once
    /// the connection is closed or the response is completely written.
    asio::io_context* context_;
    phase phase_ = phase::waiting;
    batch queued_;
    /// Whether a writer is scheduled or running.
    bool has_writer_ = false;
    std::function<void()> closed_handler_;

    std::atomic<std::size_t> unsent_bytes_{0};

    connection_table& table_;
    connection_ending const& ending_;
    restinio::connection_id_t const connection_;
    /// Used only by the writer while there is one. All three keep the
    /// connection alive, so they are released before the server's io_context is
    /// destroyed.
    restinio::request_handle_t request_;
    std::optional<stream_builder> stream_;
    restinio::impl::connection_handle_t stream_connection_;
};

using exchange_list = std::vector<std::shared_ptr<exchange>>;

/// The connections, each with the exchanges that still keep it alive.
/// Thread-safe; split into shards to reduce lock contention.
class connection_table
{
public:
    /// Adds a connection.
    void open(restinio::connection_id_t id);

    void add(restinio::connection_id_t id, std::shared_ptr<exchange> added);

    void remove(restinio::connection_id_t id, exchange const* removed);

    /// Whether a later request of the connection has been read.
    bool has_later(restinio::connection_id_t id, exchange const* each);

    /// Marks a connection as closed and ends its exchanges.
    void close(restinio::connection_id_t id);

    /// Detaches all exchanges. Called only after the server's threads have
    /// ended.
    void detach_all();

    std::size_t open_count() const { return open_count_; }
    /// Exchanges that still keep their connection alive.
    std::size_t exchange_count() const { return exchange_count_; }

private:
    struct connection
    {
        bool is_open_ = false;
        exchange_list exchanges_;
    };

    using connection_map = std::map<restinio::connection_id_t, connection>;

    struct shard
    {
        std::mutex mutex_;
        connection_map connections_;

        void erase_if_unused(connection_map::iterator position)
        {
            if (!position->second.is_open_ &&
                position->second.exchanges_.empty())
            {
                connections_.erase(position);
            }
        }
    };

    shard& shard_for(restinio::connection_id_t id)
    {
        return shards_[id % shards_.size()];
    }

    exchange_list mark_closed(restinio::connection_id_t id);

    std::array<shard, 16> shards_;
    std::atomic<std::size_t> open_count_{0};
    std::atomic<std::size_t> exchange_count_{0};
};

/// Records in the table which connections open and close.
class connection_listener
{
public:
    explicit connection_listener(connection_table& table)
        : table_(table)
    {
    }
    void
    state_changed(restinio::connection_state::notice_t const& notice) noexcept;

private:
    connection_table& table_;
};

/// Rejects connections beyond the limit.
class connection_limit
{
public:
    connection_limit(connection_table const& table, std::size_t limit)
        : table_(table)
        , limit_(limit)
    {
    }
    restinio::ip_blocker::inspection_result_t
    inspect(restinio::ip_blocker::incoming_info_t const&) noexcept;

private:
    connection_table const& table_;
    std::size_t limit_;
};

struct server_traits
    : restinio::traits_t<restinio::asio_timer_manager_t, rejection_logger,
                         restinio::details::autodetect_request_handler_type,
                         restinio::default_strand_t, replying_socket>
{
    using connection_state_listener_t = connection_listener;
    using ip_blocker_t = connection_limit;
};

} // namespace auburnlb

#endif
