// The platform's object API. The only file that knows its interface.
#ifndef AUBURNLB_TRANSPORT_PLATFORM_CLIENT_HPP
#define AUBURNLB_TRANSPORT_PLATFORM_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "auburnlb/state/error.hpp"
#include "auburnlb/state/fleet.hpp"
#include "auburnlb/transport/http_client.hpp"

namespace auburnlb
{

/// One object of the platform.
struct platform_object
{
    std::string kind_;
    std::string name_;
    /// Grows with every change of any object; zero for an absent object.
    std::uint64_t version_ = 0;
    std::string value_;
    bool is_deleted_ = false;

    bool operator==(platform_object const&) const = default;
};

/// Handlers run on the HTTP client's thread.
class platform_client
{
public:
    template <class Value>
    using handler = std::function<void(result<Value>)>;

    /// The timeout bounds each call; a watch gets its wait on top.
    platform_client(http_client& http, std::string base_url,
                    milliseconds call_timeout = milliseconds(3'000));

    void get(std::string const& kind, std::string const& name,
             handler<platform_object> handler);
    /// All objects of a kind whose name begins with the prefix.
    void list(std::string const& kind, std::string const& prefix,
              handler<std::vector<platform_object>> handler);
    /// Writes if the object still has the expected version; zero means that it
    /// must be absent. Gives the new version, or error_code::conflict.
    /// error_code::response_lost and timeout mean that it may have happened.
    void put(platform_object const& object, std::uint64_t expected_version,
             handler<std::uint64_t> handler);
    void remove(std::string const& kind, std::string const& name,
                std::uint64_t expected_version, handler<std::uint64_t> handler);
    /// Waits until an object of the kind changes after the version, or the
    /// time is over (an empty list).
    void watch(std::string const& kind, std::uint64_t after_version,
               milliseconds wait,
               handler<std::vector<platform_object>> handler);
    /// The lagging list of live and leaving hosts.
    void hosts(handler<std::vector<host_entry>> handler);

private:
    http_client& http_;
    std::string base_url_;
    milliseconds call_timeout_;
};

} // namespace auburnlb

#endif
