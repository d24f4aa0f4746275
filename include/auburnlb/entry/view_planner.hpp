// Builds the view of the request path on a thread of its own and publishes it.
#ifndef AUBURNLB_ENTRY_VIEW_PLANNER_HPP
#define AUBURNLB_ENTRY_VIEW_PLANNER_HPP

#include <cstdint>
#include <functional>

#include <asio/io_context.hpp>
#include <asio/thread_pool.hpp>

#include "auburnlb/entry/routing_view.hpp"
#include "auburnlb/state/snapshot_cell.hpp"

namespace auburnlb
{

/// What a view is built from.
struct view_inputs
{
    fleet_snapshot fleet_;
    std::uint32_t entries_ = 1;
    std::uint32_t entry_index_ = 0;
};

/// Its functions are called on the io_context's thread, and so are the
/// callbacks. Invariant: at most one view is being built; changes meanwhile
/// lead to exactly one more.
class view_planner
{
public:
    view_planner(asio::io_context& io, snapshot_cell<routing_view>& view,
                 std::function<view_inputs()> read_inputs,
                 std::function<void()> on_published);
    view_planner(view_planner const&) = delete;
    view_planner& operator=(view_planner const&) = delete;
    ~view_planner();

    /// The inputs changed.
    void request();

private:
    void on_built();

    asio::io_context& io_;
    snapshot_cell<routing_view>& view_;
    std::function<view_inputs()> const read_inputs_;
    std::function<void()> const on_published_;
    asio::thread_pool thread_;
    bool is_building_ = false;
    bool is_due_ = false;
};

} // namespace auburnlb

#endif
