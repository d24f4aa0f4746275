// Which endpoints count as sent to.
#include "auburnlb/coordination/attempted_endpoints.hpp"

#include <algorithm>

namespace auburnlb
{

void record_attempt(attempted_endpoints& attempted, std::string const& id)
{
    attempted.last_id_ = id;
    attempted.is_last_new_ =
        std::find(attempted.ids_.begin(), attempted.ids_.end(), id) ==
        attempted.ids_.end();
    if (attempted.is_last_new_)
    {
        attempted.ids_.push_back(id);
    }
}

void undo_last_attempt(attempted_endpoints& attempted)
{
    if (attempted.is_last_new_)
    {
        attempted.ids_.pop_back();
        attempted.is_last_new_ = false;
    }
}

} // namespace auburnlb
