// The companion: a process that runs next to one endpoint and forwards all
// requests to it.
#ifndef AUBURNLB_COMPANION_COMPANION_HPP
#define AUBURNLB_COMPANION_COMPANION_HPP

#include <cstdint>
#include <memory>
#include <string>

#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/state/fleet.hpp"

namespace auburnlb
{

/// Options of a companion.
struct companion_options
{
    std::string name_;
    std::string data_centre_;
    std::string region_;
    /// nng address to listen on; port 0 selects a free port.
    std::string bus_address_ = "tcp://127.0.0.1:0";
    /// Address that is announced to peers; empty for the listening address.
    std::string advertised_address_;
    std::string endpoint_url_;
    service_kind kind_ = service_kind::model;
    std::string service_;
    std::string platform_url_;
    /// Overrides the rate that the engine reports; 0 for no override.
    double tokens_per_second_ = 0;
    /// Overrides the KV cache capacity, in tokens, that the engine reports; 0
    /// for no override.
    std::uint64_t kv_tokens_ = 0;
    /// Maximum number of steps in one call to the engine.
    std::size_t max_batch_size_ = 64;
    /// Maximum number of concurrent calls to the engine. The engine responds to
    /// a call only after its last step, so a few calls with many steps delay
    /// results and leave the engine's batches half empty.
    std::size_t max_engine_calls_ = 16;
    milliseconds engine_timeout_{30'000};
    milliseconds engine_poll_interval_{200};
    /// A stream that receives no frame for this long is ended.
    milliseconds stream_idle_limit_{30'000};
    milliseconds tombstone_lifetime_{60'000};
    /// Maximum duration of a planned stop; streams still in progress are then
    /// cut off.
    milliseconds drain_limit_{600'000};
    incarnation_id incarnation_ = 0;
};

class companion
{
public:
    static result<std::unique_ptr<companion>> start(companion_options options);
    virtual ~companion() = default;

    virtual std::string address() const = 0;
    /// Starts to refuse new work and returns immediately. wait() returns when
    /// the work in progress has finished.
    virtual void begin_leaving() = 0;
    virtual void wait() = 0;
    virtual std::string render_metrics() const = 0;
};

} // namespace auburnlb

#endif
