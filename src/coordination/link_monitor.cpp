// Schedules probes of outgoing connections.
#include "auburnlb/coordination/link_monitor.hpp"

namespace auburnlb
{

void record_frame_sent(link_monitor& monitor, std::string const& peer,
                       time_point now)
{
    auto const [link, is_new] = monitor.links_.try_emplace(peer);
    link->second.last_sent_at_ = now;
    if (is_new)
    {
        link->second.next_probe_at_ = now;
    }
}

void on_link_probe_reply(link_monitor& monitor, std::string const& peer)
{
    auto const found = monitor.links_.find(peer);
    if (found != monitor.links_.end())
    {
        found->second.probe_sent_at_.reset();
    }
}

std::vector<link_probe> on_link_tick(link_monitor& monitor, time_point now)
{
    std::vector<link_probe> probes;
    for (auto link = monitor.links_.begin(); link != monitor.links_.end();)
    {
        auto& [peer, state] = *link;
        bool const is_overdue =
            state.probe_sent_at_ &&
            now - *state.probe_sent_at_ > monitor.times_.reply_timeout_;
        bool const is_in_use =
            now - state.last_sent_at_ <= monitor.times_.active_time_;
        if (is_in_use && (is_overdue || (!state.probe_sent_at_ &&
                                         now >= state.next_probe_at_)))
        {
            probes.push_back({peer, is_overdue});
            state.probe_sent_at_ = now;
            state.next_probe_at_ = now + monitor.times_.probe_interval_;
        }
        link = is_in_use ? std::next(link) : monitor.links_.erase(link);
    }
    return probes;
}

} // namespace auburnlb
