// The invariant of paths.
#include "auburnlb/coordination/stream_path.hpp"

#include <set>

namespace auburnlb
{

bool is_whole_path(stream_path const& path, std::uint32_t layers)
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
