// Formatting of answers and errors to callers.
#include "auburnlb/transport/caller_api.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace auburnlb
{

namespace
{

using nlohmann::json;

/// Token texts come from the engines; bytes that are not UTF-8 are replaced
/// since JSON cannot carry them.
std::string dump(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

char const* to_string(finish_reason reason)
{
    return reason == finish_reason::stop ? "stop" : "length";
}

std::string completion_id(completion_metadata const& head)
{
    return "chatcmpl-" + to_string(head.request_);
}

json render_usage(token_usage const& usage)
{
    return {
        {"prompt_tokens", usage.prompt_tokens_},
        {"completion_tokens", usage.answer_tokens_},
        {"total_tokens",
         std::uint64_t{usage.prompt_tokens_} + usage.answer_tokens_},
        {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens_}}}};
}

std::string render_event(event_id const& id, std::string const& data)
{
    return "id: " + to_string(id) + "\ndata: " + data + "\n\n";
}

/// Renders a JSON string. Most tokens need no escape, and a stream pays for
/// this once a token.
std::string render_string(std::string const& text)
{
    bool const is_plain =
        std::all_of(text.begin(), text.end(),
                    [](char letter) {
                        return letter >= ' ' && letter < 0x7F &&
                               letter != '"' && letter != '\\';
                    });
    return is_plain ? '"' + text + '"' : dump(text);
}

/// The JSON text is put together by hand: by way of a JSON value it takes
/// several times as long. finish and extra are JSON text, extra begins with a
/// comma.
std::string render_chunk(completion_metadata const& head,
                         std::string const& delta, std::string const& finish,
                         std::string const& extra = {})
{
    std::string chunk = R"({"id":")";
    chunk.append(completion_id(head))
        .append(R"(","object":"chat.completion.chunk","created":)")
        .append(std::to_string(head.created_s_))
        .append(R"(,"model":)")
        .append(render_string(head.model_))
        .append(R"(,"choices":[{"index":0,"delta":)")
        .append(delta)
        .append(R"(,"finish_reason":)")
        .append(finish)
        .append("}]")
        .append(extra)
        .append("}");
    return chunk;
}

json render_error(refusal_reason reason, run_state state,
                  std::string const& message)
{
    return {{"error",
             {{"code", static_cast<int>(reason)},
              {"reason", to_string(reason)},
              {"run_state", to_string(state)},
              {"message", message}}}};
}

http_response json_response(int status, json const& body)
{
    return {status, {{"Content-Type", "application/json"}}, dump(body)};
}
} // namespace

int http_status(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::malformed_request:
    case refusal_reason::invalid_field:
    case refusal_reason::key_required:
        return 400;
    case refusal_reason::unauthorized:
        return 401;
    case refusal_reason::unknown_service:
    case refusal_reason::unknown_path:
        return 404;
    case refusal_reason::key_in_progress:
    case refusal_reason::stale_fencing_number:
        return 409;
    case refusal_reason::body_too_large:
        return 413;
    case refusal_reason::suspected_crash:
    case refusal_reason::key_body_mismatch:
        return 422;
    case refusal_reason::workspace_rate_limit:
    case refusal_reason::workspace_in_flight_limit:
        return 429;
    case refusal_reason::stream_lost:
    case refusal_reason::engine_failed:
    case refusal_reason::key_outcome_unknown:
    case refusal_reason::call_outcome_unknown:
        return 502;
    case refusal_reason::deadline_passed:
        return 504;
    case refusal_reason::overloaded:
    case refusal_reason::deadline_unreachable:
    case refusal_reason::entry_stopping:
    case refusal_reason::no_chain:
    case refusal_reason::no_endpoint:
    case refusal_reason::retry_budget_exhausted:
    case refusal_reason::endpoint_leaving:
    case refusal_reason::stale_incarnation:
    case refusal_reason::stale_attempt:
    case refusal_reason::wrong_position:
    case refusal_reason::wrong_layer:
    case refusal_reason::stale_version:
    case refusal_reason::engine_full:
    case refusal_reason::claim_store_unavailable:
    case refusal_reason::not_shard_home:
        return 503;
    }
    return 503;
}

http_headers stream_headers()
{
    return {{"Content-Type", "text/event-stream"},
            {"Cache-Control", "no-cache"}};
}

std::string format_stream_event(completion_metadata const& head,
                                std::uint32_t index, std::string const& text)
{
    std::string delta = index == 0 ? R"({"role":"assistant",)" : "{";
    delta.append(R"("content":)").append(render_string(text)).append("}");
    return render_event({head.request_, index},
                        render_chunk(head, delta, "null"));
}

std::string format_stream_end(completion_metadata const& head,
                              std::uint32_t index, finish_reason reason,
                              token_usage const& usage)
{
    std::string const finish = render_string(to_string(reason));
    std::string const extra = ",\"usage\":" + dump(render_usage(usage));
    return render_event({head.request_, index},
                        render_chunk(head, "{}", finish, extra)) +
           "data: [DONE]\n\n";
}

std::string format_stream_error(refusal_reason reason, run_state state,
                                std::string const& message)
{
    return "event: error\ndata: " + dump(render_error(reason, state, message)) +
           "\n\n";
}

std::string format_stream_comment()
{
    return ": waiting\n\n";
}

http_response format_completion(completion_metadata const& head,
                                std::string const& text, finish_reason reason,
                                token_usage const& usage)
{
    json const message = {{"role", "assistant"}, {"content", text}};
    return json_response(
        200,
        {{"id", completion_id(head)},
         {"object", "chat.completion"},
         {"created", head.created_s_},
         {"model", head.model_},
         {"choices", json::array({{{"index", 0},
                                   {"message", message},
                                   {"finish_reason", to_string(reason)}}})},
         {"usage", render_usage(usage)}});
}

http_response format_error(refusal_reason reason, run_state state,
                           std::string const& message,
                           std::optional<seconds> retry_after)
{
    http_response response = json_response(
        http_status(reason), render_error(reason, state, message));
    if (retry_after)
    {
        response.headers_.emplace_back("Retry-After",
                                       std::to_string(retry_after->count()));
    }
    return response;
}

http_response format_model_list(std::vector<std::string> const& services)
{
    json models = json::array();
    for (std::string const& name : services)
    {
        models.push_back(
            {{"id", name}, {"object", "model"}, {"owned_by", "auburnlb"}});
    }
    return json_response(200, {{"object", "list"}, {"data", models}});
}
} // namespace auburnlb
