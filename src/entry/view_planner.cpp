// One view at a time, off the core thread.
#include "auburnlb/entry/view_planner.hpp"

#include <utility>

#include <asio/post.hpp>

namespace auburnlb
{

view_planner::view_planner(asio::io_context& io,
                           snapshot_cell<routing_view>& view,
                           std::function<view_inputs()> read_inputs,
                           std::function<void()> on_published)
    : io_(io)
    , view_(view)
    , read_inputs_(std::move(read_inputs))
    , on_published_(std::move(on_published))
    , thread_(1)
{
}

view_planner::~view_planner()
{
    thread_.join();
}

void view_planner::request()
{
    is_due_ = is_building_;
    if (is_building_)
    {
        return;
    }
    is_building_ = true;
    asio::post(thread_,
               [this, inputs = read_inputs_()]() mutable
               {
                   view_.publish(make_routing_view(std::move(inputs.fleet_),
                                                   inputs.entries_,
                                                   inputs.entry_index_));
                   asio::post(io_, [this] { on_built(); });
               });
}

void view_planner::on_built()
{
    is_building_ = false;
    on_published_();
    if (is_due_)
    {
        request();
    }
}

} // namespace auburnlb
