// Builds routing views on a separate thread and publishes them.
#ifndef AUBURNLB_ENTRY_ROUTING_VIEW_BUILDER_HPP
#define AUBURNLB_ENTRY_ROUTING_VIEW_BUILDER_HPP

#include <cstdint>
#include <functional>

#include <asio/io_context.hpp>
#include <asio/thread_pool.hpp>

#include "auburnlb/entry/routing_view.hpp"
#include "auburnlb/state/snapshot_cell.hpp"

namespace auburnlb
{

/// Inputs of a routing view.
struct routing_view_inputs
{
    fleet_snapshot fleet_;
    std::uint32_t entry_count_ = 1;
    std::uint32_t entry_index_ = 0;
};

/// Functions must be called on the io_context's thread, on which the callbacks
/// run too.
/// Invariant: at most one view is being built at a time. Requests made
/// meanwhile lead to exactly one further build.
class routing_view_builder
{
public:
    routing_view_builder(asio::io_context& io,
                         snapshot_cell<routing_view>& view,
                         std::function<routing_view_inputs()> read_inputs,
                         std::function<void()> on_published);
    routing_view_builder(routing_view_builder const&) = delete;
    routing_view_builder& operator=(routing_view_builder const&) = delete;
    ~routing_view_builder();

    /// Requests a new view, because the inputs changed.
    void request_build();

private:
    void on_built();

    asio::io_context& io_;
    snapshot_cell<routing_view>& view_;
    std::function<routing_view_inputs()> const read_inputs_;
    std::function<void()> const on_published_;
    asio::thread_pool thread_;
    bool is_building_ = false;
    bool is_rebuild_needed_ = false;
};

} // namespace auburnlb

#endif
