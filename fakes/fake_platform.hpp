// Stand-in for the platform: object API, host list and faults on demand.
#ifndef AUBURNLB_FAKES_FAKE_PLATFORM_HPP
#define AUBURNLB_FAKES_FAKE_PLATFORM_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/fleet.hpp"
#include "auburnlb/transport/platform_client.hpp"

namespace auburnlb::fakes
{

/// Faults of the platform's API. The control side under /fake stays usable.
struct platform_faults
{
    /// Connections are accepted and closed, waiting watches too.
    bool is_down_ = false;
    /// Every call is answered with status 503.
    bool is_failing_ = false;
    /// Answers arrive late; a write has already taken effect by then.
    milliseconds delay_{0};
    /// So many next writes take effect and then get no answer.
    std::uint32_t lose_answers_ = 0;
    /// Writes are applied late, also after their caller gave up.
    milliseconds hold_writes_{0};

    bool operator==(platform_faults const&) const = default;
};

/// Calls by method and kind, such as "PUT config" or "WATCH config"; a
/// waiting watch is one call.
using platform_calls = std::map<std::string, std::uint64_t>;

/// Serves the interface that platform_client speaks, and for tests
/// POST /fake/hosts, POST /fake/faults and GET /fake/calls.
class fake_platform
{
public:
    /// Port zero takes a free one. Throws std::exception when it is taken.
    explicit fake_platform(std::uint16_t port = 0);
    ~fake_platform();

    std::uint16_t port() const;
    std::string base_url() const;
    void set_hosts(std::vector<host_entry> const& hosts);
    void set_faults(platform_faults const& faults);
    platform_calls calls() const;
    /// Watches that wait at this moment.
    std::size_t waiting_watches() const;
    /// Reads an object past all faults; absent and deleted ones give nothing.
    std::optional<platform_object> find(std::string const& kind,
                                        std::string const& name) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace auburnlb::fakes

#endif
