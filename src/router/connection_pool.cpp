// Request-response exchanges over pooled connections.
#include "auburnlb/router/connection_pool.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <asio/ip/tcp.hpp>

namespace auburnlb
{

namespace
{

/// Connecting within a region takes milliseconds; a host without power never
/// responds.
constexpr milliseconds connect_timeout{300};

/// Idle limit if the endpoint does not announce a Keep-Alive timeout.
constexpr milliseconds default_idle_limit{4'000};

/// The announced timeout is divided by this, so that a request is never sent
/// while the endpoint closes the connection.
constexpr int idle_share_divisor = 2;

/// Maximum size of a response head.
constexpr std::size_t max_response_head_bytes = std::size_t{64} * 1024;

/// Upper limit for interim responses and responses to other requests before the
/// response to a request. A faulty endpoint may send them without end.
constexpr std::size_t max_skipped_bytes = std::size_t{4} * 1024 * 1024;

/// Bytes kept of what follows a response.
constexpr std::size_t max_following_bytes = 64;

/// Returns the idle limit that follows from the timeout of the Keep-Alive
/// field, which is in whole seconds.
milliseconds announced_idle_limit(http_head const& head)
{
    std::string const* const text = head.find("keep-alive");
    constexpr std::string_view name = "timeout=";
    std::size_t const at =
        text == nullptr ? std::string::npos : text->find(name);
    if (at == std::string::npos)
    {
        return default_idle_limit;
    }
    unsigned value = 0;
    std::from_chars(text->data() + at + name.size(),
                    text->data() + text->size(), value);
    return std::min(milliseconds(seconds(value)) / idle_share_divisor,
                    default_idle_limit);
}

} // namespace

pooled_connection::pooled_connection(connection_pool& pool, std::string address)
    : pool_(pool)
    , address_(std::move(address))
    , idle_limit_(default_idle_limit)
{
}

pooled_connection::~pooled_connection()
{
    if (channel_ != nullptr)
    {
        channel_->close();
    }
}

void pooled_connection::connect(time_point now)
{
    connecting_since_ = now;
    // Connecting to the default endpoint fails, as it should for an invalid
    // address.
    auto const peer = parse_endpoint(address_);
    channel_ = tcp_channel::connect(
        pool_.io_, peer ? peer.value() : asio::ip::tcp::endpoint(), *this);
    if (pool_.budget_ != nullptr)
    {
        channel_->charge_to(pool_.budget_);
    }
}

void pooled_connection::begin(std::string_view request,
                              response_receiver& receiver, bool is_head)
{
    receiver_ = &receiver;
    is_skipping_ = false;
    has_matching_head_ = false;
    skipped_bytes_ = 0;
    has_response_ended_ = false;
    reader_ = std::make_unique<http_reader>(http_reader::message_kind::response,
                                            *this, max_response_head_bytes);
    reader_->set_expects_no_body(is_head);
    channel_->write(request);
}

void pooled_connection::cancel()
{
    receiver_ = nullptr;
    if (channel_ != nullptr && channel_->is_open())
    {
        channel_->close();
        pool_.remove(*this);
    }
}

void pooled_connection::fail(exchange_failure failure)
{
    auto const keep_alive = shared_from_this();
    response_receiver* const receiver = std::exchange(receiver_, nullptr);
    channel_->close();
    pool_.remove(*this);
    if (receiver != nullptr)
    {
        receiver->on_exchange_failed(failure);
    }
}

void pooled_connection::on_bytes(std::string_view bytes)
{
    auto const keep_alive = shared_from_this();
    // Bytes on an idle connection belong to no request.
    if (receiver_ == nullptr)
    {
        fail(exchange_failure::malformed);
        return;
    }
    while (!bytes.empty())
    {
        http_read_result const read = reader_->read(bytes);
        // The receiver may have called cancel().
        if (receiver_ == nullptr)
        {
            return;
        }
        bytes.remove_prefix(std::min(read.consumed_, bytes.size()));
        skipped_bytes_ += has_matching_head_ ? 0 : read.consumed_;
        if (read.status_ == http_read_status::malformed ||
            read.status_ == http_read_status::head_too_large ||
            skipped_bytes_ > max_skipped_bytes)
        {
            fail(exchange_failure::malformed);
            return;
        }
        if (has_response_ended_)
        {
            following_bytes_ = bytes.substr(0, max_following_bytes);
            finish_exchange(bytes.empty());
            return;
        }
    }
}

void pooled_connection::on_end(channel_end end)
{
    auto const keep_alive = shared_from_this();
    if (end == channel_end::not_connected)
    {
        fail(exchange_failure::not_connected);
        return;
    }
    if (end == channel_end::refused)
    {
        fail(exchange_failure::refused);
        return;
    }
    if (end == channel_end::closed && receiver_ != nullptr)
    {
        reader_->read_eof();
        if (has_response_ended_)
        {
            finish_exchange(false);
            return;
        }
    }
    fail(exchange_failure::broken);
}

void pooled_connection::on_head(http_head head)
{
    constexpr unsigned interim_class = 1;
    constexpr unsigned per_class = 100;
    is_skipping_ =
        head.status_ / per_class == interim_class ||
        (receiver_ != nullptr && !receiver_->is_matching_response(head));
    if (is_skipping_)
    {
        // Interim (1xx) responses are valid. The response to another request is
        // not, and more of them may follow.
        may_reuse_ = may_reuse_ && head.status_ / per_class == interim_class;
        return;
    }
    has_matching_head_ = true;
    may_reuse_ = may_reuse_ && head.is_keep_alive_ && head.is_framed_;
    idle_limit_ = announced_idle_limit(head);
    if (receiver_ != nullptr)
    {
        receiver_->on_response_head(head);
    }
}

void pooled_connection::on_body(std::string_view piece)
{
    if (!is_skipping_ && receiver_ != nullptr)
    {
        receiver_->on_response_body(piece);
    }
}

void pooled_connection::on_message_end()
{
    has_response_ended_ = !is_skipping_;
}

void pooled_connection::finish_exchange(bool is_clean)
{
    response_receiver* const receiver = std::exchange(receiver_, nullptr);
    bool const is_reusable = is_clean && may_reuse_ && channel_->is_drained() &&
                             !channel_->has_write_failed();
    if (!is_reusable)
    {
        // A request that is still being sent is sent completely, because the
        // endpoint could attribute a reset to the caller.
        channel_->close_gracefully(connect_timeout);
        pool_.remove(*this);
    }
    else
    {
        // The end of a response that was paused came with its last bytes.
        channel_->resume_reading();
        pool_.add_idle(shared_from_this());
    }
    if (receiver != nullptr)
    {
        receiver->on_response_end();
    }
}

connection_pool::connection_pool(asio::io_context& io,
                                 clock_source const& clock)
    : io_(io)
    , clock_(clock)
{
}

connection_pool::~connection_pool()
{
    close_all_idle();
}

std::shared_ptr<pooled_connection>
connection_pool::acquire(std::string const& address, milliseconds max_idle)
{
    time_point const now = clock_.now();
    // A request that needs a new connection leaves the idle ones to others.
    bool const may_reuse = max_idle > milliseconds(0);
    // cancel() may remove the address.
    for (auto idle = idle_.find(address);
         may_reuse && idle != idle_.end() && !idle->second.empty();
         idle = idle_.find(address))
    {
        connection_ptr connection = std::move(idle->second.back());
        idle->second.pop_back();
        milliseconds const limit = std::min(max_idle, connection->idle_limit_);
        if (now - connection->idle_since_ < limit)
        {
            return connection;
        }
        connection->cancel();
    }
    auto connection = std::make_shared<pooled_connection>(*this, address);
    ++counts_[address];
    connecting_.insert(connection);
    connection->connect(now);
    return connection;
}

std::size_t connection_pool::count(std::string const& address) const
{
    auto const found = counts_.find(address);
    return found == counts_.end() ? 0 : found->second;
}

void connection_pool::add_idle(connection_ptr const& connection)
{
    connection->idle_since_ = clock_.now();
    idle_[connection->address_].push_back(connection);
}

void connection_pool::remove(pooled_connection& connection)
{
    auto const self = connection.shared_from_this();
    connecting_.erase(self);
    if (auto const idle = idle_.find(connection.address_); idle != idle_.end())
    {
        std::erase(idle->second, self);
    }
    auto const count = counts_.find(connection.address_);
    if (count != counts_.end() && --count->second == 0)
    {
        counts_.erase(count);
        idle_.erase(connection.address_);
    }
}

void connection_pool::close_idle(std::string const& address)
{
    auto const found = idle_.find(address);
    if (found == idle_.end())
    {
        return;
    }
    auto const connections = std::move(found->second);
    found->second.clear();
    for (connection_ptr const& each : connections)
    {
        each->cancel();
    }
}

void connection_pool::close_all_idle()
{
    std::vector<std::string> addresses;
    for (auto const& [address, connections] : idle_)
    {
        addresses.push_back(address);
    }
    for (std::string const& address : addresses)
    {
        close_idle(address);
    }
}

void connection_pool::on_tick(time_point now)
{
    auto const connecting = connecting_;
    for (connection_ptr const& each : connecting)
    {
        if (each->is_connected_)
        {
            connecting_.erase(each);
        }
        else if (now - each->connecting_since_ > connect_timeout)
        {
            each->fail(exchange_failure::not_connected);
        }
    }
    std::vector<connection_ptr> expired;
    for (auto const& [address, connections] : idle_)
    {
        std::copy_if(connections.begin(), connections.end(),
                     std::back_inserter(expired),
                     [&](connection_ptr const& each)
                     { return now - each->idle_since_ >= each->idle_limit_; });
    }
    for (connection_ptr const& each : expired)
    {
        each->cancel();
    }
}

} // namespace auburnlb
