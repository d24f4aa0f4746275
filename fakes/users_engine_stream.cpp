// Streams of the stand-in of the users' engines.
#include "users_engine_stream.hpp"

#include <cstdlib>
#include <utility>

#include "names.hpp"

namespace auburnlb::fakes
{

namespace names = platform::names;

namespace
{

constexpr milliseconds event_interval{20};
constexpr milliseconds crash_delay{5};
constexpr milliseconds call_timeout{300};
constexpr std::size_t large_event_bytes = std::size_t{100} * 1024;
/// An endless stream stays so far ahead of its reader.
constexpr std::size_t endless_lead_bytes = std::size_t{1024} * 1024;
constexpr milliseconds endless_pause{2};
constexpr int max_endless_writes = 10;
/// How long work that depends on a lost engine stalls.
constexpr milliseconds stall_limit{3'000};

std::string event_text(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: piece-" + std::to_string(id) +
           "\n\n";
}

std::string large_event_text(std::uint64_t id)
{
    return "id: " + std::to_string(id) +
           "\ndata: " + std::string(large_event_bytes, 'x') + "\n\n";
}

/// Comment lines that no blank line ends, each in a chunk of its own.
std::string small_chunks()
{
    constexpr int chunks = 4'000;
    std::string text;
    for (int count = 0; count < chunks; ++count)
    {
        text += "2\r\n:\n\r\n";
    }
    return text;
}

} // namespace

http_head completion_metadata(unsigned status, std::string const& request_id,
                              engine_state const& state)
{
    http_head head;
    head.status_ = status;
    head.fields_ = {{std::string(names::request_id), request_id},
                    {std::string(names::signature), "signed-" + request_id}};
    if (state.is_leaving_)
    {
        head.fields_.push_back({std::string(names::leaving), "1"});
    }
    if (!state.rate_limit_.empty())
    {
        head.fields_.push_back(
            {std::string(names::rate_limit), state.rate_limit_});
    }
    return head;
}

milliseconds answer_delay(engine_state const& state)
{
    constexpr std::string_view prefix = "after ";
    return milliseconds(state.fault_.starts_with(prefix)
                            ? std::stoll(state.fault_.substr(prefix.size()))
                            : 0);
}

std::int64_t slowness(engine_state const& state)
{
    constexpr std::string_view prefix = "slow ";
    return state.fault_.starts_with(prefix)
               ? std::stoll(state.fault_.substr(prefix.size()))
               : 1;
}

void running_stream::begin()
{
    caller_->set_disconnect_handler(this);
    ++owner_.state_.streams_;
    if (is_crashing_ &&
        owner_.options_.crash_point_ == crash_point::before_head)
    {
        crash_after(crash_delay);
        return;
    }
    if (owner_.options_.head_delay_ == milliseconds(0))
    {
        write_head();
        return;
    }
    timer_.expires_after(owner_.options_.head_delay_);
    timer_.async_wait(
        [self = shared_from_this()](asio::error_code const&)
        {
            if (self->caller_ != nullptr)
            {
                self->write_head();
            }
        });
}

bool running_stream::is_at_crash_point() const
{
    users_engine_options const& options = owner_.options_;
    return is_crashing_ && (options.crash_point_ != crash_point::after_events ||
                            next_ - first_ >= options.crash_events_);
}

bool running_stream::crash_later_engine()
{
    bool const is_meant =
        owner_.options_.crash_point_ == crash_point::later_engine &&
        !parts_.empty();
    if (is_meant && !std::exchange(is_crash_sent_, true))
    {
        owner_.calls_.call(
            parts_.back(), {"POST", "/fake/crash", ""}, call_timeout,
            [self = shared_from_this()](result<http_reply> const& reply)
            {
                self->is_crash_sent_ =
                    reply || reply.error().code_ != error_code::timeout;
            });
    }
    return is_meant;
}

void running_stream::stall()
{
    stalled_ += event_interval;
    if (stalled_ >= stall_limit && caller_ != nullptr)
    {
        release_caller()->abort_response();
        return;
    }
    wait(event_interval);
}

void running_stream::crash_after(milliseconds delay)
{
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this()](asio::error_code const&)
                      { self->owner_.crash_(); });
}

void running_stream::write_head()
{
    http_head head = completion_metadata(200, id_, owner_.state_);
    head.fields_.push_back({"Content-Type", "text/event-stream"});
    std::string const& fault = owner_.state_.fault_;
    is_unframed_ = fault == "unframed" || fault == "torn";
    if (is_unframed_)
    {
        std::string text = "HTTP/1.1 200 OK\r\n";
        for (http_field const& field : head.fields_)
        {
            append_field(text, field.name_, field.value_);
        }
        caller_->send_raw(text + "\r\n");
    }
    else
    {
        caller_->begin_response(head);
    }
    step();
}

void running_stream::on_caller_left()
{
    ++owner_.state_.cancelled_[id_];
    release_caller();
}

std::shared_ptr<caller_connection> running_stream::release_caller()
{
    --owner_.state_.streams_;
    caller_->set_disconnect_handler(nullptr);
    return std::exchange(caller_, nullptr);
}

void running_stream::wait(milliseconds pause)
{
    timer_.expires_after(pause);
    timer_.async_wait([self = shared_from_this()](asio::error_code const&)
                      { self->step(); });
}

void running_stream::step()
{
    if (caller_ == nullptr)
    {
        return;
    }
    if (is_at_crash_point())
    {
        // What depends on a lost engine stalls.
        crash_later_engine() ? stall() : crash_after(event_interval);
        return;
    }
    if (owner_.state_.fault_ == "held")
    {
        wait(event_interval);
        return;
    }
    check_part(0);
}

/// Each token passes all parts, so it waits until all of them answer.
void running_stream::check_part(std::size_t index)
{
    if (caller_ == nullptr)
    {
        return;
    }
    if (index == parts_.size())
    {
        stalled_ = milliseconds(0);
        write_event();
        return;
    }
    owner_.calls_.call(
        parts_[index], {"GET", "/report", ""}, call_timeout,
        [self = shared_from_this(), index](result<http_reply> const& reply)
        {
            if (reply)
            {
                self->check_part(index + 1);
                return;
            }
            self->stall();
        });
}

void running_stream::write(std::string_view text)
{
    is_unframed_ ? caller_->send_raw(text) : caller_->send_body(text);
}

/// Writes without end, as fast as the other end reads.
void running_stream::write_endless()
{
    std::string const& fault = owner_.state_.fault_;
    for (int count = 0; count < max_endless_writes; ++count)
    {
        if (caller_->unsent_bytes() >= endless_lead_bytes)
        {
            break;
        }
        if (fault == "drip")
        {
            caller_->send_raw(small_chunks());
            continue;
        }
        write(fault == "spill" ? std::string(large_event_bytes, 'x') + "\n\n"
                               : large_event_text(next_++));
    }
    wait(endless_pause);
}

void running_stream::finish()
{
    auto const caller = release_caller();
    is_unframed_ ? caller->abort_response() : caller->end_response();
}

void running_stream::write_event()
{
    std::string const& fault = owner_.state_.fault_;
    if (fault == "spill" || fault == "flood" || fault == "drip")
    {
        write_endless();
        return;
    }
    std::string const text =
        fault == "bulk" ? large_event_text(next_) : event_text(next_);
    bool const breaks_off = fault == "half" || fault == "torn" ||
                            (fault == "stumble" && !is_resumed_);
    bool const is_half = breaks_off && next_ == last_ / 2;
    if (is_half)
    {
        write(text.substr(0, text.size() / 2));
        release_caller()->abort_response();
        return;
    }
    write(text);
    if (next_++ >= last_)
    {
        finish();
        return;
    }
    wait(event_interval * slowness(owner_.state_));
}

} // namespace auburnlb::fakes
