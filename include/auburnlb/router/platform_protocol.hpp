// Translation between the router and the protocol of callers, endpoints and the
// platform. Implementations only translate; all decisions are made by the
// router.
#ifndef AUBURNLB_ROUTER_PLATFORM_PROTOCOL_HPP
#define AUBURNLB_ROUTER_PLATFORM_PROTOCOL_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "auburnlb/coordination/memory_budgets.hpp"
#include "auburnlb/coordination/stream_path.hpp"
#include "auburnlb/router/http_message.hpp"
#include "auburnlb/state/clock.hpp"
#include "auburnlb/state/endpoint_record.hpp"
#include "auburnlb/state/error.hpp"
#include "auburnlb/state/route_table.hpp"

namespace auburnlb
{

/// Data from the header fields of a caller's request.
struct caller_request
{
    /// Unique for each attempt by the caller.
    std::string id_;
    std::optional<std::string> api_key_;
    /// How long the caller waits for the response; unset if not given.
    std::optional<milliseconds> deadline_;
    /// The last event that the caller has received; the stream resumes after
    /// it.
    std::optional<std::uint64_t> last_event_id_;
    std::uint32_t prompt_tokens_ = 0;
    /// Upper limit of generated tokens.
    std::uint32_t max_output_tokens_ = 0;
    /// Identifiers of the prompt's parts that other requests may share, in
    /// order. The last part of a prompt is the request's own and left out.
    std::vector<std::string> shared_prompt_parts_;
    /// The caller's estimate of generated tokens; often inaccurate.
    std::optional<std::uint32_t> estimated_output_tokens_;

    bool operator==(caller_request const&) const = default;
};

/// One attempt of a request at an endpoint.
struct endpoint_request
{
    /// The only endpoint that may execute the request.
    std::string endpoint_id_;
    /// Engines and their layers, in order; empty for a plain service.
    std::vector<path_part> path_;
    /// Time until the caller's deadline.
    milliseconds time_left_{0};
    /// The caller's workspace; unset where the route needs no key.
    std::optional<std::string> workspace_;
    /// Resume the stream after this event.
    std::optional<std::uint64_t> last_event_id_;
    /// From 0, the most urgent, to 9; unset for the default.
    std::optional<std::uint32_t> urgency_;
};

/// Data from the head of an endpoint's response.
struct endpoint_response
{
    /// An engine produced the response: it carries the engine's signature.
    bool is_signed_ = false;
    /// The endpoint guarantees that the request was not and will not be
    /// executed.
    bool is_not_executed_ = false;
    /// A field that a response has once is there twice, as where the heads of
    /// two responses have become one.
    bool has_repeated_fields_ = false;
    /// The request that it responds to; empty if not given.
    std::string request_id_;
    /// Requests per second that the endpoint takes from all routers; unset if
    /// it names no limit.
    std::optional<double> rate_limit_;
    /// The endpoint is leaving and wants no more requests.
    bool is_leaving_ = false;
    /// With a refusal: how long the endpoint wants no requests from this
    /// router.
    std::optional<milliseconds> backoff_;
    /// Address of the engine in the path that caused a refusal, or empty.
    std::string faulty_address_;

    bool operator==(endpoint_response const&) const = default;
};

/// An engine's report of its state.
struct engine_report
{
    std::optional<layer_range> layers_;
    /// An order is in progress.
    bool is_busy_ = false;
    /// Number of orders accepted since the engine's start.
    std::uint64_t orders_ = 0;
    std::uint64_t started_ms_ = 0;
    /// Above 1 if the engine is slower than its nominal speed.
    double slowness_ = 1;
    /// A stream that waits for a lost engine of its path, and that engine's
    /// address.
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
    reply_kind reply_ = reply_kind::message;
    /// Further header fields.
    std::vector<http_field> fields_ = {};

    bool operator==(http_call const&) const = default;
};

/// An object of the platform's store.
struct store_object
{
    std::string name_;
    std::uint64_t revision_ = 0;
    /// Content of the object, as JSON text; "null" if it cannot be read.
    std::string value_;
    /// In a watch event: the object was deleted.
    bool is_deleted_ = false;

    bool operator==(store_object const&) const = default;
};

/// A page of a list, or the events of a watch.
struct store_page
{
    std::vector<store_object> objects_;
    /// Entries that are left out since they have no readable name.
    std::size_t unnamed_entries_ = 0;
    /// The list continues after the last object's name.
    bool has_more_ = false;
    /// Revision of the store that the page reflects.
    std::uint64_t revision_ = 0;

    bool operator==(store_page const&) const = default;
};

/// Kinds of store objects that users and endpoints write.
enum class store_kind
{
    configuration,
    endpoints,
};

/// The functions of one protocol. Invariant: all are set.
struct platform_protocol
{
    result<caller_request> (*read_request_)(http_head const& head);
    /// Returns the complete HTTP request to an endpoint.
    std::string (*write_request_)(http_head const& head, std::string_view body,
                                  endpoint_request const& request);
    endpoint_response (*read_response_)(http_head const& head);

    result<route_table> (*read_route_table_)(std::string const& value);
    /// Returns an error if the entry does not describe a usable endpoint.
    result<endpoint_record> (*read_endpoint_)(std::string const& id,
                                              std::string const& value);

    http_call (*write_report_call_)();
    result<engine_report> (*read_report_)(std::string const& body);
    /// @param endpoint_id the only engine that may accept the order
    /// @param expected_orders the engine refuses the order if the number of
    /// orders that it has accepted is different
    http_call (*write_placement_call_)(std::string const& endpoint_id,
                                       layer_range const& layers,
                                       std::uint64_t expected_orders);

    std::string (*kind_name_)(store_kind kind);
    /// Reads the number of the store's history from a response. It rises when
    /// the store is restored from an older copy. Unset if the response has
    /// none.
    std::optional<std::uint64_t> (*read_store_epoch_)(http_head const& head);
    http_call (*write_list_call_)(std::string const& kind,
                                  std::string const& after);
    http_call (*write_watch_call_)(std::string const& kind,
                                   std::uint64_t revision, milliseconds wait);
    result<store_page> (*read_page_)(std::string const& body);
    http_call (*write_get_call_)(std::string const& kind,
                                 std::string const& name);
    /// Creates the object if its revision is 0, else replaces that revision.
    http_call (*write_put_call_)(std::string const& kind,
                                 store_object const& object);
    result<store_object> (*read_object_)(std::string const& body);
};

} // namespace auburnlb

#endif
