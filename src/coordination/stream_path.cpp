// The invariant of paths.
#include "auburnlb/coordination/stream_path.hpp"

#include <set>

namespace auburnlb
{

std::string to_string(stream_path const& path)
{
    std::string text;
    for (path_part const& part : path.parts_)
    {
        text += (text.empty() ? "" : ",") + part.endpoint_id_ + "=" +
                std::to_string(part.layers_.first_) + "-" +
                std::to_string(part.layers_.end_);
    }
    return text;
}

bool is_complete_path(stream_path const& path, std::uint32_t layers)
{
    std::uint32_t next = 0;
    std::set<std::string> engines;
    for (path_part const& part : path.parts_)
    {
        if (part.layers_.first_ != next ||
            part.layers_.end_ <= part.layers_.first_ ||
            !engines.insert(part.address_).second)
        {
            return false;
        }
        next = part.layers_.end_;
    }
    return next == layers && !path.parts_.empty();
}

} // namespace auburnlb
