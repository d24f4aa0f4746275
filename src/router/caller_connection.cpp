// Request parsing and response framing on caller connections.
#include "auburnlb/router/caller_connection.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "auburnlb/router/http_status.hpp"

namespace auburnlb
{

namespace
{

/// Time for which a closed connection continues to be read.
constexpr milliseconds close_linger{1'000};

/// Maximum number of buffered bytes of later requests.
constexpr std::size_t max_pending_bytes = std::size_t{256} * 1024;

/// A body of this size or more is not copied to be sent with its head.
constexpr std::size_t large_body_bytes = std::size_t{16} * 1024;

/// Appends the size line of a chunk.
void append_chunk_size(std::string& out, std::size_t size)
{
    std::array<char, 20> digits{};
    auto const end =
        std::to_chars(digits.data(), digits.data() + digits.size(), size, 16)
            .ptr;
    out.append(digits.data(), end);
    out += "\r\n";
}

bool is_length_field(std::string_view name)
{
    return equals_ignoring_case(name, "content-length");
}

void append_fields(std::string& out, http_head const& head)
{
    hop_by_hop_fields const hop_by_hop(head);
    for (http_field const& field : head.fields_)
    {
        if (!hop_by_hop.contains(field.name_) && !is_length_field(field.name_))
        {
            append_field(out, field.name_, field.value_);
        }
    }
}

/// A stop ends a connection once what was read ahead on it has been served.
bool closes_after_request(request_service const& service,
                          std::string const& read_ahead)
{
    return service.is_closing() && read_ahead.empty();
}

/// A refused body comes again after this time: sound bodies of the largest size
/// are forwarded within it.
constexpr char const* body_retry_after_s = "0.200";

http_head body_refusal()
{
    http_head head;
    head.status_ = status_unavailable;
    head.fields_ = {{"Content-Type", "application/json"},
                    {"Retry-After", body_retry_after_s}};
    return head;
}

constexpr std::string_view body_refusal_text =
    R"({"error":"overloaded","code":1103})";

caller_event how_caller_left(channel_end end, bool has_timed_out)
{
    if (end == channel_end::closed)
    {
        return caller_event::left_closed;
    }
    return has_timed_out ? caller_event::left_timed_out
                         : caller_event::left_reset;
}

} // namespace

caller_connection::caller_connection(request_service& service,
                                     std::shared_ptr<tcp_channel> channel)
    : service_(service)
    , memory_(service.memory())
    , channel_(std::move(channel))
    , reader_(http_reader::message_kind::request, *this,
              service.limits().max_header_bytes_)
    , body_bytes_(memory_->requests_)
    , pending_bytes_(memory_->requests_)
    , phase_began_at_(service.now())
    , announced_idle_timeout_(service.limits().idle_timeout_)
{
}

void caller_connection::start()
{
    channel_->start(*this);
}

void caller_connection::on_bytes(std::string_view bytes)
{
    auto const keep_alive = shared_from_this();
    if (is_serving_)
    {
        keep_pending(bytes);
        return;
    }
    read(bytes);
    read_pending();
}

void caller_connection::keep_pending(std::string_view bytes)
{
    pending_.append(bytes);
    bool const has_room = find_room(pending_.size(), bytes.size());
    pending_bytes_.set(pending_.size());
    if (!has_room || pending_.size() > max_pending_bytes)
    {
        on_end(channel_end::broken);
    }
}

bool caller_connection::find_room(std::size_t size, std::size_t more)
{
    byte_budget const& requests = memory_->requests_;
    std::size_t const missing = missing_for_body(requests, size, more);
    if (missing > 0)
    {
        service_.make_room(*this, missing);
    }
    return has_room_for_body(requests, size, more);
}

void caller_connection::count_head()
{
    std::size_t const size = reader_.held_head_bytes() + held_bytes(head_, 0);
    std::size_t const more = size - std::min(size, head_size_);
    if (more > 0 && !find_room(size, more))
    {
        report(caller_event::body_refused);
        reject(body_refusal(), body_refusal_text);
        return;
    }
    head_size_ = size;
    body_bytes_.set(head_size_ + body_.size());
}

void caller_connection::read(std::string_view bytes)
{
    time_point const now = service_.now();
    if (!reader_.is_inside_message())
    {
        phase_began_at_ = now;
        progress_ = begin_progress(now);
        head_ = {};
        head_size_ = 0;
        message_limits_ = service_.limits();
        reader_.set_max_head_bytes(message_limits_.max_header_bytes_);
    }
    record_bytes(progress_, bytes.size(), now);
    http_read_result const read = reader_.read(bytes);
    // Empty lines before a request do not begin it.
    has_begun_request_ = has_begun_request_ || reader_.is_inside_message() ||
                         read.status_ != http_read_status::need_more;
    if (read.status_ == http_read_status::malformed)
    {
        reject(status_bad_request);
    }
    else if (read.status_ == http_read_status::head_too_large)
    {
        reject(status_header_fields_too_large);
    }
    else if (is_body_too_large_)
    {
        reject(status_payload_too_large);
    }
    else if (read.status_ == http_read_status::message_end)
    {
        // The response must find what was read behind the request.
        pending_ = bytes.substr(std::min(read.consumed_, bytes.size()));
        pending_bytes_.set(pending_.size());
        if (is_body_refused_)
        {
            refuse_body();
            return;
        }
        serve();
    }
    else
    {
        count_head();
    }
}

void caller_connection::read_pending()
{
    // A response that is sent within serve() leaves the rest to this loop.
    if (std::exchange(is_reading_pending_, true))
    {
        return;
    }
    auto const keep_alive = shared_from_this();
    while (!pending_.empty() && !is_serving_ && !is_closed_)
    {
        std::string const bytes = std::exchange(pending_, {});
        pending_bytes_.release();
        read(bytes);
    }
    is_reading_pending_ = false;
}

void caller_connection::on_head(http_head head)
{
    head_ = std::move(head);
    body_.clear();
    body_size_ = 0;
    is_body_refused_ = false;
    std::string const* const expectation = head_.find("expect");
    if (expectation != nullptr &&
        equals_ignoring_case(*expectation, "100-continue"))
    {
        channel_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_connection::on_body(std::string_view piece)
{
    body_size_ += piece.size();
    if (body_size_ > message_limits_.max_body_bytes_)
    {
        is_body_too_large_ = true;
        return;
    }
    if (is_body_refused_ || !find_room(body_size_, piece.size()))
    {
        is_body_refused_ = true;
        body_ = {};
        body_bytes_.set(head_size_);
        return;
    }
    body_.append(piece);
    body_bytes_.set(head_size_ + body_size_);
}

void caller_connection::serve()
{
    is_serving_ = true;
    // The head is in the request now.
    body_bytes_.set(body_.size());
    has_begun_response_ = false;
    is_last_request_ = !head_.is_keep_alive_;
    service_.serve(shared_from_this(), std::move(head_), std::move(body_),
                   service_.now());
}

void caller_connection::on_end(channel_end end)
{
    auto const keep_alive = shared_from_this();
    disconnect_handler* const handler =
        std::exchange(disconnect_handler_, nullptr);
    if (is_serving_ && !is_closed_)
    {
        report(how_caller_left(end, channel_->has_timed_out()));
    }
    close(end == channel_end::broken);
    if (handler != nullptr)
    {
        handler->on_caller_left();
    }
}

void caller_connection::append_connection_fields(std::string& out) const
{
    if (is_last_request_)
    {
        append_field(out, "Connection", "close");
        return;
    }
    append_field(out, "Keep-Alive",
                 "timeout=" +
                     std::to_string(std::chrono::duration_cast<seconds>(
                                        announced_idle_timeout_)
                                        .count()));
}

void caller_connection::send_response(http_head const& head,
                                      std::string_view body)
{
    is_last_request_ =
        is_last_request_ || closes_after_request(service_, pending_);
    announced_idle_timeout_ = service_.limits().idle_timeout_;
    std::string out;
    append_status_line(out, head.status_);
    append_fields(out, head);
    append_connection_fields(out);
    append_field(out, "Content-Length", std::to_string(body.size()));
    out += "\r\n";
    channel_->charge_to({memory_, &memory_->responses_});
    if (body.size() < large_body_bytes)
    {
        out += body;
        body = {};
    }
    channel_->write(out);
    channel_->write(body);
    finish_request();
}

void caller_connection::begin_response(http_head const& head)
{
    has_begun_response_ = true;
    is_last_request_ =
        is_last_request_ || closes_after_request(service_, pending_);
    announced_idle_timeout_ = service_.limits().idle_timeout_;
    std::string out;
    append_status_line(out, head.status_);
    append_fields(out, head);
    append_connection_fields(out);
    append_field(out, "Transfer-Encoding", "chunked");
    out += "\r\n";
    channel_->charge_to({memory_, &memory_->events_});
    channel_->write(out);
}

void caller_connection::send_body(std::string_view piece)
{
    if (piece.empty())
    {
        return;
    }
    std::string chunk;
    constexpr std::size_t framing_bytes = 16;
    chunk.reserve(piece.size() + framing_bytes);
    append_chunk_size(chunk, piece.size());
    chunk += piece;
    chunk += "\r\n";
    channel_->write(chunk);
}

void caller_connection::end_response()
{
    channel_->write("0\r\n\r\n");
    finish_request();
}

void caller_connection::abort_response()
{
    disconnect_handler_ = nullptr;
    report_read_ahead();
    close(!has_begun_response_);
}

void caller_connection::drop()
{
    disconnect_handler_ = nullptr;
    close(true);
}

void caller_connection::finish_request()
{
    disconnect_handler_ = nullptr;
    is_serving_ = false;
    body_bytes_.release();
    phase_began_at_ = service_.now();
    if (is_last_request_)
    {
        report_read_ahead();
        close(false);
        return;
    }
    read_pending();
}

void caller_connection::report_read_ahead()
{
    if (!pending_.empty())
    {
        report(caller_event::read_ahead_dropped);
    }
}

void caller_connection::reject(http_head const& head, std::string_view body)
{
    is_last_request_ = true;
    is_serving_ = true;
    send_response(head, body);
}

void caller_connection::reject(unsigned status)
{
    http_head head;
    head.status_ = status;
    reject(head, "");
}

void caller_connection::refuse_body()
{
    is_serving_ = true;
    has_begun_response_ = false;
    is_last_request_ = !head_.is_keep_alive_;
    report(caller_event::body_refused);
    send_response(body_refusal(), body_refusal_text);
}

void caller_connection::close(bool is_abrupt)
{
    if (std::exchange(is_closed_, true))
    {
        return;
    }
    auto const keep_alive = shared_from_this();
    body_bytes_.release();
    body_ = {};
    head_ = {};
    reader_.drop_head();
    pending_ = {};
    pending_bytes_.release();
    if (is_abrupt)
    {
        channel_->close();
    }
    else
    {
        channel_->close_gracefully(
            close_linger,
            [&service = service_, peer = channel_->peer(),
             is_evicted = is_evicted_]
            {
                if (!is_evicted)
                {
                    service.on_caller_event(caller_event::bytes_after_close,
                                            peer);
                }
            });
    }
    service_.on_connection_closed(*this);
}

void caller_connection::report(caller_event event)
{
    service_.on_caller_event(event, channel_->peer());
}

} // namespace auburnlb
