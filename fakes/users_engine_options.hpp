// Options of the stand-in of the users' engines.
#ifndef AUBURNLB_FAKES_USERS_ENGINE_OPTIONS_HPP
#define AUBURNLB_FAKES_USERS_ENGINE_OPTIONS_HPP

#include <cstdint>
#include <string>

#include "auburnlb/state/clock.hpp"

namespace auburnlb::fakes
{

/// How far an engine has come with a request when it crashes on it.
enum class crash_point
{
    /// The request is read; no byte of the response is written.
    before_head,
    after_head,
    /// After users_engine_options::crash_events_ events of an attempt.
    after_events,
    /// The last engine of the request's path crashes, after the head.
    later_engine,
};

struct users_engine_options
{
    std::string id_;
    std::string service_ = "model";
    std::string zone_ = "dc1";
    std::string kind_;
    std::string store_;
    std::uint32_t events_ = 40;
    milliseconds load_{50};
    /// Address that its entry names; empty for its own.
    std::string advertised_;
    /// File to which each run is appended, so that it outlives the process;
    /// empty for none.
    std::string record_;
    /// A model engine's process ends when it begins to answer a prompt with
    /// this part; empty for none.
    std::string crash_part_;
    /// The process ends when it begins to answer a request with this body;
    /// empty for none.
    std::string crash_body_;
    /// Where in its response to such a request the process ends.
    crash_point crash_point_ = crash_point::after_head;
    std::uint32_t crash_events_ = 0;
    /// Connections are reset when the process ends by a crash, and what was not
    /// sent yet is discarded.
    bool resets_connections_ = false;
    /// Time from a request to the head of a stream.
    milliseconds head_delay_{0};
    /// A crash begins a new run instead of ending the process.
    bool restarts_at_once_ = false;
    /// Port to listen on; 0 for a free one.
    std::uint16_t port_ = 0;
};

/// Reads the command line; prints what is wrong and exits with status 2.
users_engine_options read_users_engine_options(int argc, char** argv);

} // namespace auburnlb::fakes

#endif
