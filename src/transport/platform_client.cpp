// The platform's object API over HTTP: ETag, If-Match and long-poll watches.
#include "auburnlb/transport/platform_client.hpp"

#include <cctype>
#include <exception>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "parse_answer.hpp"

namespace auburnlb
{

namespace
{

using json = nlohmann::json;

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;
constexpr int status_too_large = 413;
constexpr int status_server_error = 500;

std::string percent_encode(std::string const& text)
{
    constexpr char const* digits = "0123456789ABCDEF";
    std::string encoded;
    for (unsigned char const letter : text)
    {
        if (std::isalnum(letter) != 0 || letter == '-' || letter == '_' ||
            letter == '.' || letter == '~')
        {
            encoded += static_cast<char>(letter);
            continue;
        }
        encoded += '%';
        encoded += digits[letter >> 4U];
        encoded += digits[letter & 15U];
    }
    return encoded;
}

error_code classify(int status)
{
    switch (status)
    {
    case status_bad_request:
    case status_too_large:
        return error_code::invalid_input;
    case status_not_found:
        return error_code::not_found;
    case status_precondition_failed:
        return error_code::conflict;
    default:
        break;
    }
    // A failing store may have applied the change before it failed.
    return status >= status_server_error ? error_code::response_lost
                                         : error_code::refused;
}

/// Values are bytes, which JSON cannot hold as they are.
std::string decode_base64(std::string const& text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    int const length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    if (length < 0)
    {
        throw std::runtime_error("a value is not valid base64");
    }
    // The decoder counts the padding as bytes.
    auto const last = text.find_last_not_of('=');
    std::size_t const padding = text.empty() ? 0 : text.size() - last - 1;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

platform_object parse_object(json const& value)
{
    platform_object parsed;
    parsed.kind_ = value.at("kind").get<std::string>();
    parsed.name_ = value.at("name").get<std::string>();
    parsed.version_ = value.at("version").get<std::uint64_t>();
    parsed.value_ = decode_base64(value.at("value_base64").get<std::string>());
    parsed.is_deleted_ = value.value("deleted", false);
    return parsed;
}

std::vector<platform_object> parse_objects(http_response const& response)
{
    std::vector<platform_object> parsed;
    auto const body = json::parse(response.body_);
    for (auto const& entry : body.at("objects"))
    {
        parsed.push_back(parse_object(entry));
    }
    return parsed;
}

std::uint64_t parse_version(http_response const& response)
{
    std::string const tag = find_header(response.headers_, "ETag");
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
    {
        throw std::runtime_error("the answer has no ETag with a version");
    }
    return std::stoull(tag.substr(1, tag.size() - 2));
}

host_state parse_host_state(std::string const& text)
{
    if (text == "live")
    {
        return host_state::live;
    }
    if (text == "leaving")
    {
        return host_state::leaving;
    }
    if (text == "dead")
    {
        return host_state::dead;
    }
    throw std::runtime_error("host state \"" + text +
                             "\" is none of live, leaving, dead");
}

host_role parse_host_role(std::string const& text)
{
    if (text == "entry")
    {
        return host_role::entry;
    }
    if (text == "endpoint")
    {
        return host_role::endpoint;
    }
    throw std::runtime_error("host role \"" + text +
                             "\" is none of entry, endpoint");
}

host_entry parse_host(json const& value)
{
    host_entry parsed;
    parsed.name_ = value.at("name").get<std::string>();
    parsed.role_ = parse_host_role(value.at("role").get<std::string>());
    parsed.address_ = value.at("address").get<std::string>();
    parsed.data_centre_ = value.value("data_centre", "");
    parsed.region_ = value.value("region", "");
    parsed.state_ = parse_host_state(value.value("state", "live"));
    return parsed;
}

std::vector<host_entry> parse_hosts(http_response const& response)
{
    std::vector<host_entry> parsed;
    auto const body = json::parse(response.body_);
    for (auto const& entry : body.at("hosts"))
    {
        parsed.push_back(parse_host(entry));
    }
    return parsed;
}

/// Sends a request and hands its parsed answer on.
template <class Value, class Parser>
void exchange(http_client& http, http_request&& request, std::string step,
              std::string peer, Parser parser,
              platform_client::handler<Value> handler)
{
    http.send(
        std::move(request),
        [step = std::move(step), peer = std::move(peer),
         parser = std::move(parser),
         handler = std::move(handler)](result<http_response> const& answer) {
            handler(parse_answer<Value>(answer, step, peer, classify, parser));
        });
}

std::string kind_url(std::string const& base, std::string const& kind)
{
    return base + "/v1/objects/" + percent_encode(kind);
}

std::string object_url(std::string const& base, std::string const& kind,
                       std::string const& name)
{
    return kind_url(base, kind) + "/" + percent_encode(name);
}

http_headers precondition(std::uint64_t expected_version)
{
    if (expected_version == 0)
    {
        return {{"If-None-Match", "*"}};
    }
    return {{"If-Match", "\"" + std::to_string(expected_version) + "\""}};
}

} // namespace

platform_client::platform_client(http_client& http, std::string base_url,
                                 milliseconds call_timeout)
    : http_(http)
    , base_url_(std::move(base_url))
    , call_timeout_(call_timeout)
{
}

void platform_client::get(std::string const& kind, std::string const& name,
                          handler<platform_object> handler)
{
    http_request request{
        "GET", object_url(base_url_, kind, name), {}, {}, call_timeout_};
    auto parser = [kind, name](http_response const& response)
    {
        return platform_object{kind, name, parse_version(response),
                               response.body_, false};
    };
    exchange<platform_object>(http_, std::move(request),
                              "read object " + kind + "/" + name, base_url_,
                              parser, std::move(handler));
}

void platform_client::list(std::string const& kind, std::string const& prefix,
                           handler<std::vector<platform_object>> handler)
{
    std::string url =
        kind_url(base_url_, kind) + "?prefix=" + percent_encode(prefix);
    http_request request{"GET", std::move(url), {}, {}, call_timeout_};
    exchange<std::vector<platform_object>>(
        http_, std::move(request), "list objects " + kind + "/" + prefix,
        base_url_, &parse_objects, std::move(handler));
}

void platform_client::put(platform_object const& object,
                          std::uint64_t expected_version,
                          handler<std::uint64_t> handler)
{
    http_headers headers = precondition(expected_version);
    headers.emplace_back("Content-Type", "application/octet-stream");
    http_request request{"PUT",
                         object_url(base_url_, object.kind_, object.name_),
                         std::move(headers), object.value_, call_timeout_};
    exchange<std::uint64_t>(http_, std::move(request),
                            "write object " + object.kind_ + "/" + object.name_,
                            base_url_, &parse_version, std::move(handler));
}

void platform_client::remove(std::string const& kind, std::string const& name,
                             std::uint64_t expected_version,
                             handler<std::uint64_t> handler)
{
    http_request request{"DELETE",
                         object_url(base_url_, kind, name),
                         precondition(expected_version),
                         {},
                         call_timeout_};
    exchange<std::uint64_t>(http_, std::move(request),
                            "remove object " + kind + "/" + name, base_url_,
                            &parse_version, std::move(handler));
}

void platform_client::watch(std::string const& kind,
                            std::uint64_t after_version, milliseconds wait,
                            handler<std::vector<platform_object>> handler)
{
    std::string url = kind_url(base_url_, kind) +
                      "?watch=1&after=" + std::to_string(after_version) +
                      "&wait_ms=" + std::to_string(wait.count());
    http_request request{"GET", std::move(url), {}, {}, wait + call_timeout_};
    exchange<std::vector<platform_object>>(http_, std::move(request),
                                           "watch objects " + kind, base_url_,
                                           &parse_objects, std::move(handler));
}

void platform_client::hosts(handler<std::vector<host_entry>> handler)
{
    http_request request{"GET", base_url_ + "/v1/hosts", {}, {}, call_timeout_};
    exchange<std::vector<host_entry>>(http_, std::move(request),
                                      "read host list", base_url_, &parse_hosts,
                                      std::move(handler));
}

} // namespace auburnlb
