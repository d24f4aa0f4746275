// The operators' HTTP port of an entry: administration API and metrics.
#ifndef AUBURNLB_ENTRY_ADMIN_FRONT_HPP
#define AUBURNLB_ENTRY_ADMIN_FRONT_HPP

#include <memory>
#include <string>

#include "auburnlb/coordination/admin_api.hpp"
#include "auburnlb/state/metrics.hpp"
#include "auburnlb/transport/http_server.hpp"

namespace auburnlb
{

/// Thread-safe: runs on the HTTP server's threads.
class admin_front
{
public:
    admin_front(object_store& store, metrics_registry const& metrics,
                std::string token, admin_hooks hooks);

    void handle(incoming_request const& request,
                std::shared_ptr<http_reply> const& reply);

private:
    metrics_registry const& metrics_;
    admin_api api_;
};

} // namespace auburnlb

#endif
