// Finds outgoing connections that went silent. Frames to a peer get no answer
// on their own connection, so a sender asks for one while it uses the
// connection.
#ifndef AUBURNLB_COORDINATION_LINK_MONITOR_HPP
#define AUBURNLB_COORDINATION_LINK_MONITOR_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb
{

struct link_limits
{
    /// A connection is asked while it was used within this time.
    milliseconds in_use_{2'000};
    /// Time between two questions.
    milliseconds interval_{500};
    /// Without an answer for so long the connection is replaced.
    milliseconds answer_{250};
};

/// Invariant: asked_ is set while a question is unanswered.
struct link_use
{
    time_point last_sent_{};
    time_point next_ask_{};
    std::optional<time_point> asked_;
};

struct link_monitor
{
    link_limits limits_;
    std::map<std::string, link_use> links_;
};

/// Say hello to the peer, on a new connection if needs_new_connection_.
struct link_probe
{
    std::string peer_;
    bool needs_new_connection_ = false;

    bool operator==(link_probe const&) const = default;
};

/// A frame was sent to the peer.
void record_frame_sent(link_monitor& monitor, std::string const& peer,
                       time_point now);

/// The peer answered a hello.
void on_link_probe_reply(link_monitor& monitor, std::string const& peer);

/// Called at least every 100 ms.
std::vector<link_probe> on_link_tick(link_monitor& monitor, time_point now);

} // namespace auburnlb

#endif
