// Options of the stand-in of the users' engines.
#ifndef AUBURNLB_FAKES_USERS_ENGINE_OPTIONS_HPP
#define AUBURNLB_FAKES_USERS_ENGINE_OPTIONS_HPP

#include <cstdint>
#include <string>

#include "auburnlb/state/clock.hpp"

namespace auburnlb::fakes
{

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
    /// A crash begins a new run instead of ending the process.
    bool restarts_at_once_ = false;
    /// Port to listen on; 0 for a free one.
    std::uint16_t port_ = 0;
};

/// Reads the command line; prints what is wrong and exits with status 2.
users_engine_options read_users_engine_options(int argc, char** argv);

} // namespace auburnlb::fakes

#endif
