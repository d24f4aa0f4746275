// Splits a byte stream into complete server-sent events.
#ifndef AUBURNLB_PROTOCOL_EVENT_SPLITTER_HPP
#define AUBURNLB_PROTOCOL_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnlb
{

/// Events completed by one call of event_splitter::feed().
struct event_batch
{
    /// Refers to the input or to the splitter's buffer; valid until the next
    /// call of the splitter.
    std::string_view bytes_;
    /// Number of events, without those that have no identifier: nothing can
    /// continue after them, and a faulty engine may send them without end.
    std::uint32_t events_ = 0;
    /// Identifier of the last event that has one.
    std::optional<std::uint64_t> last_id_;
    /// An identifier is not greater than the previous one, or is not a number.
    bool is_out_of_order_ = false;
    /// The event that begins after these, or what came since the last one that
    /// has an identifier, exceeds the size limit. It was discarded.
    bool is_too_large_ = false;
    /// The event after these contains the head of another response, which was
    /// written after a stream or into it.
    bool has_response_head_ = false;

    bool is_valid() const
    {
        return !is_out_of_order_ && !is_too_large_ && !has_response_head_;
    }
};

/// Splits server-sent events at their empty lines. Only complete events are
/// sent to a caller, so that a stream can continue from another source after
/// any of them.
class event_splitter
{
public:
    /// Appends bytes and returns the events that they complete. Stops before an
    /// event that is invalid.
    event_batch feed(std::string_view bytes);

    /// Returns whether the bytes so far end within an event.
    bool is_inside_event() const { return !partial_event_.empty(); }

    /// Returns the memory that the incomplete event takes while it is joined
    /// with what follows it.
    std::size_t partial_bytes() const { return 2 * partial_event_.size(); }

    /// Discards the incomplete event, so that the stream can continue from
    /// another source.
    void discard_partial_event()
    {
        partial_event_.clear();
        text_bytes_ = 0;
    }

    std::optional<std::uint64_t> last_id() const { return last_id_; }
    void set_last_id(std::uint64_t id) { last_id_ = id; }

private:
    void record_event(std::string_view event, event_batch& batch);
    /// Returns the incomplete event, which ends with the input, or the input if
    /// there is none.
    std::string_view join_partial_event(std::string_view input);

    /// Bytes of the incomplete event at the end of the input.
    std::string partial_event_;
    /// How many of these contain no end of the event. They are not searched
    /// again, since an event may come in many small pieces.
    std::size_t searched_bytes_ = 0;
    /// Buffer of the last batch if it began in an earlier input.
    std::string joined_input_;
    /// Bytes since the last event that has an identifier.
    std::size_t text_bytes_ = 0;
    std::optional<std::uint64_t> last_id_;
};

} // namespace auburnlb

#endif
