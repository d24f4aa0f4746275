// Routing and handling of administration requests.
#include "auburnlb/coordination/admin_api.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "admin_documents.hpp"

namespace auburnlb
{

namespace
{

using admin::conflict_response;
using admin::failure_response;
using admin::json_response;
using nlohmann::ordered_json;

constexpr char base_path[] = "/admin/v1/";

// Splits the part of the path after the base path. Returns an empty vector for
// a path outside of it.
std::vector<std::string> split_path(std::string const& path)
{
    std::vector<std::string> parts;
    std::string const base = base_path;
    if (path.compare(0, base.size(), base) != 0)
    {
        return parts;
    }
    std::size_t from = base.size();
    while (from <= path.size())
    {
        std::size_t const to = std::min(path.find('/', from), path.size());
        parts.push_back(path.substr(from, to - from));
        from = to + 1;
    }
    return parts;
}

admin_response unknown_path(std::string const& path)
{
    return failure_response(
        {error_code::not_found, "route request", "", "unknown path " + path});
}

admin_response method_not_allowed(std::string const& method,
                                  std::string const& allowed)
{
    ordered_json body;
    body["error"]["code"] = "method_not_allowed";
    body["error"]["detail"] =
        "method " + method + " is not allowed; allowed: " + allowed;
    return json_response(405, body);
}

admin_response unauthorized()
{
    ordered_json body;
    body["error"]["code"] = "unauthorized";
    body["error"]["detail"] = "the bearer token does not match admin.token in "
                              "this host's settings";
    return json_response(401, body);
}

bool is_document(std::string const& name)
{
    return name == "services" || name == "status" || name == "version";
}

error service_not_found(std::string const& service)
{
    return {error_code::not_found, "read service", "",
            "no such service: " + service};
}

// An administration request about one service. Each step starts the next one
// from its handler.
class service_request : public std::enable_shared_from_this<service_request>
{
public:
    service_request(object_store& store, admin_hooks const& hooks,
                    std::string service, admin_request request,
                    admin_api::response_handler handler)
        : store_(store)
        , hooks_(hooks)
        , service_(std::move(service))
        , request_(std::move(request))
        , handler_(std::move(handler))
    {
    }

    void show()
    {
        read(
            [this](current_service const& current) {
                handler_(json_response(200, admin::describe_service(current)));
            });
    }

    void show_history()
    {
        read(
            [this](current_service const& current) {
                handler_(json_response(200, admin::describe_history(current)));
            });
    }

    void show_version(std::string const& version)
    {
        read_history(
            version,
            [this](current_service const& earlier) {
                handler_(json_response(200, admin::describe_service(earlier)));
            });
    }

    // A PUT request must contain answers; a PATCH request must not.
    void change(bool is_put)
    {
        auto parsed = admin::parse_change(request_);
        if (!parsed)
        {
            handler_(failure_response(parsed.error()));
            return;
        }
        change_ = std::move(parsed).value();
        if (change_.answers_.has_value() != is_put)
        {
            handler_(failure_response(
                {error_code::invalid_input, "read request", "",
                 is_put ? "field questionnaire has the value (absent); allowed "
                          "is: the answers"
                        : "field questionnaire is present; allowed is: only "
                          "with PUT"}));
            return;
        }
        is_new_allowed_ = is_put;
        read([this](current_service const& current) { submit(current); });
    }

    void roll_back()
    {
        auto parsed = admin::parse_change(request_);
        auto target = admin::parse_rollback_target(request_.body_);
        if (!parsed || !target)
        {
            handler_(
                failure_response(parsed ? target.error() : parsed.error()));
            return;
        }
        change_ = std::move(parsed).value();
        read_history(std::to_string(target.value()),
                     [this](current_service const& earlier)
                     {
                         earlier_ = earlier;
                         read([this](current_service const& current)
                              { submit(current); });
                     });
    }

private:
    using read_handler = std::function<void(current_service const&)>;

    void read(read_handler next)
    {
        store_.get(service_object_kind, service_,
                   [self = shared_from_this(),
                    next = std::move(next)](result<stored_object> response)
                   { self->on_read(std::move(response), next); });
    }

    void on_read(result<stored_object> response, read_handler const& next)
    {
        if (!response && response.error().code_ == error_code::not_found)
        {
            response = stored_object{};
        }
        if (!response)
        {
            handler_(failure_response(response.error()));
            return;
        }
        auto const current = read_service(response.value());
        if (!current)
        {
            handler_(failure_response(current.error()));
            return;
        }
        if (current.value().version_ == 0 && !is_new_allowed_)
        {
            handler_(failure_response(service_not_found(service_)));
            return;
        }
        next(current.value());
    }

    // Reads an earlier version, or the one in force.
    void read_history(std::string const& version, read_handler const& next)
    {
        read(
            [this, version, next](current_service const& current)
            {
                if (std::to_string(current.version_) == version)
                {
                    next(current);
                    return;
                }
                store_.get(history_object_kind, service_ + "/" + version,
                           [self = shared_from_this(), version,
                            next](result<stored_object> const& response)
                           { self->on_history(response, version, next); });
            });
    }

    void on_history(result<stored_object> const& response,
                    std::string const& version, read_handler const& next)
    {
        bool const is_absent =
            response ? response.value().version_ == 0
                     : response.error().code_ == error_code::not_found;
        if (is_absent)
        {
            handler_(failure_response(
                {error_code::not_found, "read history", "",
                 "service " + service_ + " has no version " + version}));
            return;
        }
        if (!response)
        {
            handler_(failure_response(response.error()));
            return;
        }
        auto earlier = read_service(response.value());
        if (!earlier)
        {
            handler_(failure_response(earlier.error()));
            return;
        }
        earlier.value().version_ = std::stoull(version);
        next(earlier.value());
    }

    void submit(current_service const& current)
    {
        auto const resolution = resolve_change(
            change_.note_.change_id_, change_.expected_version_, current);
        if (resolution.state_ == change_state::accepted)
        {
            respond_accepted(resolution.version_, {});
            return;
        }
        auto prepared = earlier_ ? prepare_rollback(current, earlier_->object_,
                                                    change_.expected_version_,
                                                    change_.note_)
                                 : prepare_change(current, service_, change_);
        if (!prepared && prepared.error().code_ == error_code::conflict)
        {
            respond_conflict(current);
            return;
        }
        if (!prepared)
        {
            handler_(failure_response(prepared.error()));
            return;
        }
        commit_change(store_, prepared.value(),
                      [self = shared_from_this(), change = prepared.value()](
                          result<commit_outcome> const& outcome)
                      { self->on_outcome(change, outcome); });
    }

    void on_outcome(prepared_change const& change,
                    result<commit_outcome> const& outcome)
    {
        if (!outcome)
        {
            handler_(failure_response(outcome.error()));
            return;
        }
        if (outcome.value().state_ != change_state::accepted)
        {
            respond_conflict(outcome.value().current_);
            return;
        }
        if (hooks_.on_accepted_)
        {
            hooks_.on_accepted_(service_, outcome.value().version_,
                                change.text_);
        }
        respond_accepted(outcome.value().version_, change.changes_);
    }

    void respond_accepted(std::uint64_t version,
                          std::vector<field_change> const& changes)
    {
        ordered_json body;
        body["service"] = service_;
        body["version"] = version;
        body["change_id"] = change_.note_.change_id_;
        body["changes"] = admin::describe_changes(changes);
        handler_(json_response(200, body));
    }

    // Responds with the differences between the newer version and the one that
    // the operator expected, if that one is still in the history.
    void respond_conflict(current_service const& newer)
    {
        store_.get(history_object_kind,
                   history_name(service_, change_.expected_version_),
                   [self = shared_from_this(),
                    newer](result<stored_object> const& response)
                   {
                       current_service expected;
                       if (response)
                       {
                           auto earlier = read_service(response.value());
                           expected = earlier ? earlier.value() : expected;
                       }
                       self->handler_(conflict_response(
                           self->change_.expected_version_, newer,
                           compare_fields(effective_fields(expected.object_),
                                          effective_fields(newer.object_))));
                   });
    }

    object_store& store_;
    admin_hooks const& hooks_;
    std::string const service_;
    admin_request const request_;
    admin_api::response_handler const handler_;
    change_request change_;
    /// The content that a rollback restores; absent for other requests.
    std::optional<current_service> earlier_;
    bool is_new_allowed_ = false;
};

void list_services(object_store& store, admin_api::response_handler handler)
{
    store.list(service_object_kind, "",
               [handler = std::move(handler)](
                   result<std::vector<stored_object>> const& response)
               {
                   if (!response)
                   {
                       handler(failure_response(response.error()));
                       return;
                   }
                   ordered_json body;
                   body["services"] = ordered_json::array();
                   for (stored_object const& stored : response.value())
                   {
                       auto const current = read_service(stored);
                       if (current)
                       {
                           body["services"].push_back(
                               admin::summarise_service(current.value()));
                       }
                   }
                   handler(json_response(200, body));
               });
}

void drain_endpoint(admin_hooks const& hooks, std::string const& endpoint,
                    admin_api::response_handler handler)
{
    hooks.drain_(
        endpoint,
        [handler = std::move(handler)](result<std::string> const& description)
        {
            handler(description ? admin_response{202, description.value()}
                                : failure_response(description.error()));
        });
}

void handle_service(std::vector<std::string> const& parts,
                    admin_request const& request,
                    std::shared_ptr<service_request> const& service,
                    admin_api::response_handler const& handler)
{
    std::string const& method = request.method_;
    std::string const subresource = parts.size() > 2 ? parts[2] : "";
    if (parts.size() == 2 && method == "GET")
    {
        service->show();
    }
    else if (parts.size() == 2 && (method == "PUT" || method == "PATCH"))
    {
        service->change(method == "PUT");
    }
    else if (parts.size() == 2)
    {
        handler(method_not_allowed(method, "GET, PUT, PATCH"));
    }
    else if (parts.size() == 3 && subresource == "history")
    {
        method == "GET" ? service->show_history()
                        : handler(method_not_allowed(method, "GET"));
    }
    else if (parts.size() == 4 && subresource == "history")
    {
        method == "GET" ? service->show_version(parts[3])
                        : handler(method_not_allowed(method, "GET"));
    }
    else if (parts.size() == 3 && subresource == "rollback")
    {
        method == "POST" ? service->roll_back()
                         : handler(method_not_allowed(method, "POST"));
    }
    else
    {
        handler(unknown_path(request.path_));
    }
}

} // namespace

bool is_same_token(std::string const& expected, std::string const& given)
{
    // Hashes have the same length, whatever the tokens' lengths are.
    std::array<unsigned char, SHA256_DIGEST_LENGTH> left{};
    std::array<unsigned char, SHA256_DIGEST_LENGTH> right{};
    SHA256(reinterpret_cast<unsigned char const*>(expected.data()),
           expected.size(), left.data());
    SHA256(reinterpret_cast<unsigned char const*>(given.data()), given.size(),
           right.data());
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

admin_api::admin_api(object_store& store, std::string token, admin_hooks hooks)
    : store_(store)
    , token_(std::move(token))
    , hooks_(std::move(hooks))
{
}

void admin_api::handle(admin_request const& request, response_handler handler)
{
    if (token_.empty() || !is_same_token(token_, request.token_))
    {
        handler(unauthorized());
        return;
    }
    std::vector<std::string> const parts = split_path(request.path_);
    if (parts.size() == 1 && is_document(parts[0]))
    {
        request.method_ == "GET"
            ? show_document(parts[0], std::move(handler))
            : handler(method_not_allowed(request.method_, "GET"));
        return;
    }
    if (parts.size() >= 2 && parts[0] == "services" && !parts[1].empty())
    {
        auto const service = std::make_shared<service_request>(
            store_, hooks_, parts[1], request, handler);
        handle_service(parts, request, service, handler);
        return;
    }
    if (parts.size() == 3 && parts[0] == "endpoints" && parts[2] == "drain")
    {
        request.method_ == "POST"
            ? drain_endpoint(hooks_, parts[1], std::move(handler))
            : handler(method_not_allowed(request.method_, "POST"));
        return;
    }
    handler(unknown_path(request.path_));
}

void admin_api::show_document(std::string const& name, response_handler handler)
{
    if (name == "services")
    {
        list_services(store_, std::move(handler));
        return;
    }
    handler({200, name == "status" ? hooks_.status_() : hooks_.version_()});
}

} // namespace auburnlb
