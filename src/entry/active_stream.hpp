// What the entry keeps of one model request and of one service's limits; shared
// by the source files of stream_service.
#ifndef AUBURNLB_SRC_TRANSPORT_ACTIVE_STREAM_HPP
#define AUBURNLB_SRC_TRANSPORT_ACTIVE_STREAM_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "auburnlb/entry/stream_service.hpp"

namespace auburnlb
{

struct stream_service::active_stream
{
    enum class caller_phase
    {
        connected,
        /// The caller's connection closed; it may come back until phase_end_.
        detached,
        /// A stage is asked for the answer that another entry began.
        adopting,
    };

    std::uint64_t ticket_ = 0;
    caller_phase phase_ = caller_phase::connected;
    time_point phase_end_{};
    bool is_output_open_ = false;
    stream_call call_;
    stream_state state_;
    request_fingerprint fingerprint_ = 0;
    completion_metadata head_;
    std::string text_;
    double token_cost_ = 0;
    std::uint32_t cached_tokens_ = 0;
    time_point admitted_at_{};
    time_point last_token_at_{};
    /// When the stream last had a chain; set while it waits for one.
    std::optional<time_point> chainless_since_;
    time_point next_chain_try_{};
    bool is_admitted_ = false;
    bool is_begun_ = false;
    /// Whether the current attempt is counted at its endpoints.
    bool is_counted_ = false;
};

struct stream_service::service_limits
{
    std::shared_ptr<service_config const> config_;
    admission_state admission_;
    retry_budget retries_;
};

} // namespace auburnlb

#endif
