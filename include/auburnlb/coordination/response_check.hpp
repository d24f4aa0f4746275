// Decides which request an endpoint's response belongs to, and whether a
// complete response may be passed on to the caller. No other code makes these
// decisions.
#ifndef AUBURNLB_COORDINATION_RESPONSE_CHECK_HPP
#define AUBURNLB_COORDINATION_RESPONSE_CHECK_HPP

#include <optional>

#include "auburnlb/coordination/attempt_outcome.hpp"

namespace auburnlb
{

/// What the head of a response shows about the request that it responds to.
struct head_facts
{
    /// It names a request, and whether that is the awaited one.
    bool names_request_ = false;
    bool names_awaited_request_ = false;
    /// Its connection has carried other requests.
    bool is_connection_reused_ = false;
    /// A field that a response has once is there twice.
    bool has_repeated_fields_ = false;

    bool operator==(head_facts const&) const = default;
};

/// Which request a response belongs to.
enum class response_origin
{
    awaited_request,
    another_request,
    /// Endpoints name the request in each response, so that one that names none
    /// may be left from an earlier request of its connection.
    unknown,
    /// The heads of two responses have become one, so that nothing of it or
    /// after it can be believed.
    several_requests,
};

/// For metrics.
char const* to_string(response_origin origin);

response_origin origin_of(head_facts const& facts);

/// What is known of a complete response.
struct response_facts
{
    bool is_success_ = false;
    bool is_server_error_ = false;
    /// It carries the endpoint's signature.
    bool is_signed_ = false;
    /// It says that the request was not and will not be executed.
    bool is_not_executed_ = false;
    /// It names the request that it responds to.
    bool names_request_ = false;
    /// Its connection has carried other requests.
    bool is_connection_reused_ = false;
    /// It has no content, and only the end of the connection ended it.
    bool is_unframed_and_empty_ = false;
    /// The beginning of another response may have completed its body.
    bool contains_response_ = false;
    /// The caller has received the beginning of another response.
    bool has_begun_ = false;

    bool operator==(response_facts const&) const = default;
};

/// Why a response is not passed on.
struct response_failure
{
    attempt_outcome outcome_ = attempt_outcome::broken;
    /// For the log.
    char const* reason_ = "";
};

/// Returns std::nullopt if the response may be passed on.
std::optional<response_failure> check_response(response_facts const& facts);

} // namespace auburnlb

#endif
