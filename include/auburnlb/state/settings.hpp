// Settings of the daemons: read from a JSON file and validated against a schema
// that is generated from the settings catalogue.
#ifndef AUBURNLB_STATE_SETTINGS_HPP
#define AUBURNLB_STATE_SETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// Declares a number, count or duration. Invariant: min_ <= default_ <= max_.
template <class Value>
struct setting
{
    std::string_view section_;
    std::string_view key_;
    Value default_;
    Value min_;
    Value max_;
    std::string_view description_;
};

/// Declares a string. If choices_ is empty, any string is allowed.
/// Invariant: default_ is empty or one of the choices.
template <>
struct setting<std::string>
{
    std::string_view section_;
    std::string_view key_;
    std::string_view default_;
    std::span<std::string_view const> choices_;
    std::string_view description_;
};

/// Declares a flag.
template <>
struct setting<bool>
{
    std::string_view section_;
    std::string_view key_;
    bool default_;
    std::string_view description_;
};

/// The values of one settings file, with defaults for those it omits.
/// Immutable.
class settings
{
public:
    /// Validates and parses a JSON text. The file name is only used in errors.
    static result<settings> parse(std::string const& file_name,
                                  std::string const& json);
    static result<settings> load(std::string const& path);

    /// Returns the value of the file, or the default.
    template <class Value>
    Value get(setting<Value> const& declaration) const;

    /// Returns an error that names the field if its value is empty.
    std::optional<error> require(setting<std::string> const& declaration) const;

    /// Returns an error that names the first field whose value is empty.
    std::optional<error> require_all(
        std::initializer_list<setting<std::string> const*> required) const;

    bool operator==(settings const&) const = default;

private:
    using stored_value = std::variant<std::string, std::uint64_t, double, bool>;

    template <class Value>
    std::optional<Value> find(std::string_view section,
                              std::string_view key) const;

    std::string file_name_;
    /// Keyed by section and key. Holds only values from the file, in the types
    /// that the catalogue declares.
    std::map<std::pair<std::string, std::string>, stored_value> values_;
};

/// Type-independent description of a setting for documentation and schema.
struct setting_description
{
    std::string section_;
    std::string key_;
    /// JSON Schema type: "string", "integer", "number" or "boolean".
    std::string type_;
    /// JSON texts. min_ and max_ are empty for strings and booleans.
    std::string default_;
    std::string min_;
    std::string max_;
    std::vector<std::string> choices_;
    std::string description_;

    bool operator==(setting_description const&) const = default;
};

/// All settings of the catalogue, in the order of the documentation.
std::vector<setting_description> const& describe_settings();

/// Returns the JSON Schema of a settings file, which is the content of
/// schema/settings.schema.json.
std::string settings_schema();

/// Returns Markdown tables of all settings, which are part of docs/SETTINGS.md.
std::string settings_reference();

template <class Value>
std::optional<Value> settings::find(std::string_view section,
                                    std::string_view key) const
{
    auto const found = values_.find({std::string(section), std::string(key)});
    if (found == values_.end())
    {
        return std::nullopt;
    }
    return std::get<Value>(found->second);
}

template <class Value>
Value settings::get(setting<Value> const& declaration) const
{
    if constexpr (std::is_same_v<Value, std::string>)
    {
        return find<std::string>(declaration.section_, declaration.key_)
            .value_or(std::string(declaration.default_));
    }
    else if constexpr (std::is_same_v<Value, bool> ||
                       std::is_floating_point_v<Value>)
    {
        return find<Value>(declaration.section_, declaration.key_)
            .value_or(declaration.default_);
    }
    else
    {
        auto const stored =
            find<std::uint64_t>(declaration.section_, declaration.key_);
        return stored ? Value(*stored) : declaration.default_;
    }
}

/// All settings of the daemons, each declared once.
namespace settings_catalogue
{

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::string_view kinds[] = {"model", "plain"};
inline constexpr std::string_view levels[] = {"debug", "info", "warning",
                                              "error"};
inline constexpr std::string_view formats[] = {"text", "json"};
inline constexpr std::string_view outputs[] = {"stdout", "stderr"};

inline constexpr setting<std::string> node_name{
    "node", "name", "", {}, "Name of this host, unique in the fleet."};
inline constexpr setting<std::string> node_data_centre{
    "node", "data_centre", "", {}, "Data centre that this host stands in."};
inline constexpr setting<std::string> node_region{
    "node", "region", "", {}, "Region of the data centre."};

inline constexpr setting<std::string> peers_address{
    "peers",
    "address",
    "tcp://127.0.0.1:0",
    {},
    "nng address on which other processes reach this one; port 0 takes a "
    "free port."};
inline constexpr setting<std::string> peers_advertised_address{
    "peers",
    "advertised_address",
    "",
    {},
    "nng address that peers are told to use, where a forwarder stands before "
    "this process; empty for the address listened on."};

inline constexpr setting<std::string> callers_address{
    "callers",
    "address",
    "127.0.0.1",
    {},
    "IP number on which callers "
    "connect."};
inline constexpr setting<std::uint16_t> callers_port{
    "callers", "port", 0,
    0,         65'535, "TCP port for callers; 0 takes a free port."};
inline constexpr setting<std::uint32_t> callers_threads{
    "callers", "threads", 2, 1, 64, "Threads that serve callers."};
inline constexpr setting<std::uint64_t> callers_max_body_bytes{
    "callers", "max_body_bytes", 4'194'304,
    1'024,     1'073'741'824,    "Largest request body accepted, in bytes."};

inline constexpr setting<bool> admin_enabled{
    "admin", "enabled", false,
    "Whether the administration API and metrics are served."};
inline constexpr setting<std::string> admin_address{
    "admin",
    "address",
    "127.0.0.1",
    {},
    "IP number of the administration "
    "API."};
inline constexpr setting<std::uint16_t> admin_port{
    "admin", "port",
    0,       0,
    65'535,  "TCP port of the administration API; 0 takes a free port."};
inline constexpr setting<std::string> admin_token{
    "admin",
    "token",
    "",
    {},
    "Bearer token of operators. Must not be empty when the administration "
    "API is enabled."};

inline constexpr setting<std::string> platform_url{
    "platform", "url", "", {}, "Base URL of the platform's object API."};

inline constexpr setting<std::string> endpoint_url{
    "endpoint", "url", "", {}, "Base URL of the endpoint beside a companion."};
inline constexpr setting<std::string> endpoint_kind{
    "endpoint", "kind", "model", kinds,
    "Whether the endpoint is a model engine or a plain service."};
inline constexpr setting<std::string> endpoint_service{
    "endpoint", "service", "", {}, "Service that the endpoint works for."};
inline constexpr setting<double> endpoint_tokens_per_second{
    "endpoint",
    "tokens_per_second",
    0.0,
    0.0,
    1e9,
    "Tokens a second that the endpoint passes on at full batch; 0 asks the "
    "engine."};
inline constexpr setting<std::uint64_t> endpoint_kv_tokens{
    "endpoint",
    "kv_tokens",
    0,
    0,
    1'000'000'000'000,
    "Tokens that the engine's KV cache holds; 0 asks the engine."};

inline constexpr setting<std::string> log_lowest_level{
    "log", "level", "info", levels, "Lowest level of the events written."};
inline constexpr setting<std::string> log_line_format{
    "log", "format", "text", formats, "Text lines or JSON lines."};

inline constexpr setting<std::string> log_output{
    "log", "output", "stdout", outputs,
    "Standard output or standard error; the other stays free of log lines."};

inline constexpr setting<milliseconds> timing_heartbeat{
    "timing",
    "beat_ms",
    milliseconds(5'000),
    milliseconds(10),
    milliseconds(60'000),
    "Interval of beats on idle links, in milliseconds."};
inline constexpr setting<milliseconds> timing_probe_timeout{
    "timing",
    "probe_timeout_ms",
    milliseconds(250),
    milliseconds(10),
    milliseconds(60'000),
    "How long a probe on a new connection may stay unanswered before its "
    "peer counts as dead, in milliseconds."};
inline constexpr setting<milliseconds> timing_stream_silence{
    "timing",
    "stream_silence_ms",
    milliseconds(250),
    milliseconds(10),
    milliseconds(600'000),
    "Silence of a stream after which its stages are probed, in "
    "milliseconds."};
inline constexpr setting<seconds> timing_drain_limit{
    "timing",
    "drain_limit_s",
    seconds(600),
    seconds(0),
    seconds(86'400),
    "How long a stopping process waits for work in progress, in seconds."};
inline constexpr setting<milliseconds> timing_hosts_poll{
    "timing",
    "hosts_poll_ms",
    milliseconds(1'000),
    milliseconds(50),
    milliseconds(600'000),
    "Interval of reading the platform's host list, in milliseconds."};
inline constexpr setting<milliseconds> timing_watch_wait{
    "timing",
    "watch_wait_ms",
    milliseconds(20'000),
    milliseconds(50),
    milliseconds(600'000),
    "How long one watch call waits at the platform, in milliseconds."};
inline constexpr setting<milliseconds> timing_resume_grace{
    "timing",
    "resume_grace_ms",
    milliseconds(10'000),
    milliseconds(0),
    milliseconds(600'000),
    "How long a chain keeps a stream whose entry is gone, in milliseconds."};

inline constexpr setting<std::string> router_callers{
    "router",
    "callers",
    "",
    {},
    "\"IP:port\" on which a router takes callers' requests."};
inline constexpr setting<std::string> router_ready{
    "router", "ready", "", {}, "\"IP:port\" of a router's readiness probe."};
inline constexpr setting<std::string> router_control{
    "router",
    "control",
    "",
    {},
    "\"IP:port\" on which a router serves other routers and metrics."};
inline constexpr setting<std::string> router_store{
    "router", "store", "", {}, "\"IP:port\" of the platform's store."};
inline constexpr setting<std::string> router_seeds{
    "router",
    "seeds",
    "",
    {},
    "Control addresses of some routers, separated by commas; may be stale."};
inline constexpr setting<double> router_retry_ratio{
    "router",
    "retry_ratio",
    0.1,
    0.0,
    10.0,
    "Repeated sends for each request that all routers together may make to a "
    "service within the retry window."};
inline constexpr setting<double> router_retry_slack{
    "router", "retry_slack",
    100.0,    0.0,
    1e6,      "Repeated sends beyond that within the retry window."};
inline constexpr setting<seconds> router_retry_window{
    "router",   "retry_window_s", seconds(10),
    seconds(1), seconds(600),     "Length of the retry window, in seconds."};
inline constexpr setting<milliseconds> router_store_silence{
    "router",
    "store_silence_ms",
    milliseconds(2'500),
    milliseconds(1'300),
    milliseconds(25'000),
    "How long a connection to the store that died may go unnoticed, in "
    "milliseconds."};
inline constexpr setting<milliseconds> router_endpoint_heartbeat{
    "router",
    "endpoint_heartbeat_ms",
    milliseconds(1'200),
    milliseconds(100),
    milliseconds(60'000),
    "Interval at which endpoints write to the store, in milliseconds."};
inline constexpr setting<milliseconds> router_stop_limit{
    "router",
    "stop_limit_ms",
    milliseconds(8'000),
    milliseconds(1'000),
    milliseconds(600'000),
    "Time from the signal to stop until the process is killed, in "
    "milliseconds."};
inline constexpr setting<bool> router_share_capacity{
    "router", "share_capacity", false,
    "Whether routers divide the KV cache of a model service among them by "
    "demand."};
inline constexpr setting<bool> router_bound_prefill{
    "router", "bound_prefill", false,
    "Whether a long prompt waits while the engines have so much to prefill "
    "that short prompts behind it would miss their latency target."};
inline constexpr setting<bool> router_overload_control{
    "router", "overload_control", false,
    "Whether waiting requests start by equal shares of the workspaces and by "
    "priority, and those that could not be on time are refused on arrival."};
inline constexpr setting<milliseconds> router_body_stall{
    "router",
    "body_stall_ms",
    milliseconds(2'000),
    milliseconds(100),
    milliseconds(600'000),
    "A request body that brings less than 1 KiB in this time, after its first "
    "5 s, is ended with 408, in milliseconds."};
inline constexpr setting<std::uint32_t> router_max_connections{
    "router",
    "max_connections",
    0,
    0,
    1'000'000,
    "Connections of callers that may be open; 0 takes three quarters of the "
    "process's limit of descriptors, which is also the most."};

} // namespace settings_catalogue

} // namespace auburnlb

#endif
