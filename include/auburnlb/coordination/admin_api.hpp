// The administration API, independent of HTTP.
#ifndef AUBURNLB_COORDINATION_ADMIN_API_HPP
#define AUBURNLB_COORDINATION_ADMIN_API_HPP

#include <cstdint>
#include <functional>
#include <string>

#include "auburnlb/coordination/object_store.hpp"
#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// A request as the HTTP server received it.
struct admin_request
{
    std::string method_;
    /// Begins with "/admin/v1/".
    std::string path_;
    std::string body_;
    /// The bearer token; empty if there is none.
    std::string token_;
    /// The operator's name; stored with each change.
    std::string author_;

    bool operator==(admin_request const&) const = default;
};

/// A response with a JSON body.
struct admin_response
{
    int status_ = 200;
    std::string body_;

    bool operator==(admin_response const&) const = default;
};

/// Callbacks into the process that serves the API.
struct admin_hooks
{
    /// Returns the JSON object of GET /admin/v1/status.
    std::function<std::string()> status_;
    /// Drains an endpoint. Passes a JSON object that describes the drain to the
    /// handler.
    std::function<void(std::string const& endpoint,
                       std::function<void(result<std::string>)>)>
        drain_;
    /// Called with the version and text of each change that the platform has
    /// accepted, so that it is distributed without waiting for the watch. May
    /// be empty.
    std::function<void(std::string const& service, std::uint64_t version,
                       std::string const& text)>
        on_accepted_;
    /// Returns the JSON object of GET /admin/v1/version.
    std::function<std::string()> version_;
};

/// Serves administration requests. Thread-safe; must outlive all requests that
/// are in progress.
class admin_api
{
public:
    using response_handler = std::function<void(admin_response)>;

    /// The token must not be empty.
    admin_api(object_store& store, std::string token, admin_hooks hooks);

    /// Calls the handler exactly once, on any thread. Requests without the
    /// token get status 401.
    ///
    ///     GET   /admin/v1/version
    ///     GET   /admin/v1/status
    ///     GET   /admin/v1/services
    ///     GET   /admin/v1/services/<service>
    ///     PUT   /admin/v1/services/<service>            new answers
    ///     PATCH /admin/v1/services/<service>            amendments
    ///     GET   /admin/v1/services/<service>/history
    ///     GET   /admin/v1/services/<service>/history/<version>
    ///     POST  /admin/v1/services/<service>/rollback
    ///     POST  /admin/v1/endpoints/<endpoint>/drain
    void handle(admin_request const& request, response_handler handler);

private:
    void show_document(std::string const& name, response_handler handler);

    object_store& store_;
    std::string const token_;
    admin_hooks const hooks_;
};

/// Compares two tokens. The time taken does not depend on where they differ.
bool is_same_token(std::string const& expected, std::string const& given);

} // namespace auburnlb

#endif
