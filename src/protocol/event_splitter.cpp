// Finds the boundaries and identifiers of server-sent events.
#include "auburnlb/protocol/event_splitter.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include "auburnlb/protocol/status_line.hpp"

namespace auburnlb
{

namespace
{

/// Upper limit for an incomplete event, and for text without an event that has
/// an identifier. A faulty engine may send either without end.
constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;

/// How the lines of an event begin, besides empty ones.
constexpr std::array<std::string_view, 6> line_beginnings{
    ":", "id:", "data:", "event:", "retry:", "\r"};

bool is_event_line(std::string_view line)
{
    return line.empty() ||
           std::any_of(line_beginnings.begin(), line_beginnings.end(),
                       [line](std::string_view each)
                       { return line.starts_with(each); });
}

/// Returns whether the event contains the head of a response. The data of an
/// event may be a status line, but no header fields follow that.
bool contains_response_head(std::string_view event)
{
    if (!contains_status_line(event))
    {
        return false;
    }
    bool has_status_line = false;
    while (!event.empty())
    {
        std::string_view const line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        has_status_line = has_status_line || contains_status_line(line);
        if (has_status_line && !is_event_line(line))
        {
            return true;
        }
    }
    return false;
}

/// Returns the end of the event, or npos if it is incomplete.
/// @param from where the search begins; then where it goes on once there are
/// more bytes
std::size_t find_event_end(std::string_view bytes, std::size_t& from)
{
    while (true)
    {
        std::size_t const line_end = bytes.find('\n', from);
        if (line_end == std::string_view::npos)
        {
            from = bytes.size();
            return std::string_view::npos;
        }
        from = line_end;
        std::size_t next = line_end + 1;
        if (next < bytes.size() && bytes[next] == '\r')
        {
            ++next;
        }
        if (next == bytes.size())
        {
            return std::string_view::npos;
        }
        if (bytes[next] == '\n')
        {
            return next + 1;
        }
        from = line_end + 1;
    }
}

/// Returns the value of an event's "id:" line, or an empty text.
std::string_view find_id(std::string_view event)
{
    std::size_t line = 0;
    while (line < event.size())
    {
        std::size_t end = event.find('\n', line);
        end = end == std::string_view::npos ? event.size() : end;
        if (event.substr(line, 3) == "id:")
        {
            std::string_view value = event.substr(line + 3, end - line - 3);
            while (!value.empty() && value.front() == ' ')
            {
                value.remove_prefix(1);
            }
            while (!value.empty() && value.back() == '\r')
            {
                value.remove_suffix(1);
            }
            return value;
        }
        line = end + 1;
    }
    return {};
}

} // namespace

void event_splitter::record_event(std::string_view event, event_batch& batch)
{
    if (contains_response_head(event))
    {
        batch.has_response_head_ = true;
        return;
    }
    std::string_view const text = find_id(event);
    if (text.empty())
    {
        text_bytes_ += event.size();
        return;
    }
    std::uint64_t id = 0;
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), id);
    if (failure != std::errc{} || end != text.data() + text.size() ||
        (last_id_ && id <= *last_id_))
    {
        batch.is_out_of_order_ = true;
        return;
    }
    ++batch.events_;
    text_bytes_ = 0;
    last_id_ = id;
    batch.last_id_ = id;
}

std::string_view event_splitter::join_partial_event(std::string_view bytes)
{
    if (partial_event_.empty())
    {
        return bytes;
    }
    joined_input_ = std::move(partial_event_);
    partial_event_.clear();
    return joined_input_;
}

event_batch event_splitter::feed(std::string_view bytes)
{
    joined_input_ = {};
    if (!partial_event_.empty())
    {
        partial_event_.append(bytes);
        std::size_t const end = find_event_end(partial_event_, searched_bytes_);
        bool const is_too_large = partial_event_.size() > max_event_bytes;
        if (end == std::string::npos && !is_too_large)
        {
            return {};
        }
    }
    bytes = join_partial_event(bytes);
    event_batch batch;
    std::size_t consumed = 0;
    std::size_t searched = 0;
    while (consumed < bytes.size() && batch.is_valid() &&
           text_bytes_ <= max_event_bytes)
    {
        std::size_t const end = find_event_end(bytes, searched);
        if (end == std::string_view::npos)
        {
            break;
        }
        record_event(bytes.substr(consumed, end - consumed), batch);
        if (batch.is_valid())
        {
            consumed = end;
            searched = end;
        }
    }
    batch.bytes_ = bytes.substr(0, consumed);
    batch.is_too_large_ = bytes.size() - consumed > max_event_bytes ||
                          text_bytes_ > max_event_bytes;
    if (batch.is_valid())
    {
        partial_event_.assign(bytes.substr(consumed));
        searched_bytes_ = searched - consumed;
    }
    return batch;
}

} // namespace auburnlb
