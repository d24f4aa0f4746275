// Decisions on outgoing connections.
#include "auburnlb/coordination/link_monitor.hpp"

namespace auburnlb
{

void record_frame_sent(link_monitor& monitor, std::string const& peer,
                       time_point now)
{
    auto const [slot, is_new] = monitor.links_.try_emplace(peer);
    slot->second.last_sent_ = now;
    if (is_new)
    {
        slot->second.next_ask_ = now;
    }
}

void on_link_probe_reply(link_monitor& monitor, std::string const& peer)
{
    auto const found = monitor.links_.find(peer);
    if (found != monitor.links_.end())
    {
        found->second.asked_.reset();
    }
}

std::vector<link_probe> on_link_tick(link_monitor& monitor, time_point now)
{
    std::vector<link_probe> actions;
    for (auto link = monitor.links_.begin(); link != monitor.links_.end();)
    {
        auto& [peer, use] = *link;
        bool const is_overdue =
            use.asked_ && now - *use.asked_ > monitor.limits_.answer_;
        bool const is_in_use = now - use.last_sent_ <= monitor.limits_.in_use_;
        if (is_in_use && (is_overdue || (!use.asked_ && now >= use.next_ask_)))
        {
            actions.push_back({peer, is_overdue});
            use.asked_ = now;
            use.next_ask_ = now + monitor.limits_.interval_;
        }
        link = is_in_use ? std::next(link) : monitor.links_.erase(link);
    }
    return actions;
}

} // namespace auburnlb
