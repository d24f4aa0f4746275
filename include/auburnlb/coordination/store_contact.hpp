// What a router knows of when the platform's store answered, and whether
// entries of live endpoints can have lapsed while it did not.
#ifndef AUBURNLB_COORDINATION_STORE_CONTACT_HPP
#define AUBURNLB_COORDINATION_STORE_CONTACT_HPP

#include <optional>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Answers of the store, to this router or to another one that told of them.
struct store_contact
{
    /// Unset before the first answer.
    std::optional<time_point> last_answer_;
    /// When a call of this router failed last; unset if none has.
    std::optional<time_point> last_failure_;

    bool operator==(store_contact const&) const = default;
};

/// An entry lapses after three heartbeat intervals of silence. The last write
/// may have come an interval before the store went away.
inline constexpr int min_lapse_heartbeats = 2;

/// Records an answer of the store.
/// @param at when the store answered, at the earliest
/// @return whether the store may have been out of reach before for so long that
/// entries of live endpoints have lapsed
bool record_store_answer(store_contact& contact, time_point at,
                         milliseconds heartbeat);

/// Records a call of this router that failed.
void record_store_failure(store_contact& contact, time_point now);

} // namespace auburnlb

#endif
