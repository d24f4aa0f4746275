// Whole events out of a stream of bytes: only these reach a caller, so that a
// stream can go on elsewhere after any of them.
#ifndef AUBURNLB_PROTOCOL_EVENT_SPLITTER_HPP
#define AUBURNLB_PROTOCOL_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburnlb
{

/// Events that arrived together.
struct event_batch
{
    /// Valid until the next call of the splitter.
    std::string_view bytes_;
    std::uint32_t events_ = 0;
    /// Identifier of the last event that has one.
    std::optional<std::uint64_t> last_id_;
    /// An identifier is not above the one before, or cannot be read.
    bool is_out_of_order_ = false;
};

/// Splits server-sent events at their empty lines.
class event_splitter
{
public:
    /// Takes bytes and gives the whole events that are complete with them.
    event_batch feed(std::string_view bytes);

    /// Whether the bytes so far end within an event.
    bool is_inside_event() const { return !rest_.empty(); }

    /// Forgets the begun event: the stream goes on elsewhere.
    void discard_partial_event() { rest_.clear(); }

    std::optional<std::uint64_t> last_id() const { return last_id_; }
    void set_last_id(std::uint64_t id) { last_id_ = id; }

private:
    void note_event(std::string_view event, event_batch& batch);

    /// Bytes of an event that is not complete.
    std::string rest_;
    /// What the last batch refers to if it is not part of the input.
    std::string joined_;
    std::optional<std::uint64_t> last_id_;
};

} // namespace auburnlb

#endif
