// Requests in progress on the server's connections.
#include "http_exchange.hpp"

#include <algorithm>

#include "auburnlb/transport/caller_api.hpp"

namespace auburnlb
{

namespace
{

restinio::http_status_line_t status_line(int status)
{
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            status < 400 ? "OK" : "Error"};
}

} // namespace

exchange::exchange(asio::io_context& context, connection_table& table,
                   connection_ending const& ending,
                   restinio::request_handle_t request)
    : context_(&context)
    , table_(table)
    , ending_(ending)
    , connection_(request->connection_id())
    , request_(std::move(request))
{
}

void exchange::send(http_response response)
{
    std::function<void()> discarded_handler;
    std::lock_guard lock(mutex_);
    if (phase_ != phase::waiting)
    {
        return;
    }
    discarded_handler = end();
    unsent_bytes_ += response.body_.size();
    queued_.response_ = std::move(response);
    schedule_writer();
}

void exchange::begin_stream(int status, http_headers headers)
{
    std::lock_guard lock(mutex_);
    if (phase_ != phase::waiting)
    {
        return;
    }
    phase_ = phase::streaming;
    queued_.stream_header_ = http_response{status, std::move(headers), {}};
    schedule_writer();
}

void exchange::write(std::string const& chunk)
{
    std::lock_guard lock(mutex_);
    if (phase_ != phase::streaming || context_ == nullptr)
    {
        return;
    }
    unsent_bytes_ += chunk.size();
    queued_.chunks_ += chunk;
    schedule_writer();
}

void exchange::end_stream()
{
    std::function<void()> discarded_handler;
    std::lock_guard lock(mutex_);
    if (phase_ != phase::streaming)
    {
        return;
    }
    discarded_handler = end();
    queued_.is_end_ = true;
    schedule_writer();
}

void exchange::on_closed(std::function<void()> handler)
{
    {
        std::lock_guard lock(mutex_);
        if (phase_ == phase::ended)
        {
            return;
        }
        if (context_ != nullptr)
        {
            closed_handler_ = std::move(handler);
            return;
        }
    }
    handler();
}

void exchange::abandon()
{
    std::function<void()> discarded_handler;
    std::lock_guard lock(mutex_);
    if (phase_ == phase::ended)
    {
        return;
    }
    if (phase_ == phase::streaming)
    {
        queued_.is_abort_ = true;
    }
    else
    {
        queued_.response_ =
            format_error(refusal_reason::stream_lost, run_state::unknown,
                         "the request was dropped without a response");
        unsent_bytes_ += queued_.response_->body_.size();
    }
    discarded_handler = end();
    schedule_writer();
}

/// Marks the exchange as ended; a later close of the connection is no longer
/// reported. The caller holds the mutex. Returns the handler for closed
/// connections, which must be destroyed after the mutex is released: it may
/// hold the last reference to a reply.
std::function<void()> exchange::end()
{
    phase_ = phase::ended;
    return std::exchange(closed_handler_, nullptr);
}

/// The caller holds the mutex.
void exchange::schedule_writer()
{
    if (has_writer_ || context_ == nullptr)
    {
        return;
    }
    has_writer_ = true;
    asio::post(*context_, [self = shared_from_this()] { self->run_writer(); });
}

void exchange::run_writer()
{
    while (auto work = take_batch())
    {
        write_batch(std::move(*work));
    }
}

/// Returns std::nullopt if there is no work left and the writer must end.
std::optional<exchange::batch> exchange::take_batch()
{
    bool is_closed = false;
    {
        std::lock_guard lock(mutex_);
        is_closed = context_ == nullptr;
        if (!is_closed && !queued_.is_empty())
        {
            return std::exchange(queued_, {});
        }
        has_writer_ = false;
    }
    if (is_closed)
    {
        release_connection();
    }
    return std::nullopt;
}

void exchange::write_batch(batch work)
{
    if (work.response_)
    {
        write_response(std::move(*work.response_));
        return;
    }
    if (work.stream_header_)
    {
        open_stream(*work.stream_header_);
    }
    if (work.is_abort_)
    {
        abort_connection();
        return;
    }
    write_chunks(std::move(work.chunks_), work.is_end_);
}

void exchange::write_response(http_response response)
{
    auto builder = request_->create_response(status_line(response.status_));
    set_header(builder, response.headers_);
    std::size_t const size = response.body_.size();
    builder.set_body(std::move(response.body_));
    builder.done(
        [self = shared_from_this(), size](auto const& failure)
        {
            self->unsent_bytes_ -= size;
            if (!failure)
            {
                self->complete();
            }
        });
}

void exchange::open_stream(http_response const& head)
{
    // create_response() moves the connection out of the request.
    stream_connection_ = restinio::impl::access_req_connection(*request_);
    stream_.emplace(request_->create_response<restinio::chunked_output_t>(
        status_line(head.status_)));
    set_header(*stream_, head.headers_);
}

void exchange::write_chunks(std::string chunks, bool is_end)
{
    std::size_t const size = chunks.size();
    stream_->append_chunk(std::move(chunks));
    auto on_written =
        [self = shared_from_this(), size, is_end](auto const& failure)
    {
        self->unsent_bytes_ -= size;
        if (is_end && !failure)
        {
            self->complete();
        }
    };
    if (is_end)
    {
        stream_->done(std::move(on_written));
        return;
    }
    stream_->flush(std::move(on_written));
}

/// Closes the connection without the terminating chunk, so that the caller
/// detects the incomplete response.
void exchange::abort_connection()
{
    stream_connection_->write_response_parts(
        request_->request_id(),
        restinio::response_output_flags_t{
            restinio::response_parts_attr_t::final_parts,
            restinio::response_connection_attr_t::connection_close},
        restinio::write_group_t{restinio::writable_items_container_t{}});
}

template <class Builder>
void exchange::set_header(Builder& builder, http_headers const& headers) const
{
    for (auto const& [name, value] : headers)
    {
        builder.append_header(name, value);
    }
    // A request behind the response that closes the connection gets none.
    if (ending_.is_closing_ && !table_.has_later(connection_, this))
    {
        builder.connection_close();
        return;
    }
    if (!ending_.keep_alive_.empty() && request_->header().should_keep_alive())
    {
        builder.append_header("Keep-Alive", ending_.keep_alive_);
    }
}

/// Called on a server thread when the last byte is written to the connection.
void exchange::complete()
{
    bool has_writer = false;
    {
        std::lock_guard lock(mutex_);
        context_ = nullptr;
        has_writer = has_writer_;
    }
    if (!has_writer)
    {
        release_connection();
    }
}

void exchange::close()
{
    std::function<void()> handler;
    bool has_writer = false;
    {
        std::lock_guard lock(mutex_);
        context_ = nullptr;
        queued_ = {};
        has_writer = has_writer_;
        handler = std::exchange(closed_handler_, nullptr);
    }
    if (!has_writer)
    {
        release_connection();
    }
    if (handler)
    {
        handler();
    }
}

/// Called only when there is no writer and none can be scheduled.
void exchange::release_connection()
{
    stream_.reset();
    stream_connection_.reset();
    request_.reset();
    table_.remove(connection_, this);
}

void exchange::detach()
{
    std::function<void()> discarded_handler;
    std::lock_guard lock(mutex_);
    context_ = nullptr;
    queued_ = {};
    discarded_handler = std::exchange(closed_handler_, nullptr);
    stream_.reset();
    stream_connection_.reset();
    request_.reset();
}

void connection_table::open(restinio::connection_id_t id)
{
    shard& part = shard_for(id);
    std::lock_guard lock(part.mutex_);
    part.connections_[id].is_open_ = true;
    ++open_count_;
}

void connection_table::add(restinio::connection_id_t id,
                           std::shared_ptr<exchange> added)
{
    shard& part = shard_for(id);
    std::lock_guard lock(part.mutex_);
    part.connections_[id].exchanges_.push_back(std::move(added));
    ++exchange_count_;
}

void connection_table::remove(restinio::connection_id_t id,
                              exchange const* removed)
{
    shard& part = shard_for(id);
    std::lock_guard lock(part.mutex_);
    auto const found = part.connections_.find(id);
    if (found == part.connections_.end())
    {
        return;
    }
    exchange_count_ -=
        std::erase_if(found->second.exchanges_,
                      [&](auto const& each) { return each.get() == removed; });
    part.erase_if_unused(found);
}

bool connection_table::has_later(restinio::connection_id_t id,
                                 exchange const* each)
{
    shard& part = shard_for(id);
    std::lock_guard lock(part.mutex_);
    auto const found = part.connections_.find(id);
    return found != part.connections_.end() &&
           !found->second.exchanges_.empty() &&
           found->second.exchanges_.back().get() != each;
}

void connection_table::close(restinio::connection_id_t id)
{
    for (auto const& each : mark_closed(id))
    {
        each->close();
    }
}

void connection_table::detach_all()
{
    for (shard& part : shards_)
    {
        for (auto const& [id, connection] :
             std::exchange(part.connections_, {}))
        {
            for (auto const& each : connection.exchanges_)
            {
                each->detach();
            }
        }
    }
}

exchange_list connection_table::mark_closed(restinio::connection_id_t id)
{
    shard& part = shard_for(id);
    std::lock_guard lock(part.mutex_);
    auto const found = part.connections_.find(id);
    if (found == part.connections_.end() || !found->second.is_open_)
    {
        return {};
    }
    found->second.is_open_ = false;
    --open_count_;
    exchange_list affected = found->second.exchanges_;
    part.erase_if_unused(found);
    return affected;
}

void connection_listener::state_changed(
    restinio::connection_state::notice_t const& notice) noexcept
{
    auto const cause = notice.cause();
    if (std::holds_alternative<restinio::connection_state::accepted_t>(cause))
    {
        table_.open(notice.connection_id());
        return;
    }
    table_.close(notice.connection_id());
}

restinio::ip_blocker::inspection_result_t
connection_limit::inspect(restinio::ip_blocker::incoming_info_t const&) noexcept
{
    return table_.open_count() < limit_
               ? restinio::ip_blocker::inspection_result_t::allow
               : restinio::ip_blocker::inspection_result_t::deny;
}

} // namespace auburnlb
