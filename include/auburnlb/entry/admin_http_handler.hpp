// Handles HTTP requests on the administration port of an entry.
#ifndef AUBURNLB_ENTRY_ADMIN_HTTP_HANDLER_HPP
#define AUBURNLB_ENTRY_ADMIN_HTTP_HANDLER_HPP

#include <memory>
#include <string>

#include "auburnlb/coordination/admin_api.hpp"
#include "auburnlb/state/metrics.hpp"
#include "auburnlb/transport/http_server.hpp"

namespace auburnlb
{

/// Serves the administration API and the metrics. Thread-safe: runs on the HTTP
/// server's threads.
class admin_http_handler
{
public:
    admin_http_handler(object_store& store, metrics_registry const& metrics,
                       std::string token, admin_hooks hooks);

    void handle(incoming_request const& request,
                std::shared_ptr<http_reply> const& reply);

private:
    metrics_registry const& metrics_;
    admin_api api_;
};

} // namespace auburnlb

#endif
