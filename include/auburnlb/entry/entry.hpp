// The entry: the process on an entry host that accepts callers' requests.
#ifndef AUBURNLB_ENTRY_ENTRY_HPP
#define AUBURNLB_ENTRY_ENTRY_HPP

#include <cstdint>
#include <memory>
#include <string>

#include "auburnlb/coordination/peer_table.hpp"
#include "auburnlb/protocol/stream.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/state/ids.hpp"
#include "auburnlb/transport/http_server.hpp"

namespace auburnlb
{

/// Options of an entry.
struct entry_options
{
    std::string name_;
    std::string data_centre_;
    std::string region_;
    std::string bus_address_ = "tcp://127.0.0.1:0";
    std::string platform_url_;
    http_server_options caller_server_;
    bool is_admin_enabled_ = false;
    http_server_options admin_server_;
    std::string admin_token_;
    peer_limits peer_limits_;
    stream_limits stream_limits_;
    /// How long a stream with an idempotency key is kept for a caller to
    /// reconnect.
    milliseconds resume_grace_{10'000};
    milliseconds hosts_poll_interval_{500};
    milliseconds watch_wait_{10'000};
    /// Maximum duration of a planned stop; requests still in progress are then
    /// cut off.
    milliseconds drain_limit_{600'000};
    incarnation_id incarnation_ = 0;
};

class entry
{
public:
    static result<std::unique_ptr<entry>> start(entry_options options);
    virtual ~entry() = default;

    virtual std::string bus_address() const = 0;
    virtual std::uint16_t callers_port() const = 0;
    virtual std::uint16_t admin_port() const = 0;
    /// Starts to report not ready and to close idle connections. wait() returns
    /// when every request in progress has been answered.
    virtual void begin_leaving() = 0;
    virtual void wait() = 0;
    virtual std::string render_metrics() const = 0;
};

} // namespace auburnlb

#endif
