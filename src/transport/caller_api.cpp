// Parsing of callers' requests.
#include "auburnlb/transport/caller_api.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <strings.h>

#include <nlohmann/json.hpp>

#include "auburnlb/state/json_depth.hpp"

namespace auburnlb
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t max_output_tokens = 1U << 20U;
constexpr std::uint32_t max_timeout_ms = 600'000;
constexpr std::size_t max_key_length = 255;
/// Longer values are truncated in error messages.
constexpr std::size_t max_quoted_length = 60;

constexpr char const* size_step = "check body size";
constexpr char const* parse_step = "parse body";
constexpr char const* field_step = "check field";
constexpr char const* bearer_step = "check authorization";

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
            "field \"" + field + "\" is " + shorten(value) +
                "; allowed is: " + allowed};
}

error field_error(std::string const& field, json const* value,
                  std::string const& allowed)
{
    return field_error(field, value == nullptr ? "absent" : value->dump(),
                       allowed);
}

/// Returns nullptr if the field is absent or null.
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

/// Newer clients call the limit max_completion_tokens.
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
                            limit->get<std::uint64_t>() <= max_output_tokens;
    if (!is_allowed)
    {
        return field_error(field, limit,
                           "a whole number from 1 to " +
                               std::to_string(max_output_tokens));
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

/// Only one choice per request is supported.
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

/// Removes the quotes that the Idempotency-Key draft requires. Returns
/// std::nullopt if the quotes do not match.
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
                       [](char character)
                       { return character > ' ' && character < 0x7F; });
}

/// Unlike find_header(), distinguishes an empty field from an absent one.
bool has_header(http_headers const& headers, std::string const& name)
{
    return std::any_of(
        headers.begin(), headers.end(),
        [&](auto const& field)
        { return ::strcasecmp(field.first.c_str(), name.c_str()) == 0; });
}

result<std::string> parse_bearer(std::string const& text)
{
    if (text.empty())
    {
        return std::string();
    }
    constexpr std::string_view scheme = "Bearer ";
    std::string_view const prefix =
        std::string_view(text).substr(0, std::min(text.size(), scheme.size()));
    bool const is_bearer = std::equal(
        prefix.begin(), prefix.end(), scheme.begin(), scheme.end(),
        [](char left, char right) { return (left | 0x20) == (right | 0x20); });
    std::string const secret =
        is_bearer ? text.substr(scheme.size()) : std::string();
    if (secret.empty() || !is_visible_ascii(secret))
    {
        return error{error_code::invalid_input,
                     bearer_step,
                     {},
                     "field \"Authorization\" must have the form "
                     "\"Bearer <key>\""};
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
                         " bytes; allowed are at most " +
                         std::to_string(max_body_bytes)};
    }
    json const parsed = is_nested_too_deep(body)
                            ? json(json::value_t::discarded)
                            : json::parse(body, nullptr, false);
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
                               "the id of an event that this system sent");
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

} // namespace auburnlb
