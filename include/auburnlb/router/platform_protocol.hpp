// What a router asks of the protocol that callers, endpoints and the platform
// speak. The router decides; an implementation only translates.
#ifndef AUBURNLB_ROUTER_PLATFORM_PROTOCOL_HPP
#define AUBURNLB_ROUTER_PLATFORM_PROTOCOL_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "auburnlb/coordination/stream_path.hpp"
#include "auburnlb/router/http_message.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/endpoint_record.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/state/route_table.hpp"

namespace auburnlb
{

/// What a caller's request says beside its route and body.
struct caller_request
{
    /// Unique for each attempt of the caller.
    std::string id_;
    std::optional<std::string> api_key_;
    /// How long the caller will wait; unset if it does not say.
    std::optional<milliseconds> deadline_;
    /// The caller has the events up to this one.
    std::optional<std::uint64_t> last_event_id_;
    std::uint32_t prompt_tokens_ = 0;
    /// The most tokens that the answer may have.
    std::uint32_t max_output_tokens_ = 0;
    /// The caller's estimate of the answer's tokens; often far off.
    std::optional<std::uint32_t> estimated_output_tokens_;

    bool operator==(caller_request const&) const = default;
};

/// One attempt of a request at an endpoint.
struct endpoint_request
{
    /// The endpoint that alone may run it.
    std::string endpoint_id_;
    /// Engines and their layers in order; empty for a plain service.
    std::vector<path_part> path_;
    /// Time that the caller still waits.
    milliseconds time_left_{0};
    /// The caller's workspace; unset where the route needs no key.
    std::optional<std::string> workspace_;
    /// Go on after this event.
    std::optional<std::uint64_t> last_event_id_;
    /// 0 is the most urgent of 10 ranks; unset for the usual one.
    std::optional<std::uint32_t> urgency_;
};

/// What the head of an endpoint's answer says.
struct endpoint_response
{
    /// An engine made it: it bears the engine's signature.
    bool is_signed_ = false;
    /// The endpoint states that it did not run the request and will not.
    bool is_not_executed_ = false;
    /// Whose answer it is; empty if it does not say.
    std::string request_id_;
    /// Address of the engine of a path that caused a refusal, or empty.
    std::string faulty_address_;

    bool operator==(endpoint_response const&) const = default;
};

/// An engine's own report of its state.
struct engine_report
{
    std::optional<layer_range> layers_;
    /// An order is in progress.
    bool is_busy_ = false;
    /// Orders accepted since the engine's start.
    std::uint64_t orders_ = 0;
    std::uint64_t started_ms_ = 0;
    /// Over 1 if the engine works slower than it should.
    double slowness_ = 1;
    /// Streams that wait for a lost engine of their path, and its address.
    struct stalled_stream
    {
        std::string request_id_;
        std::string faulty_address_;

        bool operator==(stalled_stream const&) const = default;
    };
    std::vector<stalled_stream> stalled_;

    bool operator==(engine_report const&) const = default;
};

/// A call to an HTTP server that is not a caller's request.
struct http_call
{
    std::string method_;
    std::string target_;
    std::string body_;

    bool operator==(http_call const&) const = default;
};

/// One object of the platform's store.
struct store_object
{
    std::string name_;
    std::uint64_t revision_ = 0;
    /// JSON text of what the object holds.
    std::string value_;
    /// In an event of a watch: the object is gone.
    bool is_deleted_ = false;

    bool operator==(store_object const&) const = default;
};

/// Objects of a list, or events of a watch.
struct store_page
{
    std::vector<store_object> objects_;
    /// The list goes on after the last object's name.
    bool has_more_ = false;
    /// Revision of the store that the page shows.
    std::uint64_t revision_ = 0;

    bool operator==(store_page const&) const = default;
};

/// Kinds of objects that the platform's users and endpoints write.
enum class store_kind
{
    configuration,
    endpoints,
};

/// The functions of one protocol. Invariant: all are set.
struct platform_protocol
{
    result<caller_request> (*read_request_)(http_head const& head);
    /// The whole request as an endpoint gets it.
    std::string (*write_request_)(http_head const& head, std::string_view body,
                                  endpoint_request const& request);
    endpoint_response (*read_response_)(http_head const& head);

    result<route_table> (*read_route_table_)(std::string const& value);
    /// An error for an entry that names no endpoint to use.
    result<endpoint_record> (*read_endpoint_)(std::string const& id,
                                              std::string const& value);

    http_call (*write_report_call_)();
    result<engine_report> (*read_report_)(std::string const& body);
    /// @param expected_orders the order is refused if the engine has accepted
    /// another number of orders
    http_call (*write_placement_call_)(layer_range const& layers,
                                       std::uint64_t expected_orders);

    std::string (*kind_name_)(store_kind kind);
    http_call (*write_list_call_)(std::string const& kind,
                                  std::string const& after);
    http_call (*write_watch_call_)(std::string const& kind,
                                   std::uint64_t revision, milliseconds wait);
    result<store_page> (*read_page_)(std::string const& body);
    http_call (*write_get_call_)(std::string const& kind,
                                 std::string const& name);
    /// Creates the object for the revision 0, else replaces that revision.
    http_call (*write_put_call_)(std::string const& kind,
                                 store_object const& object);
    result<store_object> (*read_object_)(std::string const& body);
};

} // namespace auburnlb

#endif
