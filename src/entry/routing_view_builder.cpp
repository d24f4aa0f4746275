// Implementation of routing_view_builder.
#include "auburnlb/entry/routing_view_builder.hpp"

#include <utility>

#include <asio/post.hpp>

namespace auburnlb
{

routing_view_builder::routing_view_builder(
    asio::io_context& io, snapshot_cell<routing_view>& view,
    std::function<routing_view_inputs()> read_inputs,
    std::function<void()> on_published)
    : io_(io)
    , view_(view)
    , read_inputs_(std::move(read_inputs))
    , on_published_(std::move(on_published))
    , thread_(1)
{
}

routing_view_builder::~routing_view_builder()
{
    thread_.join();
}

void routing_view_builder::request_build()
{
    is_rebuild_needed_ = is_building_;
    if (is_building_)
    {
        return;
    }
    is_building_ = true;
    asio::post(thread_,
               [this, inputs = read_inputs_()]() mutable
               {
                   view_.publish(make_routing_view(std::move(inputs.fleet_),
                                                   inputs.entry_count_,
                                                   inputs.entry_index_));
                   asio::post(io_, [this] { on_built(); });
               });
}

void routing_view_builder::on_built()
{
    is_building_ = false;
    on_published_();
    if (is_rebuild_needed_)
    {
        request_build();
    }
}

} // namespace auburnlb
