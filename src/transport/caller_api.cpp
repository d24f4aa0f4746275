// Parsing and formatting of the callers' HTTP interface.
#include "auburnlb/transport/caller_api.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace auburnlb
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t max_answer_tokens = 1U << 20U;
constexpr std::uint32_t max_timeout_ms = 600'000;
constexpr std::size_t max_key_length = 255;
/// Rendering a JSON value recurses, so a deeper one could exhaust the stack.
constexpr int max_json_depth = 64;
/// Longer values are cut in error messages.
constexpr std::size_t max_quoted_length = 60;

constexpr char const* size_step = "check body size";
constexpr char const* parse_step = "parse body";
constexpr char const* field_step = "check field";
constexpr char const* bearer_step = "check authorization";

/// Token texts come from the engines; bytes that are not UTF-8 are replaced
/// since JSON cannot carry them.
std::string dump(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string shorten(std::string text)
{
    if (text.size() > max_quoted_length)
    {
        text.resize(max_quoted_length);
        text += "...";
    }
    return text;
}

error field_error(std::string const& field, std::string const& value,
                  std::string const& allowed)
{
    return {error_code::invalid_input,
            field_step,
            {},
            "field \"" + field + "\" is " + shorten(value) + ", allowed is " +
                allowed};
}

error field_error(std::string const& field, json const* value,
                  std::string const& allowed)
{
    return field_error(field, value == nullptr ? "absent" : dump(*value),
                       allowed);
}

/// Gives a discarded value for what is not JSON or is nested too deeply.
json parse_json(std::string const& text)
{
    auto const opening = std::count_if(
        text.begin(), text.end(),
        [](char letter) { return letter == '[' || letter == '{'; });
    if (opening <= max_json_depth)
    {
        // Watching the depth doubles the cost of parsing.
        return json::parse(text, nullptr, false);
    }
    bool is_too_deep = false;
    auto const check_depth = [&](int depth, json::parse_event_t, json&)
    {
        is_too_deep = is_too_deep || depth > max_json_depth;
        return !is_too_deep;
    };
    json parsed = json::parse(text, check_depth, false);
    return is_too_deep ? json(json::value_t::discarded) : parsed;
}

/// Gives null for an absent field and for one that is null.
json const* find(json const& object, char const* field)
{
    auto const found = object.find(field);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

result<std::string> parse_model(json const& body)
{
    json const* const model = find(body, "model");
    if (model == nullptr || !model->is_string() ||
        model->get_ref<std::string const&>().empty())
    {
        return field_error("model", model, "the name of a service");
    }
    return model->get<std::string>();
}

result<std::string> render_message(json const& message, std::size_t index)
{
    std::string const field = "messages[" + std::to_string(index) + "]";
    if (!message.is_object())
    {
        return field_error(field, &message, "an object");
    }
    json const* const role = find(message, "role");
    if (role == nullptr || !role->is_string())
    {
        return field_error(field + ".role", role, "a string");
    }
    json const* const content = find(message, "content");
    if (content == nullptr || !content->is_string())
    {
        return field_error(field + ".content", content, "a string");
    }
    return role->get<std::string>() + ": " + content->get<std::string>() + "\n";
}

result<std::string> parse_messages(json const& body)
{
    json const* const messages = find(body, "messages");
    if (messages == nullptr || !messages->is_array() || messages->empty())
    {
        return field_error("messages", messages,
                           "a list of at least one message");
    }
    std::string prompt;
    for (std::size_t index = 0; index < messages->size(); ++index)
    {
        auto const rendered = render_message((*messages)[index], index);
        if (!rendered)
        {
            return rendered.error();
        }
        prompt += rendered.value();
    }
    return prompt;
}

/// Newer clients name the limit max_completion_tokens.
result<std::uint32_t> parse_max_tokens(json const& body)
{
    char const* field = "max_tokens";
    json const* limit = find(body, field);
    if (limit == nullptr)
    {
        field = "max_completion_tokens";
        limit = find(body, field);
    }
    if (limit == nullptr)
    {
        return 0U;
    }
    bool const is_allowed = limit->is_number_unsigned() &&
                            limit->get<std::uint64_t>() >= 1 &&
                            limit->get<std::uint64_t>() <= max_answer_tokens;
    if (!is_allowed)
    {
        return field_error(field, limit,
                           "a whole number from 1 to " +
                               std::to_string(max_answer_tokens));
    }
    return limit->get<std::uint32_t>();
}

result<bool> parse_stream(json const& body)
{
    json const* const stream = find(body, "stream");
    if (stream == nullptr)
    {
        return false;
    }
    if (!stream->is_boolean())
    {
        return field_error("stream", stream, "true or false");
    }
    return stream->get<bool>();
}

/// Only one answer for each request is offered.
std::optional<error> check_choice_count(json const& body)
{
    json const* const count = find(body, "n");
    if (count == nullptr || *count == json(1))
    {
        return std::nullopt;
    }
    return field_error("n", count, "1");
}

std::string quoted(std::string const& text)
{
    return '"' + text + '"';
}

template <class Number>
std::optional<Number> parse_number(std::string_view text, int base)
{
    Number number{};
    char const* const end = text.data() + text.size();
    auto const [stop, failure] =
        std::from_chars(text.data(), end, number, base);
    if (failure != std::errc{} || stop != end || text.empty())
    {
        return std::nullopt;
    }
    return number;
}

/// Undoes the quoting that the published draft asks for. Gives nothing for
/// quotes that do not pair.
std::optional<std::string> unquote_key(std::string const& text)
{
    if (text.empty() || text.front() != '"')
    {
        return text;
    }
    std::string key;
    for (std::size_t index = 1; index < text.size(); ++index)
    {
        if (text[index] == '"')
        {
            return index + 1 == text.size() ? std::optional(key) : std::nullopt;
        }
        if (text[index] == '\\' && ++index == text.size())
        {
            return std::nullopt;
        }
        key += text[index];
    }
    return std::nullopt;
}

bool is_visible_ascii(std::string const& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char letter)
                       { return letter > ' ' && letter < 0x7F; });
}

bool has_header(http_headers const& headers, std::string const& name)
{
    return !find_header(headers, name).empty();
}

result<std::string> parse_bearer(std::string const& text)
{
    if (text.empty())
    {
        return std::string();
    }
    constexpr std::string_view scheme = "Bearer ";
    std::string_view const given =
        std::string_view(text).substr(0, std::min(text.size(), scheme.size()));
    bool const is_bearer = std::equal(
        given.begin(), given.end(), scheme.begin(), scheme.end(),
        [](char left, char right) { return (left | 0x20) == (right | 0x20); });
    std::string const secret =
        is_bearer ? text.substr(scheme.size()) : std::string();
    if (secret.empty() || !is_visible_ascii(secret))
    {
        return error{error_code::invalid_input,
                     bearer_step,
                     {},
                     "field \"Authorization\" has another form than the one "
                     "allowed, \"Bearer <key>\""};
    }
    return secret;
}

result<std::string> parse_key(std::string const& text)
{
    auto key = unquote_key(text);
    if (!key || key->empty() || key->size() > max_key_length ||
        !is_visible_ascii(*key))
    {
        return field_error("Idempotency-Key", quoted(text),
                           "1 to 255 visible ASCII characters");
    }
    return std::move(*key);
}

result<milliseconds> parse_timeout(std::string const& text)
{
    auto const timeout_ms = parse_number<std::uint32_t>(text, 10);
    if (!timeout_ms || *timeout_ms < 1 || *timeout_ms > max_timeout_ms)
    {
        return field_error("X-Request-Timeout-Ms", quoted(text),
                           "a whole number from 1 to " +
                               std::to_string(max_timeout_ms));
    }
    return milliseconds(*timeout_ms);
}

result<std::int32_t> parse_priority(std::string const& text)
{
    if (text == "low")
    {
        return -1;
    }
    if (text.empty() || text == "normal")
    {
        return 0;
    }
    if (text == "high")
    {
        return 1;
    }
    return field_error("X-Priority", quoted(text), "low, normal or high");
}

char const* to_string(finish_reason reason)
{
    return reason == finish_reason::stop ? "stop" : "length";
}

std::string completion_id(answer_head const& head)
{
    return "chatcmpl-" + to_string(head.request_);
}

json render_usage(answer_usage const& usage)
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
std::string render_chunk(answer_head const& head, std::string const& delta,
                         std::string const& finish,
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

result<chat_request> parse_chat_request(std::string const& body,
                                        std::size_t max_body_bytes)
{
    if (body.size() > max_body_bytes)
    {
        return error{error_code::invalid_input,
                     size_step,
                     {},
                     "the body has " + std::to_string(body.size()) +
                         " bytes, allowed are " +
                         std::to_string(max_body_bytes)};
    }
    json const parsed = parse_json(body);
    if (!parsed.is_object())
    {
        return error{error_code::invalid_input,
                     parse_step,
                     {},
                     "the body is not a JSON object nested to a depth of " +
                         std::to_string(max_json_depth) + " at most"};
    }
    auto model = parse_model(parsed);
    if (!model)
    {
        return std::move(model).error();
    }
    auto prompt = parse_messages(parsed);
    if (!prompt)
    {
        return std::move(prompt).error();
    }
    auto const max_tokens = parse_max_tokens(parsed);
    if (!max_tokens)
    {
        return max_tokens.error();
    }
    auto const is_stream = parse_stream(parsed);
    if (!is_stream)
    {
        return is_stream.error();
    }
    if (auto failure = check_choice_count(parsed))
    {
        return std::move(*failure);
    }
    return chat_request{std::move(model).value(), std::move(prompt).value(),
                        max_tokens.value(), is_stream.value()};
}

result<caller_options> parse_caller_options(http_headers const& headers)
{
    caller_options options;
    auto bearer = parse_bearer(find_header(headers, "Authorization"));
    if (!bearer)
    {
        return std::move(bearer).error();
    }
    options.bearer_key_ = std::move(bearer).value();
    if (has_header(headers, "Idempotency-Key"))
    {
        auto key = parse_key(find_header(headers, "Idempotency-Key"));
        if (!key)
        {
            return std::move(key).error();
        }
        options.idempotency_key_ = std::move(key).value();
    }
    if (has_header(headers, "X-Request-Timeout-Ms"))
    {
        auto const timeout =
            parse_timeout(find_header(headers, "X-Request-Timeout-Ms"));
        if (!timeout)
        {
            return timeout.error();
        }
        options.timeout_ = timeout.value();
    }
    auto const priority = parse_priority(find_header(headers, "X-Priority"));
    if (!priority)
    {
        return priority.error();
    }
    options.priority_ = priority.value();
    if (has_header(headers, "Last-Event-ID"))
    {
        std::string const text = find_header(headers, "Last-Event-ID");
        options.last_event_ = parse_event_id(text);
        if (!options.last_event_)
        {
            return field_error("Last-Event-ID", quoted(text),
                               "the id of an event of this system");
        }
    }
    return options;
}

std::optional<event_id> parse_event_id(std::string const& text)
{
    auto const dash = text.find('-');
    auto const colon = text.find(':');
    if (dash == std::string::npos || colon == std::string::npos || colon < dash)
    {
        return std::nullopt;
    }
    std::string_view const view = text;
    auto const entry = parse_number<std::uint64_t>(view.substr(0, dash), 16);
    auto const sequence = parse_number<std::uint64_t>(
        view.substr(dash + 1, colon - dash - 1), 16);
    auto const index = parse_number<std::uint32_t>(view.substr(colon + 1), 10);
    if (!entry || !sequence || !index)
    {
        return std::nullopt;
    }
    return event_id{{*entry, *sequence}, *index};
}

std::string to_string(event_id const& id)
{
    return to_string(id.request_) + ':' + std::to_string(id.index_);
}

refusal_reason refusal_for(error const& failure)
{
    if (failure.step_ == size_step)
    {
        return refusal_reason::body_too_large;
    }
    if (failure.step_ == parse_step)
    {
        return refusal_reason::malformed_request;
    }
    if (failure.step_ == bearer_step)
    {
        return refusal_reason::unauthorized;
    }
    return refusal_reason::invalid_field;
}

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

std::string format_stream_event(answer_head const& head, std::uint32_t index,
                                std::string const& text)
{
    std::string delta = index == 0 ? R"({"role":"assistant",)" : "{";
    delta.append(R"("content":)").append(render_string(text)).append("}");
    return render_event({head.request_, index},
                        render_chunk(head, delta, "null"));
}

std::string format_stream_end(answer_head const& head, std::uint32_t index,
                              finish_reason reason, answer_usage const& usage)
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

http_response format_completion(answer_head const& head,
                                std::string const& text, finish_reason reason,
                                answer_usage const& usage)
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
