// Properties of the callers' interface under random and mutated input.
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include "auburnlb/transport/caller_api.hpp"
#include "transport/mutation.hpp"

using namespace auburnlb;
using nlohmann::json;

namespace
{

constexpr std::size_t body_limit = 1U << 20U;

std::string valid_body()
{
    return R"({"model":"kalai-writer","messages":[{"role":"user",)"
           R"("content":"pan \u0a95"}],"max_tokens":5,"stream":false,"n":1})";
}

/// Whatever was taken obeys the bounds, and whatever was refused says why.
void check_outcome(std::string const& body)
{
    auto const parsed = parse_chat_request(body, body_limit);
    if (!parsed)
    {
        RC_ASSERT(!parsed.error().detail_.empty());
        auto const reply =
            format_error(refusal_for(parsed.error()), run_state::not_run,
                         parsed.error().detail_);
        RC_ASSERT(json::parse(reply.body_).contains("error"));
        return;
    }
    RC_ASSERT(!parsed.value().model_.empty());
    RC_ASSERT(parsed.value().prompt_.ends_with("\n"));
    RC_ASSERT(parsed.value().max_tokens_ <= (1U << 20U));
}

/// A received event, read as the published rules for event streams say.
struct received_event
{
    std::string id_;
    std::string type_;
    std::string data_;
};

/// Fails on a line that is neither a known field nor the end of an event.
std::vector<received_event> read_events(std::string const& stream)
{
    RC_ASSERT(stream.ends_with("\n\n"));
    std::vector<received_event> events(1);
    std::istringstream text(stream);
    for (std::string line; std::getline(text, line);)
    {
        RC_ASSERT(line.find('\r') == std::string::npos);
        auto& event = events.back();
        if (line.empty())
        {
            events.emplace_back();
        }
        else if (line.starts_with("id: "))
        {
            event.id_ = line.substr(4);
        }
        else if (line.starts_with("event: "))
        {
            event.type_ = line.substr(7);
        }
        else
        {
            RC_ASSERT(line.starts_with("data: "));
            RC_ASSERT(event.data_.empty());
            event.data_ = line.substr(6);
        }
    }
    RC_ASSERT(events.back().data_.empty());
    events.pop_back();
    return events;
}

/// Texts that JSON can carry, line ends and characters of many bytes included.
rc::Gen<std::string> any_utf8_text()
{
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(
                            rc::gen::elementOf(std::vector<std::string>{
                                "a", " ", "\n", "\r\n", "\"", "\\", "\x01", "ž",
                                "ક", "\U0001F525", "data: ", "id: "})),
                        [](std::vector<std::string> const& parts)
                        {
                            std::string text;
                            for (auto const& part : parts)
                            {
                                text += part;
                            }
                            return text;
                        });
}

} // namespace

RC_GTEST_PROP(chat_request_property, random_bytes_never_throw,
              (std::string const& body))
{
    check_outcome(body);
}

RC_GTEST_PROP(chat_request_property, mutated_bodies_never_throw, ())
{
    std::string body = valid_body();
    for (auto const& change : *any_mutations())
    {
        apply(body, change);
    }
    check_outcome(body);
}

RC_GTEST_PROP(caller_options_property, random_header_fields_never_throw, ())
{
    auto const name = *rc::gen::elementOf(std::vector<std::string>{
        "Authorization", "Idempotency-Key", "X-Request-Timeout-Ms",
        "X-Priority", "Last-Event-ID"});
    auto const value =
        *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                        rc::gen::container<std::string>(rc::gen::elementOf(
                            std::string("0123456789abf:-\"\\ "))));
    auto const options = parse_caller_options({{name, value}});
    if (!options)
    {
        RC_ASSERT(!options.error().detail_.empty());
        return;
    }
    auto const& key = options.value().idempotency_key_;
    RC_ASSERT(!key || (!key->empty() && key->size() <= 255));
    auto const timeout = options.value().timeout_.value_or(milliseconds(1));
    RC_ASSERT(timeout >= milliseconds(1));
    RC_ASSERT(timeout <= milliseconds(600'000));
}

RC_GTEST_PROP(event_id_property, survives_a_round_trip,
              (std::uint64_t entry, std::uint64_t sequence,
               std::uint32_t index))
{
    event_id const id{{entry, sequence}, index};
    RC_ASSERT(parse_event_id(to_string(id)) == id);
}

RC_GTEST_PROP(stream_property, every_token_arrives_as_one_whole_event,
              (std::uint64_t entry))
{
    completion_metadata const head{{entry, 1}, *any_utf8_text(), 0};
    auto const texts =
        *rc::gen::container<std::vector<std::string>>(any_utf8_text());
    std::string stream;
    std::uint32_t count = 0;
    for (auto const& text : texts)
    {
        stream += format_stream_event(head, count++, text);
    }
    stream += format_stream_end(head, count, finish_reason::stop, {});
    auto const events = read_events(stream);
    RC_ASSERT(events.size() == texts.size() + 2);
    for (std::uint32_t index = 0; index < count; ++index)
    {
        RC_ASSERT(events[index].id_ ==
                  to_string(event_id{head.request_, index}));
        auto const data = json::parse(events[index].data_);
        RC_ASSERT(data["choices"][0]["delta"]["content"] == texts[index]);
        RC_ASSERT(data["model"] == head.model_);
    }
    RC_ASSERT(events.back().data_ == "[DONE]");
}

RC_GTEST_PROP(stream_property, any_bytes_leave_the_stream_well_formed,
              (std::string const& text))
{
    completion_metadata const head{{1, 2}, text, 0};
    for (auto const& part : {format_stream_event(head, 0, text),
                             format_stream_error(refusal_reason::stream_lost,
                                                 run_state::ran, text)})
    {
        auto const events = read_events(part);
        RC_ASSERT(events.size() == 1U);
        RC_ASSERT(json::accept(events[0].data_));
    }
    RC_ASSERT(json::accept(
        format_completion(head, text, finish_reason::stop, {}).body_));
}
