// Evaluation of the store's answers and failures.
#include "auburnlb/coordination/store_contact.hpp"

#include <utility>

namespace auburnlb
{

bool record_store_answer(store_contact& contact, time_point at,
                         milliseconds heartbeat)
{
    if (contact.last_answer_ && at <= *contact.last_answer_)
    {
        return false;
    }
    auto const before = std::exchange(contact.last_answer_, at);
    bool const has_failed =
        contact.last_failure_ && (!before || *contact.last_failure_ > *before);
    return has_failed &&
           (!before || at - *before >= min_lapse_heartbeats * heartbeat);
}

void record_store_failure(store_contact& contact, time_point now)
{
    contact.last_failure_ = now;
}

} // namespace auburnlb
