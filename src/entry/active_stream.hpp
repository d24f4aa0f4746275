// State of one model request and of one service's limits. Shared by the source
// files of stream_service.
#ifndef AUBURNLB_ENTRY_ACTIVE_STREAM_HPP
#define AUBURNLB_ENTRY_ACTIVE_STREAM_HPP

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
        /// The caller's connection closed; it may reconnect until phase_end_.
        disconnected,
        /// The stages were asked to hand over an answer that another entry
        /// began. They have until phase_end_ to respond.
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
    /// When the current attempt began.
    time_point attempt_begun_at_{};
    time_point last_token_at_{};
    /// When the stream began to wait for a chain; empty while it has one.
    std::optional<time_point> no_chain_since_;
    time_point next_chain_retry_{};
    bool is_admitted_ = false;
    bool has_started_ = false;
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
