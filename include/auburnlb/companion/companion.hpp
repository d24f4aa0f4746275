// The process beside one endpoint: the only way to it.
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

/// How one companion is set up. Immutable once it runs.
struct companion_options
{
    std::string name_;
    std::string data_centre_;
    std::string region_;
    /// nng address to listen on; port 0 takes a free one.
    std::string bus_address_ = "tcp://127.0.0.1:0";
    /// Address that peers are told; empty for the one listened on.
    std::string advertised_address_;
    std::string endpoint_url_;
    service_kind kind_ = service_kind::model;
    std::string service_;
    std::string platform_url_;
    /// Overrides what the engine says of itself when above zero.
    double tokens_per_second_ = 0;
    /// The same for the tokens that the engine's KV cache holds.
    std::uint64_t kv_tokens_ = 0;
    /// Steps sent to the engine in one call at most.
    std::size_t max_batch_ = 64;
    /// Calls to the engine in progress at most. A call is answered when its
    /// last step is, so that few calls with many steps hold results back and
    /// leave the engine's batches half empty.
    std::size_t engine_calls_ = 16;
    milliseconds engine_timeout_{30'000};
    milliseconds engine_poll_{200};
    /// A stream without frames for this long is given up.
    milliseconds stream_idle_limit_{30'000};
    milliseconds tombstone_lifetime_{60'000};
    /// After this long a planned stop ends even with streams in progress.
    milliseconds drain_limit_{600'000};
    incarnation_id incarnation_ = 0;
};

class companion
{
public:
    static result<std::unique_ptr<companion>> start(companion_options options);
    virtual ~companion() = default;

    virtual std::string address() const = 0;
    /// Refuses new work from now on and returns at once; wait() returns when
    /// what runs has finished.
    virtual void begin_leaving() = 0;
    virtual void wait() = 0;
    virtual std::string render_metrics() const = 0;
};

} // namespace auburnlb

#endif
