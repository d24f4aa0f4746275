// Object names and JSON encoding of claim segments and claim tables.
#include <cstdio>

#include <nlohmann/json.hpp>
#include <openssl/sha.h>

#include "auburnlb/protocol/claim_log.hpp"
#include "auburnlb/protocol/claim_shards.hpp"
#include "auburnlb/state/json_text.hpp"

namespace auburnlb
{
namespace
{

using json = nlohmann::json;

constexpr int hexadecimal_base = 16;

std::string to_hex(std::uint64_t value)
{
    char text[17];
    int const length = std::snprintf(text, sizeof text, "%016llx",
                                     static_cast<unsigned long long>(value));
    return {text, static_cast<std::size_t>(length)};
}

std::uint64_t from_hex(std::string const& text)
{
    std::size_t used = 0;
    std::uint64_t const value = std::stoull(text, &used, hexadecimal_base);
    if (used != text.size())
    {
        throw std::invalid_argument("not hexadecimal: " + text);
    }
    return value;
}

std::uint64_t read_word(unsigned char const* bytes)
{
    std::uint64_t word = 0;
    for (int index = 0; index < 8; ++index)
    {
        word = word << 8U | bytes[index];
    }
    return word;
}

json to_value(claim_log_id const& log)
{
    return {{"incarnation", to_hex(log.incarnation_)}, {"epoch", log.epoch_}};
}

claim_log_id log_from(json const& value)
{
    return {from_hex(value.at("incarnation").get<std::string>()),
            value.at("epoch").get<std::uint32_t>()};
}

/// Encodes bytes in hexadecimal: JSON texts must be UTF-8, and an outcome must
/// be replayed byte by byte.
std::string bytes_to_hex(std::string const& bytes)
{
    constexpr char const* digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (unsigned char const byte : bytes)
    {
        text.push_back(digits[byte / hexadecimal_base]);
        text.push_back(digits[byte % hexadecimal_base]);
    }
    return text;
}

std::string bytes_from_hex(std::string const& text)
{
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t index = 0; index < text.size(); index += 2)
    {
        bytes.push_back(static_cast<char>(from_hex(text.substr(index, 2))));
    }
    return bytes;
}

json to_value(call_outcome const& outcome)
{
    json headers = json::array();
    for (auto const& [name, value] : outcome.headers_)
    {
        headers.push_back({bytes_to_hex(name), bytes_to_hex(value)});
    }
    return {{"status", outcome.status_},
            {"headers", std::move(headers)},
            {"body", bytes_to_hex(outcome.body_)}};
}

call_outcome outcome_from(json const& value)
{
    call_outcome outcome;
    outcome.status_ = value.at("status").get<std::int32_t>();
    for (json const& header : value.at("headers"))
    {
        outcome.headers_.emplace_back(
            bytes_from_hex(header.at(0).get<std::string>()),
            bytes_from_hex(header.at(1).get<std::string>()));
    }
    outcome.body_ = bytes_from_hex(value.at("body").get<std::string>());
    return outcome;
}

json to_value(claimed_key const& key)
{
    json value{{"key", to_hex(key.key_.high_) + to_hex(key.key_.low_)},
               {"shard", key.shard_},
               {"fingerprint", to_hex(key.fingerprint_)}};
    if (key.outcome_)
    {
        value["outcome"] = to_value(*key.outcome_);
    }
    return value;
}

claimed_key key_from(json const& value)
{
    constexpr std::size_t word_digits = 16;
    auto const digits = value.at("key").get<std::string>();
    claimed_key key;
    key.key_ = {from_hex(digits.substr(0, word_digits)),
                from_hex(digits.substr(word_digits))};
    key.shard_ = value.at("shard").get<std::uint32_t>();
    key.fingerprint_ = from_hex(value.at("fingerprint").get<std::string>());
    if (value.contains("outcome"))
    {
        key.outcome_ = std::make_shared<call_outcome const>(
            outcome_from(value.at("outcome")));
    }
    return key;
}

segment_kind kind_from(std::string const& name)
{
    if (name == "claims")
    {
        return segment_kind::claims;
    }
    if (name == "seal")
    {
        return segment_kind::seal;
    }
    if (name == "hand_over")
    {
        return segment_kind::state_transfer;
    }
    throw std::invalid_argument("kind must be claims, seal or hand_over, not " +
                                name);
}

char const* to_string(segment_kind kind)
{
    switch (kind)
    {
    case segment_kind::claims:
        return "claims";
    case segment_kind::seal:
        return "seal";
    case segment_kind::state_transfer:
        return "hand_over";
    }
    return "claims";
}

/// Parses JSON and reads it with a function that throws on invalid input.
template <class Value, class Parse>
result<Value> parse(char const* step, std::string const& text, Parse read)
{
    try
    {
        return read(json::parse(text));
    }
    catch (std::exception const& failure)
    {
        return error{error_code::invalid_input, step, {}, failure.what()};
    }
}

} // namespace

key_id make_key_id(std::string const& key)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<unsigned char const*>(key.data()), key.size(),
           digest);
    return {read_word(digest), read_word(digest + 8)};
}

std::uint64_t fingerprint_of(std::string const& method, std::string const& path,
                             std::string const& body)
{
    // The lengths distinguish different splits of the same text.
    return make_key_id(std::to_string(method.size()) + " " +
                       std::to_string(path.size()) + " " + method + path + body)
        .high_;
}

std::string log_prefix(std::string const& service, claim_log_id const& log)
{
    return service + "/" + to_hex(log.incarnation_) + "-" +
           std::to_string(log.epoch_) + "/";
}

std::string segment_name(std::string const& service, claim_log_id const& log,
                         std::uint64_t number)
{
    return log_prefix(service, log) + to_hex(number);
}

std::string to_json(claim_segment const& segment)
{
    json keys = json::array();
    for (auto const& key : segment.keys_)
    {
        keys.push_back(to_value(key));
    }
    return dump_text(json{{"service", segment.service_},
                          {"log", to_value(segment.log_)},
                          {"number", segment.number_},
                          {"writer", to_hex(segment.writer_)},
                          {"content", segment.content_id_},
                          {"kind", to_string(segment.kind_)},
                          {"keys", std::move(keys)},
                          {"shards", segment.shards_}});
}

result<claim_segment> segment_from_json(std::string const& text)
{
    auto const read = [](json const& value) -> claim_segment
    {
        claim_segment segment;
        segment.service_ = value.at("service").get<std::string>();
        segment.log_ = log_from(value.at("log"));
        segment.number_ = value.at("number").get<std::uint64_t>();
        segment.writer_ = from_hex(value.at("writer").get<std::string>());
        segment.content_id_ = value.at("content").get<std::uint64_t>();
        segment.kind_ = kind_from(value.at("kind").get<std::string>());
        for (json const& key : value.at("keys"))
        {
            segment.keys_.push_back(key_from(key));
        }
        segment.shards_ = value.at("shards").get<std::vector<std::uint32_t>>();
        return segment;
    };
    return parse<claim_segment>("read claim segment", text, read);
}

std::string to_json(claim_table const& table)
{
    json shards = json::array();
    for (auto const& owner : table.shards_)
    {
        shards.push_back(
            {{"address", owner.address_}, {"log", to_value(owner.log_)}});
    }
    json logs = json::array();
    for (auto const& entry : table.logs_)
    {
        logs.push_back({{"log", to_value(entry.log_)},
                        {"address", entry.address_},
                        {"is_sealed", entry.is_sealed_},
                        {"sealed_at_ms", entry.sealed_at_ms_}});
    }
    return dump_text(json{{"service", table.service_},
                          {"shards", std::move(shards)},
                          {"logs", std::move(logs)}});
}

result<claim_table> table_from_json(std::string const& text)
{
    auto const read = [](json const& value) -> claim_table
    {
        claim_table table;
        table.service_ = value.at("service").get<std::string>();
        for (json const& owner : value.at("shards"))
        {
            table.shards_.push_back({owner.at("address").get<std::string>(),
                                     log_from(owner.at("log"))});
        }
        for (json const& entry : value.at("logs"))
        {
            table.logs_.push_back(
                {log_from(entry.at("log")),
                 entry.at("address").get<std::string>(),
                 entry.at("is_sealed").get<bool>(),
                 entry.at("sealed_at_ms").get<std::int64_t>()});
        }
        return table;
    };
    return parse<claim_table>("read claim table", text, read);
}

} // namespace auburnlb
