// Client of the platform's object API. No other file depends on that API.
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

/// An object of the platform.
struct platform_object
{
    std::string kind_;
    std::string name_;
    /// Increases with every change of any object; zero for an absent object.
    std::uint64_t version_ = 0;
    std::string value_;
    bool is_deleted_ = false;

    bool operator==(platform_object const&) const = default;
};

/// Asynchronous client. Handlers run on the HTTP client's thread.
class platform_client
{
public:
    template <class Value>
    using handler = std::function<void(result<Value>)>;

    /// The timeout applies to each call; a watch adds its wait to it.
    platform_client(http_client& http, std::string base_url,
                    milliseconds call_timeout = milliseconds(3'000));

    void get(std::string const& kind, std::string const& name,
             handler<platform_object> handler);
    /// Lists the objects of a kind whose names begin with the prefix.
    void list(std::string const& kind, std::string const& prefix,
              handler<std::vector<platform_object>> handler);
    /// Writes an object if it still has the expected version; zero means that
    /// it must be absent. Returns the new version, or error_code::conflict.
    /// After error_code::response_lost or timeout, the write may have taken
    /// effect.
    void put(platform_object const& object, std::uint64_t expected_version,
             handler<std::uint64_t> handler);
    /// Removes an object under the same conditions as put().
    void remove(std::string const& kind, std::string const& name,
                std::uint64_t expected_version, handler<std::uint64_t> handler);
    /// Waits until an object of the kind has changed since the version, and
    /// returns the changed objects; the list is empty if the wait expires.
    void watch(std::string const& kind, std::uint64_t after_version,
               milliseconds wait,
               handler<std::vector<platform_object>> handler);
    /// Reads the list of live and leaving hosts, which may be out of date.
    void hosts(handler<std::vector<host_entry>> handler);

private:
    http_client& http_;
    std::string base_url_;
    milliseconds call_timeout_;
};

} // namespace auburnlb

#endif
