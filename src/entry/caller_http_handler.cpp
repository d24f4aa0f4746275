// Implementation of caller_http_handler.
#include "auburnlb/entry/caller_http_handler.hpp"

#include <string_view>
#include <utility>
#include <vector>

#include "auburnlb/transport/caller_api.hpp"
#include "auburnlb/transport/digest.hpp"

namespace auburnlb
{

namespace
{

constexpr std::string_view services_path = "/services/";
constexpr std::string_view outcomes_path = "/v1/outcomes/";

std::vector<std::string> model_names(routing_view const& view)
{
    std::vector<std::string> names;
    for (auto const& [name, config] : view.fleet_.services_)
    {
        if (config->kind_ == service_kind::model)
        {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace

caller_http_handler::caller_http_handler(
    caller_http_handler_environment environment)
    : environment_(std::move(environment))
{
}

void caller_http_handler::handle(incoming_request request,
                                 std::shared_ptr<http_reply> reply)
{
    std::string const& path = request.path_;
    if (path == "/healthz")
    {
        reply->send({200, {}, "ok\n"});
        return;
    }
    if (path == "/readyz")
    {
        handle_readiness(*reply);
        return;
    }
    if (environment_.is_leaving_)
    {
        refuse(*reply, refusal_reason::entry_stopping,
               "this entry host is stopping", seconds{1});
        return;
    }
    if (path == "/v1/models" && request.method_ == "GET")
    {
        reply->send(format_model_list(environment_.view_.read(model_names)));
        return;
    }
    if (path == "/v1/chat/completions" && request.method_ == "POST")
    {
        handle_chat(request, std::move(reply));
        return;
    }
    if (path.starts_with(services_path))
    {
        std::string const rest = path.substr(services_path.size());
        handle_call(std::move(request), std::move(reply), rest, false);
        return;
    }
    if (path.starts_with(outcomes_path) && request.method_ == "GET")
    {
        std::string const rest = path.substr(outcomes_path.size());
        handle_call(std::move(request), std::move(reply), rest, true);
        return;
    }
    refuse(*reply, refusal_reason::unknown_path,
           "no such path: " + request.method_ + " " + path);
}

void caller_http_handler::handle_readiness(http_reply& reply) const
{
    bool const is_ready =
        !environment_.is_leaving_ &&
        environment_.view_.read([](routing_view const& view)
                                { return !view.fleet_.services_.empty(); });
    reply.send(
        {is_ready ? 200 : 503, {}, is_ready ? "ready\n" : "not ready\n"});
}

void caller_http_handler::refuse(http_reply& reply, refusal_reason reason,
                                 std::string const& message,
                                 std::optional<seconds> retry_after)
{
    environment_.metrics_.count_refusal(reason);
    reply.send(format_error(reason, run_state::not_run, message, retry_after));
}

bool caller_http_handler::check_access(
    http_reply& reply, std::string const& service, service_config const* config,
    service_kind kind, std::string const& workspace, std::size_t body_bytes)
{
    if (config == nullptr || config->kind_ != kind)
    {
        refuse(reply, refusal_reason::unknown_service,
               std::string(kind == service_kind::model
                               ? "field model: no model service named \""
                               : "path: no plain service named \"") +
                   service + "\"");
        return false;
    }
    if (workspace.empty())
    {
        refuse(reply, refusal_reason::unauthorized,
               "header Authorization: the key belongs to no workspace of " +
                   service);
        return false;
    }
    if (body_bytes > config->max_body_bytes_)
    {
        refuse(reply, refusal_reason::body_too_large,
               "the body has " + std::to_string(body_bytes) + " bytes, " +
                   service + " takes at most " +
                   std::to_string(config->max_body_bytes_));
        return false;
    }
    return true;
}

void caller_http_handler::handle_chat(incoming_request const& request,
                                      std::shared_ptr<http_reply> reply)
{
    auto options = parse_caller_options(request.headers_);
    if (!options)
    {
        refuse(*reply, refusal_for(options.error()), options.error().detail_);
        return;
    }
    auto chat = parse_chat_request(request.body_, environment_.max_body_bytes_);
    if (!chat)
    {
        refuse(*reply, refusal_for(chat.error()), chat.error().detail_);
        return;
    }
    stream_call call;
    call.request_ = std::move(chat).value();
    call.options_ = std::move(options).value();
    call.reply_ = std::move(reply);
    call.received_at_ = environment_.clock_.now();
    std::string const& service = call.request_.model_;
    std::string const digest = sha256_hex(call.options_.bearer_key_);
    environment_.view_.read(
        [&](routing_view const& view)
        {
            call.config_ = find_service(view, service);
            call.workspace_ = find_workspace(view, service, digest);
        });
    if (check_access(*call.reply_, service, call.config_.get(),
                     service_kind::model, call.workspace_,
                     request.body_.size()))
    {
        environment_.submit_stream_(std::move(call));
    }
}

void caller_http_handler::handle_call(incoming_request request,
                                      std::shared_ptr<http_reply> reply,
                                      std::string const& rest, bool is_lookup)
{
    auto options = parse_caller_options(request.headers_);
    if (!options)
    {
        refuse(*reply, refusal_for(options.error()), options.error().detail_);
        return;
    }
    std::string const service = rest.substr(0, rest.find('/'));
    plain_call call;
    call.options_ = std::move(options).value();
    call.reply_ = std::move(reply);
    call.received_at_ = environment_.clock_.now();
    call.is_lookup_ = is_lookup;
    call.method_ = request.method_;
    call.path_ =
        rest.size() > service.size() ? rest.substr(service.size()) : "/";
    if (!request.query_.empty())
    {
        call.path_ += "?" + request.query_;
    }
    call.headers_ = std::move(request.headers_);
    call.body_ = std::move(request.body_);
    std::string const digest = sha256_hex(call.options_.bearer_key_);
    environment_.view_.read(
        [&](routing_view const& view)
        {
            call.config_ = find_service(view, service);
            call.workspace_ = find_workspace(view, service, digest);
        });
    if (check_access(*call.reply_, service, call.config_.get(),
                     service_kind::plain, call.workspace_, call.body_.size()))
    {
        environment_.submit_call_(std::move(call));
    }
}

} // namespace auburnlb
