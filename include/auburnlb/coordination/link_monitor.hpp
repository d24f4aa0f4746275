// Detects outgoing connections that have stopped working. Frames to a peer get
// no reply on the same connection, so the sender probes a connection while it
// is in use.
#ifndef AUBURNLB_COORDINATION_LINK_MONITOR_HPP
#define AUBURNLB_COORDINATION_LINK_MONITOR_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

/// Times that control the probes of a connection.
struct link_probe_times
{
    /// A connection is probed while its last frame is at most this old.
    milliseconds active_time_{2'000};
    /// Time between two probes.
    milliseconds probe_interval_{500};
    /// A connection whose probe gets no reply for this long is replaced.
    milliseconds reply_timeout_{250};
};

/// A connection that is in use. Invariant: probe_sent_at_ is set while a probe
/// has no reply.
struct monitored_link
{
    time_point last_sent_at_{};
    time_point next_probe_at_{};
    std::optional<time_point> probe_sent_at_;
};

/// Connections in use, by peer.
struct link_monitor
{
    link_probe_times times_;
    std::map<std::string, monitored_link> links_;
};

/// A hello message that is due to a peer, on a new connection if
/// needs_new_connection_ is set.
struct link_probe
{
    std::string peer_;
    bool needs_new_connection_ = false;

    bool operator==(link_probe const&) const = default;
};

/// Records that a frame was sent to the peer.
void record_frame_sent(link_monitor& monitor, std::string const& peer,
                       time_point now);

/// Records that the peer replied to a hello message.
void on_link_probe_reply(link_monitor& monitor, std::string const& peer);

/// Returns the probes to send now. Call it at least every 100 ms.
std::vector<link_probe> on_link_tick(link_monitor& monitor, time_point now);

} // namespace auburnlb

#endif
