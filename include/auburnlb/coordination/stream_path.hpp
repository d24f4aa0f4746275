// The engines that one stream passes through.
#ifndef AUBURNLB_COORDINATION_STREAM_PATH_HPP
#define AUBURNLB_COORDINATION_STREAM_PATH_HPP

#include <string>
#include <vector>

#include "auburnlb/state/ids.hpp"

namespace auburnlb
{

/// One engine of a path and the layers that it runs.
struct path_part
{
    std::string endpoint_id_;
    /// "IP:port".
    std::string address_;
    layer_range layers_;

    bool operator==(path_part const&) const = default;
};

/// A way through all layers. Invariant: the parts follow each other without gap
/// or overlap, begin at layer 0 and name each engine once.
struct stream_path
{
    std::vector<path_part> parts_;

    bool operator==(stream_path const&) const = default;
};

/// "engine=first-end" for each part, separated by commas.
std::string to_string(stream_path const& path);

/// Whether the invariant holds for a model with this many layers.
bool is_complete_path(stream_path const& path, std::uint32_t layers);

} // namespace auburnlb

#endif
