// Handles HTTP requests of callers at an entry: checks them, and passes calls
// to the core thread.
#ifndef AUBURNLB_ENTRY_CALLER_HTTP_HANDLER_HPP
#define AUBURNLB_ENTRY_CALLER_HTTP_HANDLER_HPP

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "auburnlb/entry/call_service.hpp"
#include "auburnlb/entry/routing_view.hpp"
#include "auburnlb/entry/stream_service.hpp"
#include "auburnlb/state/metrics.hpp"
#include "auburnlb/state/snapshot_cell.hpp"
#include "auburnlb/transport/http_server.hpp"

namespace auburnlb
{

/// Dependencies of a caller_http_handler.
struct caller_http_handler_environment
{
    snapshot_cell<routing_view> const& view_;
    metrics_registry& metrics_;
    clock_source const& clock_;
    std::atomic<bool> const& is_leaving_;
    std::size_t max_body_bytes_ = 0;
    std::function<void(stream_call)> submit_stream_;
    std::function<void(plain_call)> submit_call_;
};

/// Serves the following paths. Thread-safe: runs on the HTTP server's threads
/// and reads the routing view under RCU.
///
///     GET  /healthz, /readyz                 for the balancer
///     GET  /v1/models
///     POST /v1/chat/completions              model services
///     ANY  /services/<service>/<path>        plain services
///     GET  /v1/outcomes/<service>            outcome of an Idempotency-Key
class caller_http_handler
{
public:
    explicit caller_http_handler(caller_http_handler_environment environment);

    void handle(incoming_request request, std::shared_ptr<http_reply> reply);

private:
    void handle_readiness(http_reply& reply) const;
    void handle_chat(incoming_request const& request,
                     std::shared_ptr<http_reply> reply);
    void handle_call(incoming_request request,
                     std::shared_ptr<http_reply> reply, std::string const& rest,
                     bool is_lookup);
    void refuse(http_reply& reply, refusal_reason reason,
                std::string const& message,
                std::optional<seconds> retry_after = std::nullopt);
    /// Checks service, key and body size. Returns false after refusing the
    /// request if one of them is invalid.
    bool check_access(http_reply& reply, std::string const& service,
                      service_config const* config, service_kind kind,
                      std::string const& workspace, std::size_t body_bytes);

    caller_http_handler_environment const environment_;
};

} // namespace auburnlb

#endif
