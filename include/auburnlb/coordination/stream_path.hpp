// Path of a stream through the engines.
#ifndef AUBURNLB_COORDINATION_STREAM_PATH_HPP
#define AUBURNLB_COORDINATION_STREAM_PATH_HPP

#include <string>
#include <vector>

#include "auburnlb/state/ids.hpp"

namespace auburnlb
{

/// One engine of a path and the layers that it runs for the stream.
struct path_part
{
    std::string endpoint_id_;
    /// "IP:port".
    std::string address_;
    layer_range layers_;

    bool operator==(path_part const&) const = default;
};

/// Engines that together run all layers. Invariant: the parts cover the layers
/// from 0 on without gap or overlap, and each engine occurs once.
struct stream_path
{
    std::vector<path_part> parts_;

    bool operator==(stream_path const&) const = default;
};

/// Returns "engine=first-end" for each part, separated by commas.
std::string to_string(stream_path const& path);

/// Returns whether the path is valid for a model with this many layers.
bool is_complete_path(stream_path const& path, std::uint32_t layers);

} // namespace auburnlb

#endif
